#ifndef CHALKSHED_WORKER_OUTCOMES_H
#define CHALKSHED_WORKER_OUTCOMES_H

/** \file
 * Recent request outcomes at one worker, as seen by this node and as reported by its peers. They
 * decide which requests may be sent to the worker next.
 *
 * A worker can fail every request immediately and then look idle, so that it attracts more of
 * them. A single node learns of it too slowly: each of many nodes would lose its own requests
 * before it avoids the worker. */

#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

struct outcome_knobs {
    /** After a failure, a worker is sent nothing for this long; the time doubles with each
     * consecutive failure, up to max_backoff. */
    Duration backoff = std::chrono::milliseconds(250);
    Duration max_backoff = std::chrono::seconds(4);
    /** For this long after a failure without a later success, a worker is sent only requests that
     * can be retried elsewhere. */
    Duration suspicion_period = std::chrono::seconds(8);
};

/** Latest outcomes at a worker, as seen by one or several nodes. The epoch of the clock means
 * "never". */
struct outcome_times {
    MonotonicTime failed{};
    MonotonicTime succeeded{};
    /** Failures since the last success. */
    uint32_t failures = 0;
};

class worker_outcomes {
public:
    explicit worker_outcomes(const outcome_knobs &knobs = {});

    void note_success(MonotonicTime now);
    /** \param sent When the failed request was sent. Failures of concurrent requests count as one,
     * since they have the same cause. */
    void note_failure(MonotonicTime sent, MonotonicTime now);
    /** Merges outcomes that a peer has seen. Later outcomes seen by this node take precedence. */
    void merge(const outcome_times &reported);

    /** Whether nothing should be sent to the worker for now. */
    bool paused(MonotonicTime now) const;
    /** Whether only requests that can be retried elsewhere should be sent to the worker. */
    bool suspect(MonotonicTime now) const;

    /** Outcomes that this node has seen itself. */
    const outcome_times &own() const {
        return own_;
    }
    /** Whether to report the outcomes to peers: a recent failure, or a success that clears one. */
    bool worth_telling(MonotonicTime now) const;

private:
    Duration backoff_after(uint32_t failures) const;
    bool recent(MonotonicTime failed, MonotonicTime now) const;

    outcome_knobs knobs_;
    outcome_times own_;
    outcome_times reported_;
};

} // namespace chalkshed

#endif
