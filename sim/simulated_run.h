// One seeded run of a simulated cluster: workloads, random faults, recovery and the history check.
#pragma once

#include <functional>
#include <string>

#include "sim/batch_workload.h"
#include "sim/fault_injector.h"
#include "sim/online_workload.h"
#include "sim/operator_workload.h"
#include "sim/simulated_cluster.h"
#include "src/history/checker.h"

namespace chalkshed {

// Knobs of a run. The leases are short enough to expire within a run of a minute.
struct RunKnobs {
  RunKnobs();

  ClusterKnobs cluster;
  OnlineWorkloadKnobs online;
  BatchWorkloadKnobs batch;
  OperatorWorkloadKnobs operators;
  uint32_t faults = 12;
  double double_fault_share = 0.3;  // a second fault at the same time
  Duration min_fault_gap = std::chrono::seconds(2);
  Duration max_fault_gap = std::chrono::seconds(5);
  Duration max_fault_duration = std::chrono::seconds(8);
  uint32_t restarted_nodes = 3;  // planned restarts, one after the other, after the faults
  uint32_t restarted_workers = 3;
  // After the faults have ended, all requests and jobs must finish within this time.
  Duration settle_limit = std::chrono::seconds(120);
};

struct RunResult {
  History history;
  CheckResult check;
  uint64_t faults = 0;
  uint64_t operations = 0;
};

// A cluster with its workloads; scenarios inject their own faults.
class SimulatedRun {
 public:
  SimulatedRun(uint64_t seed, const RunKnobs& knobs);

  // Applies the initial configuration and waits until all nodes serve.
  void boot();
  void start_workloads();
  // Injects the number of random faults set in the knobs.
  void inject_faults();
  // Restarts some nodes and workers one after the other, under load.
  void rolling_restart();
  // Waits for all faults to end, stops the workloads, waits for all work to finish and reads all
  // outputs.
  void settle();
  RunResult check();

  SimulatedCluster& cluster() { return cluster_; }
  OnlineWorkload& online() { return online_; }
  BatchWorkload& batch() { return batch_; }
  OperatorWorkload& operators() { return operators_; }
  FaultInjector& faults() { return faults_; }

 private:
  // Runs until `condition` holds or `limit` has elapsed. @return whether it holds.
  bool run_until(Duration limit, const std::function<bool()>& condition);

  const RunKnobs knobs_;
  SeededRandomGenerator random_;
  SimulatedCluster cluster_;
  OnlineWorkload online_;
  BatchWorkload batch_;
  OperatorWorkload operators_;
  FaultInjector faults_;
};

RunResult run_seed(uint64_t seed, const RunKnobs& knobs);

// @return a digest of the history; equal for equal histories.
std::string history_digest(const History& history);

}  // namespace chalkshed
