#include "chalkshed/shared_admission.h"

#include <algorithm>
#include <cmath>

#include "chalkshed/fair_share.h"
#include "chalkshed/tenant_quota.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

/** Refusals that one report names. With more, the callers' retries are treated as new requests. */
constexpr size_t kMaxUntold = 200;

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

Duration duration_of(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

uint32_t units_of(double rate) {
    return static_cast<uint32_t>(std::lround(std::clamp(rate * kRateUnits, 0.0, 4e9)));
}

} // namespace

shared_admission::shared_admission(TimeSource &time_source, RandomGenerator &random, Logger &logger,
                                   MetricsRegistry &metrics, const shared_admission_knobs &knobs)
    : time_source_(time_source), random_(random), logger_(logger), metrics_(metrics), knobs_(knobs),
      refused_(knobs.max_contents, knobs.content_lifetime) {}

bool shared_admission::fresh(MonotonicTime heard) const {
    return time_source_.monotonic_now() - heard <= knobs_.view_lifetime;
}

shared_admission::usage &shared_admission::usage_of(const admission_key &key) {
    const auto [entry, is_new] = usage_.try_emplace(key, knobs_);
    if (is_new) {
        // With a fixed start, all nodes would refuse the first request of a tenant.
        entry->second.credit = random_.unit();
    }
    return entry->second;
}

shared_admission::served &shared_admission::served_of(std::string_view service) {
    const auto [entry, is_new] = served_.try_emplace(service_hash(service), knobs_.demand_window);
    if (is_new) {
        entry->second.name = service;
    }
    return entry->second;
}

void shared_admission::set_services(const std::vector<std::string> &names) {
    for (const std::string &name : names) {
        served_of(name);
    }
}

shared_verdict shared_admission::admit(const admission_request &request) {
    const MonotonicTime now = time_source_.monotonic_now();
    served_of(request.service);
    const admission_key key{service_hash(request.service), request.priority,
                            request.tenant.empty() ? 0 : tenant_hash(request.tenant)};
    usage &use = usage_of(key);
    use.used = now;
    const decision decided = decide(request, key, use);
    if (decided.late) {
        return {std::nullopt, true}; // waits for room beside the demand, so it isn't part of it
    }
    use.arrived.add(1, now);
    use.recent.add(1, now);
    if (decided.admitted) {
        use.admitted.add(1, now);
        return {};
    }
    return {refuse(request, key, decided), false};
}

shared_admission::decision shared_admission::decide(const admission_request &request,
                                                    const admission_key &key, usage &use) {
    const MonotonicTime now = time_source_.monotonic_now();
    decision decided;
    const uint64_t content = content_key(request.digest, key.tenant);
    const std::optional<MonotonicTime> refused = refused_.take(content, now);
    decided.refused = refused;
    const auto found = views_.find(key.service);
    if (found == views_.end() || !found->second.overloaded) {
        return decided;
    }
    service_view &view = found->second;
    if (!fresh(view.heard) && !alone_and_full(view, request.service)) {
        return decided;
    }
    read_view(view, key, decided);
    if (refused && comes_too_late(request, now - *refused + decided.wait)) {
        decided.late = request.late < knobs_.max_late &&
                       (key.tenant == 0 || request.late_of_tenant < knobs_.max_late_of_tenant);
        decided.admitted = decided.late;
        return decided;
    }
    // The queue consists of the requests of tenants above the level: the others' go before them.
    const double target = seconds_of(request.target);
    if (!refused && target > 0 && decided.part < 1 &&
        seconds_of(decided.wait) > target * knobs_.expected_wait_share_of_target) {
        decided.admitted = false;
        return decided;
    }
    decided.admitted = spend(use, decided.part, refused.has_value());
    if (!fresh(view.heard)) {
        decided.admitted = decided.admitted && spend_equal_share(view);
    }
    return decided;
}

/** \param wait From the first attempt to its work. */
bool shared_admission::comes_too_late(const admission_request &request, Duration wait) const {
    const double target = seconds_of(request.target);
    return target > 0 && seconds_of(wait) >= target * knobs_.max_wait_share_of_target;
}

/** A priority that the view doesn't name gets what the next higher one leaves, which is nothing if
 * that one is limited. */
void shared_admission::read_view(const service_view &view, const admission_key &key,
                                 decision &decided) const {
    decided.level = kNoLevel;
    const auto after = view.levels.upper_bound(key.priority);
    if (after != view.levels.begin()) {
        const admission_level &nearest = std::prev(after)->second.level;
        const bool named = nearest.priority == key.priority;
        decided.level = named || nearest.level == kNoLevel ? nearest.level : 0;
        decided.wait = nearest.wait;
    }
    const auto share = view.shares.find({key.priority, key.tenant});
    decided.demand = share == view.shares.end() ? 0 : share->second.demand;
    if (decided.level <= 0) {
        decided.part = 0;
    } else if (decided.demand > decided.level) {
        decided.part = decided.level / decided.demand;
    }
}

