#include "chalkshed/worker_outcomes.h"

#include <algorithm>

namespace chalkshed {

worker_outcomes::worker_outcomes(const outcome_knobs &knobs) : knobs_(knobs) {}

void worker_outcomes::note_success(MonotonicTime now) {
    own_.succeeded = now;
    own_.failures = 0;
}

void worker_outcomes::note_failure(MonotonicTime sent, MonotonicTime now) {
    const bool with_the_last = own_.failures > 0 && sent <= own_.failed;
    if (with_the_last) {
        return;
    }
    // A streak goes on from node to node: otherwise each node would begin with short pauses.
    const bool told_streak = told_.failed > told_.succeeded && told_.failed > own_.succeeded;
    own_.failures = std::max(own_.failures, told_streak ? told_.failures : 0) + 1;
    own_.failed = now;
}

void worker_outcomes::merge(const outcome_times &told) {
    if (told.failed > told_.failed) {
        told_.failed = told.failed;
        told_.failures = told.failures;
    }
    told_.succeeded = std::max(told_.succeeded, told.succeeded);
}

Duration worker_outcomes::pause_after(uint32_t failures) const {
    constexpr uint32_t kMostDoublings = 4;
    const uint32_t doublings = std::min(failures - 1, kMostDoublings);
    return std::min(knobs_.pause * (1U << doublings), knobs_.max_backoff);
}

bool worker_outcomes::paused(MonotonicTime now) const {
    if (own_.failures > 0 && now < own_.failed + pause_after(own_.failures)) {
        return true;
    }
    const bool told =
        told_.failures > 0 && told_.failed > std::max(own_.succeeded, told_.succeeded);
    return told && now < told_.failed + pause_after(told_.failures);
}

bool worker_outcomes::recent(MonotonicTime failed, MonotonicTime now) const {
    return failed != MonotonicTime{} && now - failed < knobs_.suspicion;
}

bool worker_outcomes::suspect(MonotonicTime now) const {
    const MonotonicTime failed = std::max(own_.failed, told_.failed);
    const MonotonicTime succeeded = std::max(own_.succeeded, told_.succeeded);
    return recent(failed, now) && failed > succeeded;
}

bool worker_outcomes::worth_telling(MonotonicTime now) const {
    const bool clears = recent(told_.failed, now) && own_.succeeded > told_.failed;
    return recent(own_.failed, now) || clears;
}

} // namespace chalkshed
