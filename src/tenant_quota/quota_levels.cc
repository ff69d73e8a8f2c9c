#include "chalkshed/quota_levels.h"

#include <algorithm>

namespace chalkshed {
namespace {

/** Excess admissions are compensated up to the burst plus the rate of this time. A larger debt can
 * only result from wrong counts, which must not block a tenant for long. */
constexpr double kMaxDebtSeconds = 1.0;

/** See reset_with_credit(). Without it, the nodes refused 1,100 of 2,100 requests in the two
 * seconds after all had lost power, measured with 60 nodes in a burst. */
constexpr double kStartCredit = 0.5;

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double burst_of(const tenant &limited) {
    return std::max(1.0, limited.burst);
}

quota_levels::quota_levels(MonotonicTime now, Duration demand_window)
    : demand_window_(demand_window), advanced_(now) {}

void quota_levels::set_tenants(const tenant_table &tenants, MonotonicTime now) {
    std::unordered_map<uint32_t, bucket> kept;
    for (const tenant &limited : tenants.all()) {
        if (!limited.limited()) {
            continue;
        }
        const uint32_t hash = tenant_hash(limited.name);
        const auto known = buckets_.find(hash);
        const double burst = burst_of(limited);
        bucket next{limited.rate_per_second, burst, started_ ? burst : 0.0,
                    recent_rate(demand_window_)};
        if (known != buckets_.end()) {
            next.level = std::min(known->second.level, burst);
            next.demand = known->second.demand;
        }
        kept.emplace(hash, next);
    }
    buckets_ = std::move(kept);
    advanced_ = started_ ? advanced_ : now;
    started_ = true;
}

void quota_levels::advance(MonotonicTime now, double coverage) {
    const double seconds = seconds_of(now - advanced_);
    advanced_ = now;
    // Nodes that are no longer counted may use up part of the remaining quota too.
    const double kept = coverage < coverage_ && coverage_ > 0 ? coverage / coverage_ : 1.0;
    coverage_ = coverage;
    const double credit = kStartCredit * std::max(coverage - credited_, 0.0);
    credited_ = std::max(credited_, coverage);
    for (auto &[hash, filled] : buckets_) {
        filled.level += credit * std::min(filled.burst, filled.rate);
        filled.level *= filled.level > 0 ? kept : 1.0;
        filled.level =
            std::min(filled.level + filled.rate * coverage * seconds, filled.burst * coverage);
    }
}

void quota_levels::reset(MonotonicTime now, double share, double coverage) {
    advanced_ = now;
    coverage_ = coverage;
    for (auto &[hash, filled] : buckets_) {
        filled.level = filled.burst * share;
    }
}

void quota_levels::reset_with_credit(MonotonicTime now) {
    reset(now, 0.0, 0.0);
    credited_ = 0;
}

void quota_levels::adopt(const tenant_level &known) {
    const auto found = buckets_.find(known.tenant);
    if (found != buckets_.end()) {
        found->second.level = known.level;
    }
}

void quota_levels::add(const tenant_count &more, MonotonicTime now) {
    const auto found = buckets_.find(more.tenant);
    if (found == buckets_.end()) {
        return;
    }
    // Counts wrap around, and they decrease when an admitted request that did not run is refunded.
    bucket &filled = found->second;
    const double max_debt = filled.burst + filled.rate * kMaxDebtSeconds;
    filled.level = std::max(filled.level - static_cast<int32_t>(more.admitted), -max_debt);
    filled.demand.add(std::max(static_cast<int32_t>(more.asked), 0), now);
}

std::vector<tenant_level> quota_levels::below(double share, MonotonicTime now) const {
    std::vector<tenant_level> levels;
    for (const auto &[hash, filled] : buckets_) {
        if (filled.level < share * filled.burst) {
            levels.push_back({hash, static_cast<float>(filled.level),
                              static_cast<float>(filled.demand.per_second(now))});
        }
    }
    std::sort(levels.begin(), levels.end(),
              [](const tenant_level &a, const tenant_level &b) { return a.tenant < b.tenant; });
    return levels;
}

std::optional<double> quota_levels::level(uint32_t tenant) const {
    const auto found = buckets_.find(tenant);
    return found == buckets_.end() ? std::nullopt : std::optional(found->second.level);
}

} // namespace chalkshed
