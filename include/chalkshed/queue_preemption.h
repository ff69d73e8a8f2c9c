#ifndef CHALKSHED_QUEUE_PREEMPTION_H
#define CHALKSHED_QUEUE_PREEMPTION_H

/** \file
 * Decides how many batch runs to preempt at workers where online requests are queued.
 *
 * Nodes that send within the same few milliseconds can choose the same last free slot. One of their
 * requests is then queued at the worker, behind batch runs that may go on for many seconds, while
 * the service as a whole has free slots and batch_room stops nothing. A request that has been sent
 * cannot be moved to another worker unless its route may be repeated, but the batch runs before it
 * can.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

/** The requests in flight at one worker, as seen by this node. */
struct worker_occupancy {
    /** Identifies the worker between nodes. */
    uint64_t worker = 0;
    uint32_t slots = 0;
    uint32_t online = 0;
    uint32_t batch = 0;
    /** The part of `batch` that belongs to this node. */
    uint32_t own_batch = 0;
};

/** Follows the queues at the workers where this node has batch runs. */
class queue_preemption {
public:
    /** What this node should stop at one worker. */
    struct stop {
        uint64_t worker = 0;
        /** Expected number of runs. Each node stops its share, so that all nodes together stop no
         * more than necessary. */
        double runs = 0;
    };

    /** A queue counts once it has been seen for `view_lag`: until all nodes know of a run that has
     * ended, the next one in its slot looks queued. After a stop it must be seen for as long again.
     * \param workers All workers at which this node has batch runs.
     * \param view_lag The time until all nodes know of a run. */
    std::vector<stop> runs_to_stop(const std::vector<worker_occupancy> &workers, Duration view_lag,
                                   MonotonicTime now);

private:
    /** Since when each worker has had a queue that batch runs could shorten. */
    std::map<uint64_t, MonotonicTime> queued_since_;
};

} // namespace chalkshed

#endif
