#include "chalkshed/worker_outcomes.h"

#include <algorithm>

namespace chalkshed {

worker_outcomes::worker_outcomes(const outcome_knobs &knobs) : knobs_(knobs) {}

void worker_outcomes::note_success(MonotonicTime now) {
    own_.succeeded = now;
    own_.failures = 0;
}

void worker_outcomes::note_failure(MonotonicTime sent, MonotonicTime now) {
    const bool concurrent = own_.failures > 0 && sent <= own_.failed;
    if (concurrent) {
        return;
    }
    // A series of failures continues across nodes; otherwise each node would start with a short
    // backoff.
    const bool reported_streak =
        reported_.failed > reported_.succeeded && reported_.failed > own_.succeeded;
    own_.failures = std::max(own_.failures, reported_streak ? reported_.failures : 0) + 1;
    own_.failed = now;
}

void worker_outcomes::merge(const outcome_times &reported) {
    if (reported.failed > reported_.failed) {
        reported_.failed = reported.failed;
        reported_.failures = reported.failures;
    }
    reported_.succeeded = std::max(reported_.succeeded, reported.succeeded);
}

Duration worker_outcomes::backoff_after(uint32_t failures) const {
    constexpr uint32_t kMaxDoublings = 4;
    const uint32_t doublings = std::min(failures - 1, kMaxDoublings);
    return std::min(knobs_.backoff * (1U << doublings), knobs_.max_backoff);
}

bool worker_outcomes::paused(MonotonicTime now) const {
    if (own_.failures > 0 && now < own_.failed + backoff_after(own_.failures)) {
        return true;
    }
    const bool reported =
        reported_.failures > 0 && reported_.failed > std::max(own_.succeeded, reported_.succeeded);
    return reported && now < reported_.failed + backoff_after(reported_.failures);
}

bool worker_outcomes::recent(MonotonicTime failed, MonotonicTime now) const {
    return failed != MonotonicTime{} && now - failed < knobs_.suspicion_period;
}

bool worker_outcomes::suspect(MonotonicTime now) const {
    const MonotonicTime failed = std::max(own_.failed, reported_.failed);
    const MonotonicTime succeeded = std::max(own_.succeeded, reported_.succeeded);
    return recent(failed, now) && failed > succeeded;
}

bool worker_outcomes::worth_telling(MonotonicTime now) const {
    const bool clears = recent(reported_.failed, now) && own_.succeeded > reported_.failed;
    return recent(own_.failed, now) || clears;
}

} // namespace chalkshed
