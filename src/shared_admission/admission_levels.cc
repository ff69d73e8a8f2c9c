#include "chalkshed/admission_levels.h"

#include <algorithm>
#include <cmath>

#include "chalkshed/fair_share.h"

namespace chalkshed {
namespace {

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

Duration duration_of(double seconds) {
    constexpr double kMost = 3600;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, kMost)));
}

double rate_of(int64_t units) {
    return static_cast<double>(std::max<int64_t>(units, 0)) / kRateUnits;
}

} // namespace

void admission_totals::add(const admission_count &count, int sign) {
    const auto entry = demands_.try_emplace(count.key).first;
    demand &sum = entry->second;
    sum.arrived += sign * static_cast<int64_t>(count.arrived);
    sum.recent += sign * static_cast<int64_t>(count.recent);
    sum.admitted += sign * static_cast<int64_t>(count.admitted);
    sum.waiting += sign * static_cast<int64_t>(count.waiting);
    if (sum.arrived == 0 && sum.recent == 0 && sum.admitted == 0 && sum.waiting == 0) {
        demands_.erase(entry);
    }
}

void admission_totals::add(const served_count &count, int sign) {
    const auto entry = services_.try_emplace(count.service).first;
    served &sum = entry->second;
    sum.ended += sign * static_cast<int64_t>(count.ended);
    sum.busy += sign * static_cast<int64_t>(count.busy);
    if (sum.ended == 0 && sum.busy == 0) {
        services_.erase(entry);
    }
}

void admission_levels::adopt(const service_capacity &known, MonotonicTime now) {
    if (known.overloaded) {
        services_.try_emplace(known.service,
                              service{true, known.capacity, now, now, std::nullopt, now});
    }
}

void admission_levels::fill(admission_message &view, const admission_totals &totals,
                            double coverage, const std::function<service_slots(uint32_t)> &slots_of,
                            MonotonicTime now) {
    std::map<uint32_t, state> states;
    for (const auto &[hash, known] : services_) {
        states[hash];
    }
    for (const auto &[key, demand] : totals.demands()) {
        state &current = states[key.service];
        current.demands.emplace_back(key, demand);
        current.waiting += static_cast<double>(std::max<int64_t>(demand.waiting, 0));
    }
    for (auto &[hash, current] : states) {
        const auto served = totals.services().find(hash);
        if (served != totals.services().end()) {
            current.ended = rate_of(served->second.ended);
            current.mean_hold =
                current.ended > 0 ? rate_of(served->second.busy) / current.ended : 0;
        }
        current.slots = slots_of(hash);
        current.coverage = coverage;
        update(hash, current, view, now);
    }
    std::erase_if(services_, [this, now](const auto &each) {
        return !each.second.overloaded && now - each.second.ended > knobs_.end_time;
    });
    std::erase_if(limited_,
                  [this, now](const auto &each) { return now - each.second > knobs_.end_time; });
}

/** The number of arrivals within the recent window is about Poisson distributed; an exponential
 * average over them has half of its variance. */
double admission_levels::demand_of(const admission_totals::demand &sum) const {
    const double usual = rate_of(sum.arrived);
    const double recent = rate_of(sum.recent);
    const double deviation =
        std::sqrt(std::max(usual, 1.0) / (2 * seconds_of(knobs_.recent_window)));
    const double beyond = std::abs(recent - usual) / deviation - 1;
    const double weight = std::clamp(beyond / (knobs_.significant_deviations - 1), 0.0, 1.0);
    return usual + weight * (recent - usual);
}

double admission_levels::estimate(const state &current) {
    return current.mean_hold > 0 ? current.slots.all / current.mean_hold : 0;
}

bool admission_levels::begins(const state &current) const {
    const double least = estimate(current) * seconds_of(knobs_.overload_wait);
    return least > 0 && current.waiting > current.slots.free &&
           current.waiting > std::max(least, knobs_.least_waiting);
}

void admission_levels::measure(service &known, const state &current, MonotonicTime now) const {
    const double passed = seconds_of(now - known.updated);
    known.updated = now;
    const bool full = current.slots.free <= knobs_.free_share * current.slots.all;
    const bool measured = full && current.ended > 0 && now - known.since > knobs_.report_time;
    const double rate = measured ? current.ended / current.coverage : estimate(current);
    const double weight = std::min(passed / seconds_of(knobs_.capacity_window), 1.0);
    known.capacity += rate > 0 ? (rate - known.capacity) * weight : 0;
}

/** The part of an uncounted node isn't given to others, so free slots are only used in part. */
double admission_levels::admitted_rate(const service &known, const state &current) const {
    const double own = known.capacity * current.coverage;
    const double aimed = std::max(own * seconds_of(knobs_.aimed_wait), knobs_.least_waiting);
    const double surplus = aimed - current.waiting + current.slots.free * current.coverage;
    return std::max(own + surplus / seconds_of(knobs_.correction_time),
                    own * knobs_.least_share_of_capacity);
}

void admission_levels::note_calm(service &known, bool calm, MonotonicTime now) const {
    if (!calm) {
        known.calm_since.reset();
        return;
    }
    known.calm_since = known.calm_since.value_or(now);
    if (known.overloaded && now - *known.calm_since >= knobs_.calm_time) {
        known.overloaded = false;
        known.ended = now;
    }
}

void admission_levels::update(uint32_t hash, const state &current, admission_message &view,
                              MonotonicTime now) {
    if (!services_.contains(hash) && !begins(current)) {
        return;
    }
    service &known = services_[hash];
    if (!known.overloaded && begins(current)) {
        known = {true, estimate(current), now, now, std::nullopt, now};
    }
    measure(known, current, now);
    std::vector<share_demand> demands;
    std::map<uint32_t, double> waiting;
    for (const auto &[key, demand] : current.demands) {
        demands.push_back({key.priority, demand_of(demand)});
        waiting[key.priority] += static_cast<double>(std::max<int64_t>(demand.waiting, 0));
    }
    const std::vector<priority_share> shares =
        fair_shares(std::move(demands), admitted_rate(known, current));
    const bool limits = std::any_of(shares.begin(), shares.end(), [](const priority_share &each) {
        return each.level != kNoLevel;
    });
    const double rate = std::max(known.capacity * current.coverage, 1.0);
    note_calm(known,
              !limits && (current.waiting / rate < seconds_of(knobs_.overload_wait) ||
                          current.waiting <= knobs_.least_waiting),
              now);
    view.services.push_back({hash, known.overloaded, static_cast<float>(known.capacity)});
    if (!known.overloaded) {
        return;
    }
    std::map<uint32_t, double> levels;
    double ahead = 0;
    for (const priority_share &share : shares) {
        ahead += waiting[share.priority];
        levels[share.priority] = share.level;
        view.levels.push_back({hash, share.priority, static_cast<float>(share.level),
                               static_cast<float>(share.demand), duration_of(ahead / rate)});
    }
    for (const auto &[key, demand] : current.demands) {
        const double rate_asked = demand_of(demand);
        if (rate_asked > levels[key.priority]) {
            limited_[key] = now;
        }
        // Also sent for a while after it was limited: the nodes would otherwise go on with the
        // previous value until that expires.
        if (limited_.contains(key)) {
            view.shares.push_back({key, static_cast<float>(rate_asked)});
        }
    }
}

} // namespace chalkshed
