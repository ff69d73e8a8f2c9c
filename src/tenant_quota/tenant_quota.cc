#include "chalkshed/tenant_quota.h"

#include <algorithm>

#include "src/core/number_text.h"

namespace chalkshed {
namespace {

/** Reports that wait for a view are remembered up to this number; beyond it the newest stands for
 * those before. A node that is cut off would else remember one each time. */
constexpr size_t kMostReports = 32;

constexpr const char *kAdmitted = "admitted";
constexpr const char *kRefused = "refused";
constexpr const char *kGivenBack = "given_back";

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
      metrics_(metrics), knobs_(knobs), viewed_(time_source.monotonic_now()) {}

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
    has_news_ = true;
    const verdict judged = judge(*limited, use);
    count(name, judged.admitted ? kAdmitted : kRefused);
    if (!judged.admitted) {
        return refusal(*limited, judged, request);
    }
    ++use.admitted;
    use.share_left -= judged.by_view ? 0 : 1;
    return std::nullopt;
}

void tenant_quota::give_back(const std::string &name) {
    const auto found = usage_.find(tenant_hash(name));
    if (name.empty() || found == usage_.end()) {
        return;
    }
    --found->second.admitted;
    found->second.changed = true;
    has_news_ = true;
    count(name, kGivenBack);
}

tenant_quota::verdict tenant_quota::judge(const tenant &limited, usage &use) {
    const MonotonicTime now = time_source_.monotonic_now();
    const bool by_view = any_view_ && now - viewed_ <= knobs_.view_lifetime;
    verdict judged = by_view ? judge_by_view(limited, use, now) : judge_alone(limited, use, now);
    judged.by_view = by_view;
    judged.view_age = now - viewed_;
    // What is less than a whole request is admitted as often as that, so that many nodes together
    // admit what is left.
    judged.admitted = !judged.isolated && judged.allowance > 0 &&
                      (judged.allowance >= 1 || judged.allowance > random_.unit());
    return judged;
}

tenant_quota::verdict tenant_quota::judge_by_view(const tenant &limited, const usage &use,
                                                  MonotonicTime now) const {
    verdict judged;
    const auto listed = view_.find(tenant_hash(limited.name));
    judged.level = listed != view_.end() ? listed->second.level : burst_of(limited) * coverage_;
    judged.demand = listed != view_.end() ? listed->second.demand : 0.0;
    const double window = seconds_of(knobs_.demand_window);
    const double own = std::max(1.0, use.recent.per_second(now) * window);
    const double all = std::max(own, judged.demand * window);
    const auto unseen = static_cast<int32_t>(use.admitted - use.acknowledged);
    judged.allowance = judged.level * own / all - unseen;
    judged.isolated = coverage_ <= 0;
    return judged;
}

tenant_quota::verdict tenant_quota::judge_alone(const tenant &limited, usage &use,
                                                MonotonicTime now) const {
    verdict judged;
    const double share = 1.0 / static_cast<double>(std::max<size_t>(1, nodes_));
    const MonotonicTime alone_since = viewed_ + knobs_.view_lifetime;
    // What was left when the last view came may have been used by others: the share begins empty.
    if (use.share_filled < alone_since) {
        use.share_filled = alone_since;
        use.share_left = 0;
    }
    const double refill = limited.rate_per_second * share * seconds_of(now - use.share_filled);
    use.share_filled = now;
    use.share_left = std::min(use.share_left + refill, burst_of(limited) * share);
    judged.level = use.share_left;
    judged.allowance = use.share_left;
    judged.isolated = nodes_ == 0 || now - viewed_ > knobs_.most_isolation;
    return judged;
}

Duration tenant_quota::retry_after(const tenant &limited, const verdict &judged) {
    const double until_next = (1.0 - std::min(judged.level, 0.0)) / limited.rate_per_second;
    const double excess = std::max(judged.demand - limited.rate_per_second, 0.0);
    const Duration spread = std::clamp(
        duration_of(seconds_of(knobs_.refused_together) * excess / limited.rate_per_second),
        knobs_.least_retry_spread, knobs_.most_retry_spread);
    return duration_of(until_next) + duration_of(seconds_of(spread) * random_.unit());
}

Error tenant_quota::refusal(const tenant &limited, const verdict &judged,
                            const std::string &request) {
    Error error =
        judged.isolated
            ? not_run(ErrorKind::kUnavailable, "this node does not know what tenants have used",
                      "send it again, or to another node")
            : not_run(ErrorKind::kLimitExceeded,
                      "tenant '" + limited.name + "' is over its limit of " +
                          std::to_string(limited.rate_per_second) + " requests a second",
                      "send it again after the time given, or ask for a higher limit");
    error.retry_after = retry_after(limited, judged);
    logger_.write(LogLevel::kInfo, "request_over_limit",
                  {{"request", request},
                   {"tenant", limited.name},
                   {"limit_per_s", std::to_string(limited.rate_per_second)},
                   {"burst", std::to_string(limited.burst)},
                   {"left", std::to_string(judged.level)},
                   {"allowance", std::to_string(judged.allowance)},
                   {"demand_per_s", std::to_string(judged.demand)},
                   {"coverage", std::to_string(coverage_)},
                   {"view_age_ms", milliseconds_text(judged.view_age)},
                   {"basis", judged.by_view ? "view" : "share"},
                   {"retry_after_ms", milliseconds_text(*error.retry_after)}});
    return error;
}

void tenant_quota::count(const std::string &tenant_name, const char *outcome) {
    const RouteTablePtr &table = routes_.current();
    if (shown_version_ != table->version()) {
        shown_version_ = table->version();
        std::vector<const tenant *> ranked;
        for (const tenant &each : table->tenants().all()) {
            ranked.push_back(&each);
        }
        const size_t most = std::min(ranked.size(), knobs_.most_shown_tenants);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(most),
                          ranked.end(), [](const tenant *a, const tenant *b) {
                              return a->rate_per_second > b->rate_per_second;
                          });
        shown_.clear();
        for (size_t index = 0; index < most; ++index) {
            shown_[ranked[index]->name] = true;
        }
    }
    metrics_
        .counter("chalkshed_tenant_requests_total",
                 "Requests of limited tenants by what the limit made of them; tenants with lower "
                 "limits together.",
                 {{"tenant", shown_.contains(tenant_name) ? tenant_name : "others"},
                  {"outcome", outcome}})
        .add(1);
}

quota_message tenant_quota::make_report() {
    quota_message report;
    report.kind = quota_message_kind::kReport;
    report.sequence = ++sequence_;
    for (auto &[hash, use] : usage_) {
        if (std::exchange(use.changed, false)) {
            if (use.reported.size() >= kMostReports) {
                use.reported.pop_back();
            }
            use.reported.push_back({sequence_, use.admitted});
        }
        if (!use.reported.empty()) {
            report.counts.push_back({hash, use.asked, use.admitted});
        }
    }
    has_news_ = false;
    return report;
}

void tenant_quota::take_view(const quota_message &view) {
    viewed_ = time_source_.monotonic_now();
    any_view_ = true;
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
