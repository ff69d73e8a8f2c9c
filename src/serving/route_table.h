// The routing table: which requests are served, by which services, and with which time limits and
// retries. A table is immutable; a new version of the configuration replaces it as a whole.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chalkshed/cold_start_limit.h"
#include "chalkshed/tenant_table.h"
#include "src/core/time.h"

namespace chalkshed {

enum class RouteKind {
  kRepeatable,  // a request may run more than once
  kOnce,        // at most once for each attempt of a caller
  kStreaming,   // the answer is an event stream; repeatable if the route is resumable
  kBatch,       // jobs of many requests that run later
};

// @return the stable name used in logs and metrics.
std::string_view route_kind_name(RouteKind kind);

struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kOnce;
  Duration timeout{0};        // deadline for the final answer
  Duration target{0};         // latency target
  uint32_t attempts = 1;      // maximum number of runs of one request
  uint32_t priority = 0;      // 0 is the highest
  bool resumable = false;     // another worker may continue a stream after its last event
  Duration longest_pause{0};  // target for the gap between two events; 0: no limit
  std::vector<WeightedService> services;
  Duration run_target{0};  // batch: deadline for all results, from the job's first submission
  Duration retention{0};   // batch: unfinished items may be dropped after this long
  // Batch: limit on the tokens of accepted unfinished items over all nodes, per tenant, or for all
  // callers together if no tenants are configured; 0: no limit.
  uint64_t max_queued_tokens = 0;
  // Callers need no API key even if tenants are configured.
  bool open = false;
};

// @return whether requests of the route may run more than once.
bool is_repeatable(const Route& route);

struct ServiceSpec {
  std::string name;
  // Maximum number of connections to one worker, over all nodes.
  uint32_t max_connections = 0;
  bool generates = false;      // its workers are model engines with continuous batching
  uint64_t memory_tokens = 0;  // KV cache of one engine, for running requests and cached prompts
  cold_start cold{};           // request limits of its workers during warm-up
};

// Limits on the size of a caller's request and on idle connections.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  Duration idle_timeout = std::chrono::seconds(15);
};

class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(uint64_t version, std::vector<Route> routes, std::vector<ServiceSpec> services,
             const CallerLimits& limits, tenant_table tenants = {});

  uint64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const tenant_table& tenants() const { return tenants_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, ServiceSpec>& services() const { return services_; }
  // @return the route of `host` with the longest matching prefix of `path`, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  // @return the service's configuration, or null.
  const ServiceSpec* service(const std::string& name) const;

 private:
  uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  CallerLimits limits_;
  tenant_table tenants_;
  // Indices into routes_, keyed by host and prefix joined by a space.
  std::unordered_map<std::string, size_t> by_host_and_prefix_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace chalkshed
