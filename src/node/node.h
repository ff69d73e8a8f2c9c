// One chalkshed node: all its components, wired together. It uses no sockets itself; the daemon
// and the simulator inject their own dependencies.
#pragma once

#include <functional>

#include "src/batch/batch_service.h"
#include "src/configuration/configuration_api.h"
#include "src/configuration/configuration_manager.h"
#include "src/configuration/configuration_retention.h"
#include "src/core/http_message.h"
#include "src/core/lifetime.h"
#include "src/gateway/gateway.h"
#include "src/http/http_router.h"
#include "src/membership/membership_impl.h"
#include "src/membership/shared_machine_list.h"
#include "src/node/admin_access.h"
#include "src/node/node_api.h"
#include "src/node/node_dependencies.h"
#include "src/once/claim_sweep.h"
#include "src/policy/lua_policy_evaluator.h"
#include "src/routing/router_impl.h"
#include "src/routing/tenant_limiter.h"
#include "src/routing/worker_api.h"

namespace chalkshed {

// Parameters of all components.
struct NodeKnobs {
  SharedMachineListKnobs machine_list;
  MembershipKnobs membership;
  ConfigurationKnobs configuration;
  PolicyKnobs policy;
  RoutingKnobs routing;
  TenantLimiterKnobs tenants;
  GatewayKnobs gateway;
  BatchKnobs batch;
  ClaimRetentionKnobs claim_retention;
  // Bearer token that operators send; if empty, only loopback peers may use /admin/.
  std::string admin_key;
  // How often a drain checks whether the requests in progress have finished.
  Duration drain_poll_interval = std::chrono::milliseconds(20);
};

class Node : public HttpHandler, private NodeStatus {
 public:
  // `dependencies` must outlive the node.
  Node(const NodeIdentity& identity, NodeDependencies& dependencies, const NodeKnobs& knobs = {});
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start();
  // Serves requests of callers and operators.
  void handle(HttpRequest request, ResponseWriterPtr writer) override;
  // Planned shutdown: the node reports itself not ready, refuses new requests of callers, finishes
  // the requests in progress and its batch work, leaves the membership, then calls `done` once.
  void begin_drain(std::function<void()> done);

  // Whether load balancers should send callers to this node.
  bool ready() const { return !not_ready_reason(); }
  std::optional<std::string_view> not_ready_reason() const override;
  bool draining() const override { return draining_; }
  size_t requests_in_progress() const override { return gateway_.requests_in_progress(); }

  MembershipImpl& membership() { return membership_; }
  ConfigurationManager& configuration() { return configuration_; }
  RouterImpl& router() { return router_; }
  BatchService& batch() { return batch_; }

 private:
  class OpenRequest;

  void dispatch(HttpRequest request, ResponseWriterPtr writer);
  void check_drained();

  SharedMachineList machine_list_;
  NodeDependencies dependencies_;  // machine_list_ replaces the platform's list
  Duration drain_poll_interval_;
  AdminAccess admin_access_;
  MembershipImpl membership_;
  ConfigurationManager configuration_;
  ConfigurationRetention configuration_retention_;
  ConfigurationApi configuration_api_;
  LuaPolicyEvaluator policies_;
  RouterImpl router_;
  WorkerApi worker_api_;
  TenantLimiter tenants_;
  BatchService batch_;
  Gateway gateway_;
  ClaimSweep claim_sweep_;
  NodeApi node_api_;
  HttpRouter paths_;
  // Requests to any component whose responses have not finished.
  std::shared_ptr<size_t> open_requests_ = std::make_shared<size_t>(0);
  bool draining_ = false;
  bool batch_drained_ = false;
  std::function<void()> on_drained_;
  TimerPtr drain_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
