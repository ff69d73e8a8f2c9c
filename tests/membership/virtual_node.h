// One simulated process that runs MembershipImpl.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sim/unused_dependencies.h"
#include "tests/membership/virtual_cluster.h"

namespace chalkshed {

// Dependencies that membership does not use.
class UnusedTableStore : public TableStore {
 public:
  void read(RowKey, Callback<std::optional<Row>>) override {}
  void scan(ScanRequest, Callback<ScanPage>) override {}
  void commit(Transaction, Callback<CommitResult>) override {}
};
class UnusedObjectStore : public ObjectStore {
 public:
  void put(std::string, std::shared_ptr<const std::string>, Callback<std::monostate>) override {}
  void get(std::string, Callback<std::shared_ptr<const std::string>>) override {}
  void remove(std::string, Callback<std::monostate>) override {}
};
class VirtualNode : public DatagramTransport, public MachineList {
 public:
  VirtualNode(VirtualCluster& cluster, NodeIdentity identity, uint64_t seed)
      : cluster_(cluster), identity_(std::move(identity)), seed_(seed) {}

  void start(const MembershipKnobs& knobs) {
    process_ = std::make_unique<Process>(*this, knobs);
    process_->membership.start();
  }
  void stop() { process_.reset(); }
  bool running() const { return process_ != nullptr; }

  NodeIdentity& identity() { return identity_; }
  const NodeIdentity& identity() const { return identity_; }
  MembershipImpl& membership() { return process_->membership; }
  const MembershipImpl& membership() const { return process_->membership; }
  VirtualDispatcher& dispatcher() { return process_->dispatcher; }
  NodeDependencies& dependencies() { return process_->dependencies; }

  // Delivers a datagram to the process, as its socket would.
  void receive(const Address& from, std::string datagram) {
    if (!running()) {
      return;
    }
    process_->dispatcher.post([this, from, datagram = std::move(datagram)] {
      if (receiver_) {
        receiver_(from, datagram);
      }
    });
  }

  void send(const Address& to, std::string_view datagram) override {
    cluster_.deliver(identity_, to, std::string(datagram));
  }
  void set_receiver(Receiver receiver) override { receiver_ = std::move(receiver); }
  void fetch(Callback<MachineListSnapshot> callback) override {
    process_->dispatcher.post(
        [this, callback] { callback(MachineListSnapshot{cluster_.machines()}); });
  }

 private:
  struct Process {
    Process(VirtualNode& node, const MembershipKnobs& knobs)
        : dispatcher(node.cluster_.clock()),
          random(node.seed_ ^ node.identity_.incarnation),
          dependencies{node.cluster_.clock(),
                       dispatcher,
                       random,
                       table,
                       objects,
                       node,
                       engines,
                       http,
                       node,
                       peers,
                       peers,
                       logger,
                       metrics},
          membership(node.identity_, dependencies, knobs) {}

    VirtualDispatcher dispatcher;
    SeededRandomGenerator random;
    UnusedTableStore table;
    UnusedObjectStore objects;
    UnusedEngineClient engines;
    UnusedHttpClient http;
    UnusedPeers peers;
    NullLogger logger;
    NullMetricsRegistry metrics;
    NodeDependencies dependencies;
    MembershipImpl membership;
  };

  VirtualCluster& cluster_;
  NodeIdentity identity_;
  uint64_t seed_;
  Receiver receiver_;
  std::unique_ptr<Process> process_;
};

}  // namespace chalkshed
