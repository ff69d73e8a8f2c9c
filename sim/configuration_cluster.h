// A small cluster of configuration managers in virtual time, with the emulated platform, peers
// that can be cut off from one another, and a gossip that reaches whoever can be reached.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/emulated_platform.h"
#include "sim/unused_dependencies.h"
#include "sim/virtual_time.h"
#include "src/configuration/configuration_manager.h"

namespace chalkshed {

constexpr const char* kInitialText = R"(
[services.chat]
models = ["large"]
[tenants.alpha]
api_key = "key-alpha"
)";

inline ApplyRequest apply_request(std::string text, ConfigurationVersion base) {
  ApplyRequest request;
  request.bundle.documents.push_back({"test.toml", std::move(text)});
  request.base_version = base;
  request.author = "tester";
  return request;
}

enum class CommitFault { kNone, kAnswerLost, kArrivesLate };

// The emulated table, with read answers that can be held back and commits whose outcome the caller
// does not learn.
class HoldingTableStore : public EmulatedTableStore {
 public:
  using EmulatedTableStore::EmulatedTableStore;

  void read(RowKey key, Callback<std::optional<Row>> callback) override {
    EmulatedTableStore::read(std::move(key), [this, callback = std::move(callback)](
                                                 const Expected<std::optional<Row>>& row) {
      if (hold_reads) {
        held.push_back([callback, row] { callback(row); });
      } else {
        callback(row);
      }
    });
  }
  void commit(Transaction transaction, Callback<CommitResult> callback) override {
    if (commit_fault == CommitFault::kNone) {
      EmulatedTableStore::commit(std::move(transaction), std::move(callback));
      return;
    }
    if (std::exchange(commit_fault, CommitFault::kNone) == CommitFault::kArrivesLate) {
      late_commits.push_back(std::move(transaction));
    } else {
      EmulatedTableStore::commit(std::move(transaction), [](const Expected<CommitResult>&) {});
    }
    EmulatedTableStore::read({"none", "none"}, [callback](const Expected<std::optional<Row>>&) {
      callback(tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown, "answer lost", "read back")));
    });
  }
  void deliver_late_commits() {
    for (const Transaction& transaction : std::exchange(late_commits, {})) {
      EmulatedTableStore::commit(transaction, [](const Expected<CommitResult>&) {});
    }
  }
  void release_reads() {
    hold_reads = false;
    for (const auto& answer : std::exchange(held, {})) {
      answer();
    }
  }

  bool hold_reads = false;
  CommitFault commit_fault = CommitFault::kNone;  // of the next commit
  std::vector<Transaction> late_commits;
  std::vector<std::function<void()>> held;
};

class ConfigurationCluster;

// One node; also its view of the others, its gossip and its peer transport.
class ConfigurationNode : public MembershipView,
                          public Gossip,
                          public PeerClient,
                          public PeerServer {
 public:
  ConfigurationNode(ConfigurationCluster& cluster, const std::string& id, uint16_t port,
                    const ConfigurationKnobs& knobs);

  const Member& self() const override { return self_; }
  std::vector<Member> members() const override;
  void subscribe(std::function<void()>) override {}

  void publish(GossipEntry entry) override;
  std::optional<GossipEntry> find(const std::string&, const std::string&) const override {
    return std::nullopt;
  }
  std::vector<GossipEntry> entries(const std::string&) const override { return {}; }
  void subscribe(std::string, std::function<void(const GossipEntry&)> callback) override {
    on_gossip_ = std::move(callback);
  }

  void call(const Address& node, std::string method, std::string body,
            Callback<std::string> callback) override;
  void register_method(std::string method, Handler handler) override {
    handlers_[std::move(method)] = std::move(handler);
  }

  // Bodies of the calls that fetched content.
  uint64_t content_call_bytes() {
    return bytes[kConfigurationManifestMethod] + bytes[kConfigurationBlockMethod];
  }
  ConfigurationVersion version() const {
    return manager.current() == nullptr ? 0 : manager.current()->version;
  }

 private:
  ConfigurationCluster& cluster_;
  Member self_;
  std::map<std::string, Handler> handlers_;
  std::function<void(const GossipEntry&)> on_gossip_;
  uint64_t gossip_version_ = 0;  // highest that this node published or received

 public:
  VirtualDispatcher dispatcher;
  SeededRandomGenerator random;
  HoldingTableStore table;
  EmulatedObjectStore objects;
  EmulatedMachineList machines;
  NodeDependencies dependencies;
  int side = 0;  // only nodes of one side reach one another
  bool receives_gossip = true;
  std::map<std::string, int> calls;            // made, by method
  std::map<std::string, uint64_t> bytes;       // of bodies of calls made and their answers
  std::vector<ConfigurationVersion> versions;  // in the order in which they came into force
  ConfigurationManager manager;
  Lifetime lifetime;
};

class ConfigurationCluster {
 public:
  ConfigurationNode& add(ConfigurationKnobs knobs = {}) {
    const std::string id = "node-" + std::to_string(nodes.size());
    const auto port = static_cast<uint16_t>(28000 + nodes.size());
    nodes.push_back(std::make_unique<ConfigurationNode>(*this, id, port, knobs));
    nodes.back()->manager.start();
    return *nodes.back();
  }
  // Replaces a node by a fresh process of the same name, which knows nothing.
  ConfigurationNode& restart(size_t index, ConfigurationKnobs knobs = {}) {
    const Member& old = nodes[index]->self();
    nodes[index] = std::make_unique<ConfigurationNode>(*this, old.id, old.http_address.port, knobs);
    nodes[index]->manager.start();
    return *nodes[index];
  }
  ConfigurationNode& operator[](size_t index) { return *nodes[index]; }

  // Applies and runs until the answer is there.
  Expected<ApplyOutcome> apply(ConfigurationNode& node, std::string text,
                               ConfigurationVersion base) {
    std::optional<Expected<ApplyOutcome>> result;
    node.manager.apply(apply_request(std::move(text), base),
                       [&](Expected<ApplyOutcome> outcome) { result = std::move(outcome); });
    for (int turn = 0; turn < 1000 && !result; ++turn) {
      run(20);
    }
    return result.value();
  }
  void run(int milliseconds) { clock.run_for(std::chrono::milliseconds(milliseconds)); }
  void set_store_disconnected(ConfigurationNode& node, bool cut) {
    node.table.set_reachable(!cut);
    node.objects.set_reachable(!cut);
  }
  void set_outage(bool outage) {
    platform.table_service().faults.outage = outage;
    platform.object_service().faults.outage = outage;
  }

  VirtualClock clock;
  VirtualDispatcher platform_loop{clock};
  SeededRandomGenerator platform_random{7};
  EmulatedPlatform platform{clock, platform_loop, platform_random};
  UnusedEngineClient engines;
  UnusedHttpClient http;
  UnusedDatagrams datagrams;
  NullLogger logger;
  NullMetricsRegistry metrics;
  std::vector<std::unique_ptr<ConfigurationNode>> nodes;
};

}  // namespace chalkshed
