#include "chalkshed/part_trials.h"

#include <algorithm>

#include "chalkshed/request_digest.h"

namespace chalkshed {
namespace {

// A part of which no request has asked for a trial for this long is dropped.
constexpr Duration kIdleTimeout = std::chrono::seconds(10);

} // namespace

part_trials::part_trials(TimeSource &time_source, Dispatcher &dispatcher, Logger &logger,
                         MetricsRegistry &metrics, const turn_functions &turns,
                         const part_trials_knobs &knobs)
    : time_source_(time_source), logger_(logger), metrics_(metrics), turns_(turns), knobs_(knobs),
      renewal_timer_(dispatcher.create_timer([this] { renew_turns(); })) {}

bool part_trials::open(const trial &known, MonotonicTime now) const {
    return !known.running && now >= known.busy_until;
}

bool part_trials::open(const std::vector<uint64_t> &parts) const {
    const MonotonicTime now = time_source_.monotonic_now();
    return std::all_of(parts.begin(), parts.end(), [&](uint64_t part) {
        const auto found = trials_.find(part);
        return found == trials_.end() || open(found->second, now);
    });
}

bool part_trials::take(const std::vector<uint64_t> &parts) {
    const MonotonicTime now = time_source_.monotonic_now();
    drop_idle(now);
    bool all = !parts.empty();
    for (const uint64_t part : parts) {
        all = take(part, now) && all; // asks for all turns at the same time
    }
    return all;
}

bool part_trials::take(uint64_t part, MonotonicTime now) {
    trial &known = trials_[part];
    known.last_used = now;
    if (!open(known, now)) {
        return false;
    }
    if (turns_.take(part, now)) {
        known.asked = {};
        known.granted = now;
        return true;
    }
    known.granted = {};
    if (known.asked == MonotonicTime{} || now - known.asked >= 2 * knobs_.turn_timeout) {
        known.asked = now; // also if an earlier request for the turn was given up
    } else if (now - known.asked >= knobs_.turn_timeout) {
        known.asked = {};
        known.busy_until = now + knobs_.busy_delay;
    }
    return false;
}

bool part_trials::granted(const std::vector<uint64_t> &parts) const {
    const MonotonicTime now = time_source_.monotonic_now();
    return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) {
        const auto found = trials_.find(part);
        return found != trials_.end() && !found->second.running &&
               found->second.granted != MonotonicTime{} &&
               now - found->second.granted < knobs_.turn_timeout;
    });
}

void part_trials::note_started(const std::vector<uint64_t> &parts, const std::string &request_id) {
    const MonotonicTime now = time_source_.monotonic_now();
    for (const uint64_t part : parts) {
        trial &known = trials_[part];
        known.running = true;
        known.granted = {};
        known.last_used = now;
        turns_.note_running(part);
        logger_.write(LogLevel::kInfo, "part_trial_started",
                      {{"part", digest_text(part)}, {"request", request_id}});
    }
    metrics_
        .counter("chalkshed_part_trials_total",
                 "Runs that tried whether a held part of prompts still crashes workers.", {})
        .add(1);
    if (!renewal_timer_->enabled()) {
        renewal_timer_->enable(knobs_.renewal_interval);
    }
}

bool part_trials::running(uint64_t part) const {
    const auto found = trials_.find(part);
    return found != trials_.end() && found->second.running;
}

void part_trials::note_finished(uint64_t part, MonotonicTime not_before) {
    const auto found = trials_.find(part);
    if (found == trials_.end() || !found->second.running) {
        return;
    }
    trials_.erase(found);
    turns_.note_finished(part, not_before);
    logger_.write(LogLevel::kInfo, "part_trial_finished", {{"part", digest_text(part)}});
}

void part_trials::renew_turns() {
    bool any = false;
    for (const auto &[part, known] : trials_) {
        if (known.running) {
            turns_.note_running(part);
            any = true;
        }
    }
    if (any) {
        renewal_timer_->enable(knobs_.renewal_interval);
    }
}

void part_trials::drop_idle(MonotonicTime now) {
    std::erase_if(trials_, [&](const auto &entry) {
        return !entry.second.running && now - entry.second.last_used > kIdleTimeout;
    });
}

} // namespace chalkshed
