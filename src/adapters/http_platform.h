// Clients of the platform's services over HTTP. Replace this file to use another format; see
// docs/operators/platform_adapters.md.
#pragma once

#include "src/core/address.h"
#include "src/platform/machine_list.h"
#include "src/platform/object_store.h"
#include "src/platform/table_store.h"
#include "src/transport/http_client.h"

namespace chalkshed {

struct HttpPlatformKnobs {
  Duration connect_timeout = std::chrono::seconds(1);
  Duration answer_timeout = std::chrono::seconds(2);
};

class HttpTableStore : public TableStore {
 public:
  HttpTableStore(HttpClient& client, Address server, HttpPlatformKnobs knobs = {})
      : client_(client), server_(std::move(server)), knobs_(knobs) {}
  void read(RowKey key, Callback<std::optional<Row>> callback) override;
  void scan(ScanRequest request, Callback<ScanPage> callback) override;
  void commit(Transaction transaction, Callback<CommitResult> callback) override;

 private:
  HttpClient& client_;
  Address server_;
  HttpPlatformKnobs knobs_;
};

class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client, Address server, HttpPlatformKnobs knobs = {})
      : client_(client), server_(std::move(server)), knobs_(knobs) {}
  void put(std::string name, std::shared_ptr<const std::string> content,
           Callback<std::monostate> callback) override;
  void get(std::string name, Callback<std::shared_ptr<const std::string>> callback) override;
  void remove(std::string name, Callback<std::monostate> callback) override;

 private:
  HttpClient& client_;
  Address server_;
  HttpPlatformKnobs knobs_;
};

class HttpMachineList : public MachineList {
 public:
  HttpMachineList(HttpClient& client, Address server, HttpPlatformKnobs knobs = {})
      : client_(client), server_(std::move(server)), knobs_(knobs) {}
  void fetch(Callback<MachineListSnapshot> callback) override;

 private:
  HttpClient& client_;
  Address server_;
  HttpPlatformKnobs knobs_;
};

}  // namespace chalkshed