/** Admits that part of the requests, evenly. A returned request goes before the new ones of its
 * tenant, which then make up for it. */
bool shared_admission::spend(usage &use, double part, bool returned) const {
    if (part >= 1) {
        return true;
    }
    use.credit += part;
    const double least = returned && part > 0 ? 1 - knobs_.max_returned_ahead : 1;
    if (use.credit < least) {
        return false;
    }
    use.credit -= 1;
    return true;
}

/** Whether a service, for which this node has lost the views, has to be taken for overloaded. */
bool shared_admission::alone_and_full(const service_view &view, std::string_view service) const {
    const service_slots slots = slots_ ? slots_(service) : service_slots{};
    return slots.free <= knobs_.free_share * slots.all &&
           time_source_.monotonic_now() - view.heard <= knobs_.max_isolation;
}

/** Whether this node, which has lost the views, may admit a request as one of all nodes. */
bool shared_admission::spend_equal_share(service_view &view) {
    const MonotonicTime now = time_source_.monotonic_now();
    const double rate = view.capacity / static_cast<double>(std::max<size_t>(nodes_, 1));
    const double passed = seconds_of(now - std::max(view.equal_share_filled, view.heard));
    const double most = std::max(1.0, rate * seconds_of(knobs_.view_lifetime));
    view.equal_share_left = std::min(view.equal_share_left + rate * passed, most);
    view.equal_share_filled = now;
    if (view.equal_share_left < 1) {
        return false;
    }
    view.equal_share_left -= 1;
    return true;
}

Duration shared_admission::retry_after(const decision &decided) {
    const double window = seconds_of(knobs_.refusal_window);
    const double excess =
        decided.part > 0 ? window * (1 / decided.part - 1) : seconds_of(knobs_.max_retry_spread);
    const double spread = std::clamp(excess, seconds_of(knobs_.min_retry_spread),
                                     seconds_of(knobs_.max_retry_spread));
    const double latest =
        std::min(seconds_of(decided.wait) + spread, seconds_of(knobs_.max_retry_spread));
    const double earliest =
        std::min(seconds_of(decided.wait) + seconds_of(knobs_.min_retry_spread) / 2, latest);
    return duration_of(earliest + (latest - earliest) * random_.unit());
}

Error shared_admission::refuse(const admission_request &request, const admission_key &key,
                               const decision &decided) {
    const MonotonicTime now = time_source_.monotonic_now();
    const uint64_t content = content_key(request.digest, key.tenant);
    refused_at_ = now;
    // The target counts from the first attempt.
    if (refused_.add(content, decided.refused.value_or(now), now) && untold_.size() < kMaxUntold) {
        untold_.emplace_back(content, decided.refused.value_or(now));
    }
    Error error =
        not_run(ErrorKind::kOverloaded,
                "service '" + std::string(request.service) + "' cannot serve all requests in time",
                "retry after the given delay");
    error.retry_after = retry_after(decided);
    metrics_
        .counter("chalkshed_admission_refusals_total",
                 "Requests that were refused because their service was overloaded.",
                 {{"service", std::string(request.service)},
                  {"priority", std::to_string(request.priority)}})
        .add(1);
    logger_.write(LogLevel::kInfo, "request_refused_overloaded",
                  {{"request", std::string(request.id)},
                   {"service", std::string(request.service)},
                   {"tenant", std::string(request.tenant)},
                   {"priority", std::to_string(request.priority)},
                   {"level", std::to_string(decided.level)},
                   {"demand", std::to_string(decided.demand)},
                   {"expected_wait_ms", milliseconds_text(decided.wait)},
                   {"retry_after_ms", milliseconds_text(*error.retry_after)}});
    if (on_active_) {
        on_active_();
    }
    return error;
}

void shared_admission::note_ended(std::string_view service, Duration held) {
    const MonotonicTime now = time_source_.monotonic_now();
    served &use = served_of(service);
    use.ended.add(1, now);
    use.busy.add(seconds_of(held), now);
}

void shared_admission::note_waiting() {
    waited_ = time_source_.monotonic_now();
    if (on_active_) {
        on_active_();
    }
}

bool shared_admission::active() {
    const MonotonicTime now = time_source_.monotonic_now();
    if (list_waiting_) {
        list_waiting_([this, now](const waiting_request &) { waited_ = now; });
    }
    // The initial values mean that neither has happened.
    const bool waited = waited_ != MonotonicTime{} && now - waited_ < knobs_.report_after_wait;
    const bool refused =
        refused_at_ != MonotonicTime{} && now - refused_at_ < knobs_.report_after_refusal;
    return waited || refused || std::any_of(views_.begin(), views_.end(), [this](const auto &each) {
               return each.second.overloaded && fresh(each.second.heard);
           });
}

