// Routes: which requests exist, which services answer them, and what the operator asks of each.
// A table is immutable; a new version replaces the whole of it.
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
  kOnce,        // at most once for each caller's attempt
  kStreaming,   // the answer is a series of events; repeatable where the route is resumable
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
  Duration timeout{0};        // longest time that a request is held
  Duration target{0};         // an answer within it is in time
  uint32_t attempts = 1;      // most workers that one request may be sent to
  uint32_t priority = 0;      // 0 is the most urgent
  bool resumable = false;     // a stream may go on at another worker behind its last event
  Duration longest_pause{0};  // between two events of a stream that is in time; 0: not limited
  std::vector<WeightedService> services;
  Duration run_target{0};  // batch: all results are due this long after the job was first sent
  Duration retention{0};   // batch: an unfinished item may be given up after this long
  // Batch: tokens of accepted items that have not ended, over all nodes, of one tenant, or of all
  // callers where there are no tenants; 0: no limit.
  uint64_t max_queued_tokens = 0;
  // Callers need no key although there are tenants.
  bool open = false;
};

// @return whether requests of the route may run more than once.
bool is_repeatable(const Route& route);

struct ServiceSpec {
  std::string name;
  // Connections that one worker accepts from all nodes together.
  uint32_t max_connections = 0;
  bool generates = false;      // its workers are model engines that batch continuously
  uint64_t memory_tokens = 0;  // of one engine, for running requests and cached prompts
  cold_start cold{};           // what its workers bear while they are cold
};

// Bounds on what a caller may send and how long it may take.
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
  // @return the route of that host with the longest prefix of `path`, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  // @return the service's description, or null.
  const ServiceSpec* service(const std::string& name) const;

 private:
  uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  CallerLimits limits_;
  tenant_table tenants_;
  // Indexes into routes_ by host and prefix, joined by a blank.
  std::unordered_map<std::string, size_t> by_host_and_prefix_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace chalkshed
