// Operators that apply concurrent configuration changes and drain workers.
#pragma once

#include <string>

#include "sim/simulated_cluster.h"

namespace chalkshed {

// Each change adds a tenant. @return whether a tenant of that name was added by a change.
inline bool is_change(const std::string& tenant) { return tenant.starts_with("change-"); }

struct OperatorWorkloadKnobs {
  Duration mean_interval = std::chrono::seconds(6);  // between rounds of concurrent changes
  uint32_t concurrent_operators = 2;
};

class OperatorWorkload {
 public:
  OperatorWorkload(SimulatedCluster& cluster, uint64_t seed,
                   const OperatorWorkloadKnobs& knobs = {});
  // Applies the initial configuration, with retries; `done` is called once it was accepted.
  void apply_initial_configuration(std::function<void()> done);
  void start();
  void stop() { timer_->disable(); }
  uint64_t operations() const { return operations_; }
  // Changes the configuration through a node.
  void change(const std::string& node);
  // Requests through a node that a worker or back end receives no new work. Sent once: a failed
  // request is not retried.
  void drain(const std::string& node, const std::string& backend);
  void restore(const std::string& node, const std::string& backend);

 private:
  void arm();
  void apply_concurrent_changes();
  void apply(const std::string& node, const std::string& text, const std::string& change,
             std::function<void(const CallerAnswer&)> done);
  void set_draining(const std::string& node, const std::string& backend, bool draining);
  void send(const std::string& node, HttpRequest http, SimulatedCaller::Done done);
  std::string random_node();

  SimulatedCluster& cluster_;
  SeededRandomGenerator random_;
  const OperatorWorkloadKnobs knobs_;
  TimerPtr timer_;
  uint64_t next_change_ = 0;
  uint64_t next_request_ = 0;
  uint64_t operations_ = 0;
};

}  // namespace chalkshed
