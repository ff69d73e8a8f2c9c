// Many members on a simulated datagram network in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/virtual_time.h"
#include "src/membership/membership_impl.h"

namespace chalkshed {

class VirtualNode;

// Faults injected into the network. Loss, duplication and corruption are probabilities in [0, 1].
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  double corruption = 0;
  Duration latency = std::chrono::milliseconds(1);
  Duration latency_spread = std::chrono::milliseconds(2);  // reorders datagrams
  // @return whether a datagram between the two nodes is lost.
  std::function<bool(const NodeIdentity& from, const NodeIdentity& to)> cut;
};

class VirtualCluster {
 public:
  explicit VirtualCluster(uint64_t seed, MembershipKnobs knobs = {});
  ~VirtualCluster();

  // Adds nodes spread over `regions` and two zones in each, and lists them as machines.
  void add_nodes(size_t count, size_t regions = 1);
  void start_all();
  // Starts all nodes and waits until each knows all others. @return whether that happened in time.
  bool form();
  void run_for(Duration duration) { clock_.run_for(duration); }
  // Runs until `condition` holds; checked every 50 ms. @return whether it held within `limit`.
  bool run_until(const std::function<bool()>& condition, Duration limit);

  void kill(size_t index);
  // Restarts the node with the same address and id.
  void restart(size_t index, uint64_t incarnation);

  VirtualNode& node(size_t index) { return *nodes_[index]; }
  size_t size() const { return nodes_.size(); }
  MembershipImpl& membership(size_t index);
  bool running(size_t index) const;

  // @return whether every running node knows exactly the running nodes, all alive.
  bool settled() const;
  // @return how many running nodes consider the node dead or do not know it.
  size_t believed_gone(size_t index) const;
  // How often a running node was missing from another node's view, counted at every view change
  // since watch_false_deaths().
  size_t false_deaths() const { return false_deaths_; }
  void watch_false_deaths();

  VirtualClock& clock() { return clock_; }
  NetworkFaults& faults() { return faults_; }
  std::vector<Machine>& machines() { return machines_; }

  // Used by the nodes.
  void deliver(const NodeIdentity& from, const Address& to, std::string datagram);

 private:
  void deliver_once(const NodeIdentity& from, VirtualNode& target, std::string datagram);

  VirtualClock clock_;
  SeededRandomGenerator network_random_;
  uint64_t seed_;
  MembershipKnobs knobs_;
  NetworkFaults faults_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<VirtualNode>> nodes_;
  std::map<Address, VirtualNode*> by_address_;
  std::map<NodeId, size_t> index_of_;
  size_t false_deaths_ = 0;
};

}  // namespace chalkshed
