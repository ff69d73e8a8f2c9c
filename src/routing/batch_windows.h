// Batch windows of the workers that this node holds. The holder of a worker is selected among the
// live members by rendezvous hashing. Two holders during a membership change cost efficiency but
// not safety, since the engine itself prioritizes online work and each holder sees the other's
// load.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/configuration/configuration.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/membership/rendezvous.h"
#include "src/node/node_dependencies.h"
#include "src/policy/policy.h"
#include "src/routing/router.h"
#include "src/routing/window_plan.h"
#include "src/routing/worker_directory.h"

namespace chalkshed {

class BatchWindows : public BatchSlots {
 public:
  BatchWindows(const NodeIdentity& identity, NodeDependencies& dependencies,
               ConfigurationSource& configuration, MembershipView& membership,
               PolicyEvaluator& policy, WorkerDirectory& directory, const RoutingKnobs& knobs);
  ~BatchWindows() override;

  void start();
  BatchSlotPtr try_acquire(const std::string& service, uint32_t prompt_tokens) override;
  uint32_t available(const std::string& service) const override;
  void subscribe(std::function<void()> callback) override;

  // Adjusts a worker's window after its known online load has changed.
  void update(Worker& worker);
  // An online request was routed by this node.
  void online_arrived(Worker& worker);
  // Requests a load report from a worker.
  void poll(const WorkerHandle& worker);

 private:
  class Slot;
  friend class Slot;

  // The held workers of one service and its online load.
  struct HeldService {
    std::vector<WorkerHandle> workers;
    double online_sequences = 0;  // when last planned
    ArrivalRate arrivals;
    std::optional<MonotonicTime> online_seen_at;
    MonotonicTime busy_until{};  // no light worker is filled before this time
  };

  void tick();
  void plan(const std::string& name, HeldService& service);
  bool in_burst(const std::string& service) const;
  void plan_if_changed(const Worker& worker);
  double fill_of(const std::string& service) const;
  void apply(Worker& worker);
  void refresh_limits(Worker& worker);
  void recompute_holders();
  void refresh_policies();
  void poll_idle_workers();
  bool holds(const Worker& worker, const RendezvousIndex& owners) const;
  bool may_start(const Worker& worker) const;
  uint32_t free_sequences(const Worker& worker) const;
  void revoke_excess(const Worker& worker);
  void call_revoked(const WorkerId& id);
  void released(Slot& slot);
  void schedule_notification();

  NodeIdentity identity_;
  NodeDependencies dependencies_;
  ConfigurationSource& configuration_;
  MembershipView& membership_;
  PolicyEvaluator& policy_;
  WorkerDirectory& directory_;
  const RoutingKnobs& knobs_;
  std::map<std::string, double> batch_fill_;      // by service, from its policy
  std::map<std::string, HeldService> held_;       // by service
  std::map<WorkerId, std::vector<Slot*>> slots_;  // in the order of acquisition
  std::vector<std::function<void()>> subscribers_;
  bool notification_posted_ = false;
  mutable MonotonicTime last_demand_at_;  // when batch work last requested capacity
  TimerPtr timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
