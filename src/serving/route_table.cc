#include "src/serving/route_table.h"

namespace chalkshed {
namespace {

constexpr char kSeparator = ' ';  // occurs in neither a host nor a path

}  // namespace

std::string_view route_kind_name(RouteKind kind) {
  switch (kind) {
    case RouteKind::kRepeatable:
      return "repeatable";
    case RouteKind::kOnce:
      return "once";
    case RouteKind::kStreaming:
      return "streaming";
    case RouteKind::kBatch:
      return "batch";
  }
  return "once";
}

bool is_repeatable(const Route& route) {
  return route.kind == RouteKind::kRepeatable || route.kind == RouteKind::kBatch ||
         (route.kind == RouteKind::kStreaming && route.resumable);
}

RouteTable::RouteTable(uint64_t version, std::vector<Route> routes,
                       std::vector<ServiceSpec> services, const CallerLimits& limits,
                       tenant_table tenants)
    : version_(version), routes_(std::move(routes)), limits_(limits), tenants_(std::move(tenants)) {
  for (ServiceSpec& service : services) {
    std::string name = service.name;
    services_.emplace(std::move(name), std::move(service));
  }
  for (size_t index = 0; index < routes_.size(); ++index) {
    const Route& route = routes_[index];
    by_host_and_prefix_.emplace(route.host + kSeparator + route.path_prefix, index);
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  std::string key(host);
  key += kSeparator;
  key += path;
  for (size_t slash = key.rfind('/'); slash != std::string::npos && slash > host.size();
       slash = key.rfind('/', slash - 1)) {
    key.resize(slash + 1);
    const auto found = by_host_and_prefix_.find(key);
    if (found != by_host_and_prefix_.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::service(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace chalkshed
