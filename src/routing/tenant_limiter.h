// Request rate limits per tenant, distributed over the nodes by demand.
//
// Each node admits its share of a tenant's limit. The share follows the node's fraction of the
// total demand, which nodes exchange by gossip ("tenant_usage"). It increases only after the other
// nodes had time to learn of the demand (the minimum target over the settle time applies) and
// decreases at once. While gossip is stale, the live members have equal shares.
//
// Bound: if gossip is delivered within the settle time, the shares at any time sum to at most the
// limit, except during the settle time after demand has moved between nodes, when they sum to at
// most twice the limit (nodes without known demand start at an equal share). Bursts: one bucket
// over all nodes plus one request per node. Each side of a partitioned cluster admits up to the
// limit.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "src/configuration/configuration.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"
#include "src/routing/tenant_admission.h"
#include "src/routing/token_bucket.h"

namespace chalkshed {

struct TenantLimiterKnobs {
  // Interval at which demand is measured and published, extended by up to the fraction `jitter`.
  Duration interval = std::chrono::seconds(1);
  double jitter = 0.2;
  // Time after which all nodes are assumed to know of a change.
  Duration settle = std::chrono::seconds(3);
  // A node's published demand is valid for this long.
  Duration stale_after = std::chrono::seconds(6);
  // Maximum number of tenants that a node publishes, those with the highest demand.
  uint32_t published_tenants = 24;
};

class TenantLimiter : public TenantAdmission {
 public:
  TenantLimiter(const NodeIdentity& identity, NodeDependencies& dependencies,
                ConfigurationSource& configuration, MembershipView& membership, Gossip& gossip,
                TenantLimiterKnobs knobs = {});

  // @return nothing if the request is admitted, else kLimitExceeded (not run, with retry_after).
  std::optional<Error> admit(const std::string& tenant) override;
  // The current share of the tenant's limit at this node, in [0, 1].
  double share(const std::string& tenant) const;

 private:
  struct TenantState {
    explicit TenantState(const TokenBucket& tokens) : bucket(tokens) {}
    TokenBucket bucket;
    uint32_t requests = 0;       // since the last measurement
    double demand = 0;           // requests per second, smoothed
    std::deque<double> targets;  // target shares over the settle time, oldest first
    double share = 0;
  };
  struct PeerUsage {
    MonotonicTime heard_at{};
    std::map<uint32_t, double> demands;  // by tenant hash
  };

  void start();
  void tick();
  void measure(double seconds);
  void publish();
  void handle_usage(const GossipEntry& entry);
  double equal_share() const;
  double target_share(const std::string& tenant, const TenantState& state) const;
  void update_share(const std::string& tenant, TenantState& state);
  TenantState& state_of(const std::string& tenant, const TenantConfiguration& limits);

  NodeIdentity identity_;
  NodeDependencies dependencies_;
  ConfigurationSource& configuration_;
  MembershipView& membership_;
  Gossip& gossip_;
  TenantLimiterKnobs knobs_;
  std::map<std::string, TenantState> tenants_;
  std::map<NodeId, PeerUsage> peers_;
  MonotonicTime measured_at_{};
  bool published_demand_ = false;
  TimerPtr timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
