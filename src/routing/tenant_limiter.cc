#include "src/routing/tenant_limiter.h"

#include <algorithm>

#include "src/core/digest.h"
#include "src/routing/routing_messages_generated.h"

namespace chalkshed {
namespace {

constexpr std::string_view kTenantUsageKind = "tenant_usage";
constexpr double kDemandSmoothing = 0.5;
// Demand below this many requests per second counts as zero.
constexpr double kNoDemand = 0.05;

uint32_t tenant_hash(const std::string& tenant) {
  return static_cast<uint32_t>(content_hash(tenant));
}

}  // namespace

TenantLimiter::TenantLimiter(const NodeIdentity& identity, NodeDependencies& dependencies,
                             ConfigurationSource& configuration, MembershipView& membership,
                             Gossip& gossip, TenantLimiterKnobs knobs)
    : identity_(identity),
      dependencies_(dependencies),
      configuration_(configuration),
      membership_(membership),
      gossip_(gossip),
      knobs_(knobs),
      measured_at_(dependencies.time_source.monotonic_now()) {
  const std::string kind(kTenantUsageKind);
  gossip_.subscribe(kind,
                    lifetime_.guard([this](const GossipEntry& entry) { handle_usage(entry); }));
  timer_ = dependencies_.dispatcher.create_timer([this] { tick(); });
  timer_->enable(knobs_.interval);
}

std::optional<Error> TenantLimiter::admit(const std::string& tenant) {
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration == nullptr) {
    return std::nullopt;
  }
  const auto limits = configuration->tenants.find(tenant);
  if (limits == configuration->tenants.end() || limits->second.requests_per_second <= 0) {
    return std::nullopt;
  }
  const TenantConfiguration& limit = limits->second;
  TenantState& state = state_of(tenant, limit);
  ++state.requests;
  const double per_second = limit.requests_per_second * state.share;
  const double burst = limit.request_burst > 0 ? limit.request_burst : limit.requests_per_second;
  state.bucket.refill(dependencies_.time_source.monotonic_now(), per_second,
                      std::max(1.0, burst * state.share));
  if (state.bucket.take()) {
    return std::nullopt;
  }
  Error error =
      not_run(ErrorKind::kLimitExceeded,
              "tenant " + tenant + " is over its limit of " +
                  std::to_string(limit.requests_per_second) + " requests per second",
              "retry after the delay in retry_after, or ask the operators for a higher limit");
  error.retry_after =
      std::max<Duration>(std::chrono::seconds(1), state.bucket.until_next(per_second));
  return error;
}

double TenantLimiter::share(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? equal_share() : found->second.share;
}

TenantLimiter::TenantState& TenantLimiter::state_of(const std::string& tenant,
                                                    const TenantConfiguration& limits) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end()) {
    return found->second;
  }
  const double initial_share = equal_share();
  const double burst = limits.request_burst > 0 ? limits.request_burst : limits.requests_per_second;
  const TokenBucket bucket(std::max(1.0, burst * initial_share),
                           dependencies_.time_source.monotonic_now());
  TenantState state(bucket);
  state.share = initial_share;
  return tenants_.emplace(tenant, std::move(state)).first->second;
}

void TenantLimiter::tick() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  measure(std::chrono::duration<double>(now - measured_at_).count());
  measured_at_ = now;
  publish();
  for (auto& [tenant, state] : tenants_) {
    update_share(tenant, state);
  }
  const double stretch = 1.0 + knobs_.jitter * dependencies_.random.unit();
  timer_->enable(std::chrono::duration_cast<Duration>(knobs_.interval * stretch));
}

void TenantLimiter::measure(double seconds) {
  for (auto& [tenant, state] : tenants_) {
    const double rate = state.requests / std::max(seconds, 1e-3);
    state.requests = 0;
    state.demand += kDemandSmoothing * (rate - state.demand);
    if (state.demand < kNoDemand) {
      state.demand = 0;
    }
  }
}

void TenantLimiter::publish() {
  std::vector<wire::TenantDemand> demands;
  for (const auto& [tenant, state] : tenants_) {
    if (state.demand > 0) {
      demands.emplace_back(tenant_hash(tenant), static_cast<float>(state.demand));
    }
  }
  if (demands.empty() && !published_demand_) {
    return;
  }
  published_demand_ = !demands.empty();
  std::stable_sort(demands.begin(), demands.end(),
                   [](const wire::TenantDemand& left, const wire::TenantDemand& right) {
                     return left.per_second() > right.per_second();
                   });
  if (demands.size() > knobs_.published_tenants) {
    demands.resize(knobs_.published_tenants);
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateTenantUsage(builder, builder.CreateVectorOfStructs(demands)));
  GossipEntry entry;
  entry.kind = kTenantUsageKind;
  entry.key = identity_.id;
  const auto wall = dependencies_.time_source.wall_now().time_since_epoch();
  entry.version = static_cast<uint64_t>(wall.count());
  entry.value.assign(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  gossip_.publish(std::move(entry));
}

void TenantLimiter::handle_usage(const GossipEntry& entry) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(entry.value.data());
  flatbuffers::Verifier verifier(bytes, entry.value.size());
  if (!verifier.VerifyBuffer<wire::TenantUsage>(nullptr)) {
    return;
  }
  PeerUsage usage;
  usage.heard_at = dependencies_.time_source.monotonic_now();
  const auto* message = flatbuffers::GetRoot<wire::TenantUsage>(bytes);
  if (message->demands() != nullptr) {
    for (const wire::TenantDemand* demand : *message->demands()) {
      usage.demands[demand->tenant()] = demand->per_second();
    }
  }
  peers_[entry.key] = std::move(usage);
  // Decreases take effect at once.
  for (auto& [tenant, state] : tenants_) {
    state.share = std::min(state.share, target_share(tenant, state));
  }
}

double TenantLimiter::equal_share() const {
  return 1.0 / static_cast<double>(std::max<size_t>(1, membership_.members().size()));
}

double TenantLimiter::target_share(const std::string& tenant, const TenantState& state) const {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  const uint32_t hash = tenant_hash(tenant);
  const std::vector<Member> members = membership_.members();
  const double equal = 1.0 / static_cast<double>(std::max<size_t>(1, members.size()));
  double others = 0;
  for (const Member& member : members) {
    const auto peer = peers_.find(member.id);
    if (member.id == identity_.id || peer == peers_.end()) {
      continue;
    }
    const auto demand = peer->second.demands.find(hash);
    if (demand == peer->second.demands.end()) {
      continue;
    }
    if (now - peer->second.heard_at > knobs_.stale_after) {
      return equal;  // no recent report from a live member with demand: gossip is stale
    }
    others += demand->second;
  }
  if (others <= 0) {
    return state.demand > 0 ? 1.0 : equal;
  }
  // A small equal fraction serves new demand of a node until the other nodes know about it.
  constexpr double kEqualFraction = 0.1;
  const double proportional = state.demand / (state.demand + others);
  return kEqualFraction * equal + (1.0 - kEqualFraction) * proportional;
}

void TenantLimiter::update_share(const std::string& tenant, TenantState& state) {
  state.targets.push_back(target_share(tenant, state));
  const auto window_size = static_cast<size_t>(knobs_.settle / knobs_.interval) + 1;
  while (state.targets.size() > window_size) {
    state.targets.pop_front();
  }
  const bool settled = state.targets.size() == window_size;
  const double minimum = *std::min_element(state.targets.begin(), state.targets.end());
  state.share = settled ? minimum : std::min(state.share, minimum);
}

}  // namespace chalkshed
