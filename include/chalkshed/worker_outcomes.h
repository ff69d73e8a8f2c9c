#ifndef CHALKSHED_WORKER_OUTCOMES_H
#define CHALKSHED_WORKER_OUTCOMES_H

/** \file
 * How requests ended lately at one worker: at this node's own hands, and as its peers tell. From it
 * follows who may be sent there next.
 *
 * A worker can fail every request at once and yet look idle, so that it draws more of them. One
 * node alone learns too slowly: each of many nodes would lose requests of its own before it stays
 * away.
 */

#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

struct outcome_knobs {
    /** A worker that failed takes nothing for this long, doubled with each further failure in a
     * row, up to the longest. */
    Duration pause = std::chrono::milliseconds(250);
    Duration max_backoff = std::chrono::seconds(4);
    /** For this long after a failure that no success has followed, a worker takes only work that
     * may be run again elsewhere. */
    Duration suspicion = std::chrono::seconds(8);
};

/** The newest outcomes that one node, or several together, have seen at a worker. The epoch of the
 * clock stands for "never". */
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
    /** \param sent When the failed request was sent. Requests that were under way together count
     * as one failure: they say no more than the first of them. */
    void note_failure(MonotonicTime sent, MonotonicTime now);
    /** Takes in what a peer has seen. What this node has seen since outweighs it. */
    void merge(const outcome_times &told);

    /** Whether nothing should be sent there for now. */
    bool paused(MonotonicTime now) const;
    /** Whether only work that may be run again should be sent there. */
    bool suspect(MonotonicTime now) const;

    /** What this node has seen itself. */
    const outcome_times &own() const {
        return own_;
    }
    /** Whether peers should hear of it: a failure of late, or a success that clears one. */
    bool worth_telling(MonotonicTime now) const;

private:
    Duration pause_after(uint32_t failures) const;
    bool recent(MonotonicTime failed, MonotonicTime now) const;

    outcome_knobs knobs_;
    outcome_times own_;
    outcome_times told_;
};

} // namespace chalkshed

#endif