void shared_admission::drop_idle(MonotonicTime now) {
    if (now - idle_dropped_ < knobs_.idle_lifetime / 4) {
        return;
    }
    idle_dropped_ = now;
    std::erase_if(usage_, [this, now](const auto &each) {
        return now - each.second.used > knobs_.idle_lifetime;
    });
    std::erase_if(views_, [this, now](const auto &each) {
        const Duration most = each.second.overloaded ? knobs_.max_isolation : knobs_.idle_lifetime;
        return now - each.second.heard > most;
    });
}

admission_message shared_admission::make_report() {
    const MonotonicTime now = time_source_.monotonic_now();
    drop_idle(now);
    admission_message report;
    report.kind = admission_message_kind::kReport;
    report.sequence = ++sequence_;
    std::map<admission_key, uint32_t> waiting;
    if (list_waiting_) {
        list_waiting_([&waiting](const waiting_request &each) {
            ++waiting[{service_hash(each.service), each.priority,
                       each.tenant.empty() ? 0 : tenant_hash(each.tenant)}];
        });
    }
    for (const auto &[key, use] : usage_) {
        const auto found = waiting.find(key);
        const admission_count count{
            key, units_of(use.arrived.per_second(now)), units_of(use.recent.per_second(now)),
            units_of(use.admitted.per_second(now)), found == waiting.end() ? 0 : found->second};
        if (count.arrived > 0 || count.admitted > 0 || count.waiting > 0) {
            report.counts.push_back(count);
        }
    }
    for (const auto &[service, use] : served_) {
        const uint32_t ended = units_of(use.ended.per_second(now));
        if (ended > 0) {
            report.served.push_back({service, ended, units_of(use.busy.per_second(now))});
        }
    }
    for (const auto &[content, refused] : untold_) {
        report.contents.push_back({content, now - refused});
    }
    untold_.clear();
    return report;
}

void shared_admission::apply_view(const admission_message &view) {
    const MonotonicTime now = time_source_.monotonic_now();
    for (const service_capacity &each : view.services) {
        service_view &known = views_[each.service];
        if (each.overloaded && !known.overloaded && on_active_) {
            known.overloaded = true;
            on_active_();
        }
        known.overloaded = each.overloaded;
        known.capacity = each.capacity;
        known.heard = now;
        known.equal_share_left = 0;
        std::erase_if(known.levels,
                      [this](const auto &entry) { return !fresh(entry.second.heard); });
        std::erase_if(known.shares,
                      [this](const auto &entry) { return !fresh(entry.second.heard); });
    }
    for (const admission_level &each : view.levels) {
        views_[each.service].levels[each.priority] = {each, now};
    }
    for (const limited_demand &each : view.shares) {
        views_[each.key.service].shares[{each.key.priority, each.key.tenant}] = {each.demand, now};
    }
    for (const refused_content &each : view.contents) {
        note_refused(each);
    }
    set_gauges(view);
}

void shared_admission::set_gauges(const admission_message &view) {
    const auto gauge = [this](const char *name, const char *help, uint32_t service,
                              std::optional<uint32_t> priority, double value) {
        const auto found = served_.find(service);
        if (found == served_.end()) {
            return;
        }
        MetricLabels labels = {{"service", found->second.name}};
        if (priority) {
            labels["priority"] = std::to_string(*priority);
        }
        metrics_.gauge(name, help, labels).set(value);
    };
    for (const service_capacity &each : view.services) {
        gauge("chalkshed_admission_overloaded", "Whether the service is overloaded.", each.service,
              std::nullopt, each.overloaded ? 1 : 0);
        gauge("chalkshed_admission_capacity",
              "Requests per second that an overloaded service ends.", each.service, std::nullopt,
              each.capacity);
    }
    for (const admission_level &each : view.levels) {
        gauge("chalkshed_admission_demand", "Requests per second for an overloaded service.",
              each.service, each.priority, each.demand);
        gauge("chalkshed_admission_level", "Highest rate of a tenant at an overloaded service.",
              each.service, each.priority, each.level);
    }
}

void shared_admission::note_refused(const refused_content &content) {
    const MonotonicTime now = time_source_.monotonic_now();
    refused_.add(content.content, now - content.age, now);
}

bool shared_admission::overloaded(std::string_view service) const {
    const auto found = views_.find(service_hash(service));
    return found != views_.end() && found->second.overloaded && fresh(found->second.heard);
}

std::vector<service_capacity> shared_admission::overloaded_services() const {
    std::vector<service_capacity> services;
    for (const auto &[service, view] : views_) {
        if (view.overloaded) {
            services.push_back({service, true, static_cast<float>(view.capacity)});
        }
    }
    return services;
}

service_slots shared_admission::slots_of(uint32_t service) const {
    const auto found = served_.find(service);
    return found == served_.end() || !slots_ ? service_slots{} : slots_(found->second.name);
}

} // namespace chalkshed
