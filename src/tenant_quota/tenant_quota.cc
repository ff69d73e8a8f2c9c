#include "chalkshed/tenant_quota.h"

#include <algorithm>

#include "src/core/number_text.h"

namespace chalkshed {
namespace {

/** Maximum number of unacknowledged reports; beyond it, the newest replaces the one before it.
 * Otherwise a node that is cut off would accumulate them. */
constexpr size_t kMaxReports = 32;

constexpr const char *kAdmitted = "admitted";
constexpr const char *kRefused = "refused";
constexpr const char *kRefunded = "given_back";

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

Duration duration_of(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

tenant_quota::tenant_quota(TimeSource &time_source, RandomGenerator &random,
                           const RouteWatch &routes, Logger &logger, MetricsRegistry &metrics,
                           const tenant_quota_knobs &knobs)
    : time_source_(time_source), random_(random), routes_(routes), logger_(logger),
      metrics_(metrics), knobs_(knobs), view_received_(time_source.monotonic_now()) {}

tenant_quota::usage &tenant_quota::usage_of(uint32_t hash) {
    return usage_.try_emplace(hash, knobs_.demand_window).first->second;
}

std::optional<Error> tenant_quota::admit(const std::string &name, const std::string &request) {
    const tenant *limited = name.empty() ? nullptr : routes_.current()->tenants().find(name);
    if (limited == nullptr || !limited->limited()) {
        return std::nullopt;
    }
    usage &use = usage_of(tenant_hash(name));
    ++use.asked;
    use.recent.add(1, time_source_.monotonic_now());
    use.changed = true;
    has_changes_ = true;
    const decision decided = decide(*limited, use);
    count(name, decided.admitted ? kAdmitted : kRefused);
    if (!decided.admitted) {
        return refusal(*limited, decided, request);
    }
    ++use.admitted;
    use.share_left -= decided.by_view ? 0 : 1;
    return std::nullopt;
}

void tenant_quota::give_back(const std::string &name) {
    const auto found = usage_.find(tenant_hash(name));
    if (name.empty() || found == usage_.end()) {
        return;
    }
    --found->second.admitted;
    found->second.changed = true;
    has_changes_ = true;
    count(name, kRefunded);
}

tenant_quota::decision tenant_quota::decide(const tenant &limited, usage &use) {
    const MonotonicTime now = time_source_.monotonic_now();
    const bool by_view = has_view_ && now - view_received_ <= knobs_.view_lifetime;
    decision decided =
        by_view ? decide_by_view(limited, use, now) : decide_by_share(limited, use, now);
    decided.by_view = by_view;
    decided.view_age = now - view_received_;
    // A fractional allowance is the probability of admission, so that many nodes together admit
    // what is left.
    decided.admitted = !decided.isolated && decided.allowance > 0 &&
                       (decided.allowance >= 1 || decided.allowance > random_.unit());
    return decided;
}

tenant_quota::decision tenant_quota::decide_by_view(const tenant &limited, const usage &use,
                                                    MonotonicTime now) const {
    decision decided;
    const auto listed = view_.find(tenant_hash(limited.name));
    decided.level = listed != view_.end() ? listed->second.level : burst_of(limited) * coverage_;
    decided.demand = listed != view_.end() ? listed->second.demand : 0.0;
    const double window = seconds_of(knobs_.demand_window);
    const double own = std::max(1.0, use.recent.per_second(now) * window);
    const double all = std::max(own, decided.demand * window);
    const auto unseen = static_cast<int32_t>(use.admitted - use.acknowledged);
    decided.allowance = decided.level * own / all - unseen;
    decided.isolated = coverage_ <= 0;
    return decided;
}

tenant_quota::decision tenant_quota::decide_by_share(const tenant &limited, usage &use,
                                                     MonotonicTime now) const {
    decision decided;
    const double share = 1.0 / static_cast<double>(std::max<size_t>(1, nodes_));
    const MonotonicTime without_view_since = view_received_ + knobs_.view_lifetime;
    // Other nodes may have used up what was left at the last view, so the share starts empty.
    if (use.share_filled < without_view_since) {
        use.share_filled = without_view_since;
        use.share_left = 0;
    }
    const double refill = limited.rate_per_second * share * seconds_of(now - use.share_filled);
    use.share_filled = now;
    use.share_left = std::min(use.share_left + refill, burst_of(limited) * share);
    decided.level = use.share_left;
    decided.allowance = use.share_left;
    decided.isolated = nodes_ == 0 || now - view_received_ > knobs_.max_isolation;
    return decided;
}

Duration tenant_quota::retry_after(const tenant &limited, const decision &decided) {
    const double until_next = (1.0 - std::min(decided.level, 0.0)) / limited.rate_per_second;
    const double excess = std::max(decided.demand - limited.rate_per_second, 0.0);
    const Duration spread = std::clamp(
        duration_of(seconds_of(knobs_.refusal_window) * excess / limited.rate_per_second),
        knobs_.min_retry_spread, knobs_.max_retry_spread);
    return duration_of(until_next) + duration_of(seconds_of(spread) * random_.unit());
}

Error tenant_quota::refusal(const tenant &limited, const decision &decided,
                            const std::string &request) {
    Error error =
        decided.isolated
            ? not_run(ErrorKind::kUnavailable, "this node has no information on the tenants' usage",
                      "retry the request, or send it to another node")
            : not_run(ErrorKind::kLimitExceeded,
                      "tenant '" + limited.name + "' is over its limit of " +
                          std::to_string(limited.rate_per_second) + " requests per second",
                      "retry after the Retry-After time, or ask for a higher limit");
    error.retry_after = retry_after(limited, decided);
    logger_.write(LogLevel::kInfo, "request_over_limit",
                  {{"request", request},
                   {"tenant", limited.name},
                   {"limit_per_s", std::to_string(limited.rate_per_second)},
                   {"burst", std::to_string(limited.burst)},
                   {"left", std::to_string(decided.level)},
                   {"allowance", std::to_string(decided.allowance)},
                   {"demand_per_s", std::to_string(decided.demand)},
                   {"coverage", std::to_string(coverage_)},
                   {"view_age_ms", milliseconds_text(decided.view_age)},
                   {"basis", decided.by_view ? "view" : "share"},
                   {"retry_after_ms", milliseconds_text(*error.retry_after)}});
    return error;
}

void tenant_quota::count(const std::string &tenant_name, const char *outcome) {
    const RouteTablePtr &table = routes_.current();
    if (with_metrics_version_ != table->version()) {
        with_metrics_version_ = table->version();
        std::vector<const tenant *> ranked;
        for (const tenant &each : table->tenants().all()) {
            ranked.push_back(&each);
        }
        const size_t most = std::min(ranked.size(), knobs_.max_tenants_with_metrics);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(most),
                          ranked.end(), [](const tenant *a, const tenant *b) {
                              return a->rate_per_second > b->rate_per_second;
                          });
        with_metrics_.clear();
        for (size_t index = 0; index < most; ++index) {
            with_metrics_[ranked[index]->name] = true;
        }
    }
    metrics_
        .counter("chalkshed_tenant_requests_total",
                 "Requests of limited tenants by what the limit made of them; tenants with lower "
                 "limits together.",
                 {{"tenant", with_metrics_.contains(tenant_name) ? tenant_name : "others"},
                  {"outcome", outcome}})
        .add(1);
}

quota_message tenant_quota::make_report() {
    quota_message report;
    report.kind = quota_message_kind::kReport;
    report.sequence = ++sequence_;
    for (auto &[hash, use] : usage_) {
        if (std::exchange(use.changed, false)) {
            if (use.reported.size() >= kMaxReports) {
                use.reported.pop_back();
            }
            use.reported.push_back({sequence_, use.admitted});
        }
        if (!use.reported.empty()) {
            report.counts.push_back({hash, use.asked, use.admitted});
        }
    }
    has_changes_ = false;
    return report;
}

void tenant_quota::apply_view(const quota_message &view) {
    view_received_ = time_source_.monotonic_now();
    has_view_ = true;
    coverage_ = view.coverage;
    view_.erase(view_.lower_bound(view.first), view_.upper_bound(view.last));
    for (const tenant_level &level : view.levels) {
        view_[level.tenant] = level;
    }
    for (auto &[hash, use] : usage_) {
        while (!use.reported.empty() && use.reported.front().first <= view.acknowledged) {
            use.acknowledged = use.reported.front().second;
            use.reported.pop_front();
        }
    }
}

} // namespace chalkshed
