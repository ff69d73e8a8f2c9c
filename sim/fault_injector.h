// Injects faults chosen from a seed into a simulated run. Every fault ends after a bounded time.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sim/online_workload.h"
#include "sim/operator_workload.h"
#include "sim/simulated_cluster.h"

namespace chalkshed {

enum class FaultKind {
  kKillNode,
  kKillAfterAcknowledgement,  // a node crashes right after it acknowledged a job
  kFreezeNode,                // until its leases have expired
  kCutNode,                   // from all other nodes and workers
  kCutNodeFromPlatform,
  kOneWayLoss,      // a node receives from the others, but its own messages are lost
  kSplitNodes,      // network partition between two groups of nodes
  kDatagramFaults,  // lost, duplicated and reordered datagrams
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,  // responses are lost after the commit
  kZoneLoss,           // all machines of a zone
  kKillWorker,
  kFreezeWorker,
  kSlowWorker,
  kTruncatedStreams,
  kGarbledStreams,  // chunks are lost or duplicated
  kStopNode,        // planned shutdown
  kStopWorker,      // planned shutdown
  kDrainWorker,
  kDrainBackend,
  kKillBackend,
};
constexpr size_t kFaultKindCount = 22;

// @return the stable snake_case name.
std::string_view fault_name(FaultKind kind);

class FaultInjector {
 public:
  FaultInjector(SimulatedCluster& cluster, OperatorWorkload& operators, uint64_t seed)
      : cluster_(cluster), operators_(operators), random_(seed) {}

  // Begins a fault that ends within `max_duration`; freezes of nodes, planned stops and drains may
  // take longer.
  void inject(FaultKind kind, Duration max_duration);
  // Begins a fault of a random kind.
  void inject_random(Duration max_duration);
  uint64_t injected() const { return next_fault_; }
  // @return whether all faults have ended.
  bool healed() const { return active_faults_ == 0; }

 private:
  // Records the beginning of a fault; after `duration` runs `heal` and records the end.
  void begin_fault(FaultKind kind, std::vector<std::string> processes, Duration duration,
                   std::function<void()> heal);
  void kill_and_restart(FaultKind kind, const std::vector<std::string>& names, bool silently,
                        Duration duration);
  void kill_after_acknowledgement(Duration duration);
  void freeze(FaultKind kind, const std::string& name, Duration duration);
  void cut_between(FaultKind kind, const std::vector<std::string>& group,
                   const std::vector<std::string>& others, bool one_way, Duration duration);
  void cut_from_platform(Duration duration);
  void inject_datagram_faults(Duration duration);
  void inject_store_fault(FaultKind kind, Duration duration);
  void inject_engine_fault(FaultKind kind, Duration duration);
  void stop(const std::string& name, Duration duration);
  void drain(const std::string& name, Duration duration);
  void restart_later(const std::string& name, Duration delay);

  // @return a random running process of `names` that is not stopping; "" if there is none.
  std::string pick_running(const std::vector<std::string>& names);
  size_t running_nodes();
  Duration random_duration(Duration min_duration, Duration max_duration);

  SimulatedCluster& cluster_;
  OperatorWorkload& operators_;
  SeededRandomGenerator random_;
  uint64_t next_fault_ = 0;
  uint64_t active_faults_ = 0;
};

}  // namespace chalkshed
