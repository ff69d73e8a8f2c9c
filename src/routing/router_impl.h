// The routing module of a node: online routing, retry budgets and batch windows on top of one
// worker directory.
#pragma once

#include <map>
#include <string>

#include "src/configuration/configuration.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"
#include "src/policy/policy.h"
#include "src/routing/batch_windows.h"
#include "src/routing/retry_budget.h"
#include "src/routing/router.h"
#include "src/routing/routing_knobs.h"
#include "src/routing/worker_chooser.h"
#include "src/routing/worker_directory.h"

namespace chalkshed {

// Routed requests and batch slots must be destroyed before the router.
class RouterImpl : public Router, public BatchSlots {
 public:
  RouterImpl(const NodeIdentity& identity, NodeDependencies& dependencies,
             ConfigurationSource& configuration, MembershipView& membership, Gossip& gossip,
             PolicyEvaluator& policy, RoutingKnobs knobs = {});
  ~RouterImpl() override;

  void start();

  Expected<RoutedRequestPtr> route(const RouteRequest& request) override;
  bool take_retry(const std::string& service) override;

  BatchSlotPtr try_acquire(const std::string& service, uint32_t prompt_tokens) override;
  uint32_t available(const std::string& service) const override;
  void subscribe(std::function<void()> callback) override;

  // Operator commands, propagated to all nodes at once. @return false if the worker is unknown.
  bool drain(const WorkerId& id) { return directory_.drain(id); }
  bool restore(const WorkerId& id) { return directory_.restore(id); }

  const WorkerDirectory& directory() const { return directory_; }
  const RoutingKnobs& knobs() const { return knobs_; }
  MonotonicTime now() const { return dependencies_.time_source.monotonic_now(); }

 private:
  class Routed;
  friend class Routed;

  // State that this node keeps per service.
  struct ServiceState {
    RetryBudget retries;
    ServiceProfile profile;
  };

  ServiceState& state_of(const std::string& service);
  Error no_worker(const std::string& service) const;
  void record_success(const std::string& service, Duration whole, Duration after_first_token,
                      uint32_t max_tokens);
  void eject_if_unhealthy_now(Worker& worker);

  NodeDependencies dependencies_;
  ConfigurationSource& configuration_;
  const Gossip& gossip_;
  RoutingKnobs knobs_;
  WorkerDirectory directory_;
  WorkerChooser chooser_;
  BatchWindows windows_;
  std::map<std::string, ServiceState> services_;
  uint64_t next_ticket_ = 1;
  Counter& refused_;
  Counter& ejected_;
};

}  // namespace chalkshed
