#ifndef CHALKSHED_BATCH_ROOM_H
#define CHALKSHED_BATCH_ROOM_H

/** \file
 * Decides how many slots of a service batch work may use, and when it must give slots back.
 *
 * An online request must find a free slot at once. A batch run can be preempted at any time and
 * resumes later after its last event, so preemption is cheap. Batch work therefore leaves free only
 * as many slots as online requests may take before the nodes learn of them and stop batch runs.
 * This headroom is measured, not configured: it is the largest recent growth of the online requests
 * within that reaction time.
 */

#include <cstdint>

#include "chalkshed/recent_growth.h"
#include "src/core/time.h"

namespace chalkshed {

struct batch_room_knobs {
    /** Time from the first request of a burst until all nodes have stopped batch runs for it. */
    Duration reaction = std::chrono::milliseconds(150);
    /** How long growth is remembered. */
    Duration memory = std::chrono::seconds(12);
    /** Multiples of the headroom: a run starts only if more than `start` of it is free, or more
     * than `start_urgent` if it must start soon to meet its deadline; runs are stopped if less than
     * `stop` of it is free. With 1, 0.75 and 0.5, batch work lost more than online requests gained.
     */
    double start = 0.6;
    double start_urgent = 0.4;
    /** The same for a run that can no longer meet its deadline: it leaves slots to runs of other
     * nodes that still can. */
    double start_late = 1.0;
    double stop = 0.25;
    /** While online requests grow, this share of their growth within the reaction time is added to
     * the slots kept free, because they keep growing until the stopped runs have freed their slots.
     * Without it, a burst that takes all slots outpaces the preemption: with 534 slots and 700 new
     * requests per second, only 10 slots were free for a second, and one stream in eight waited at
     * a full worker. */
    double growth_lookahead = 0.7;
    /** Bounds of the headroom, as shares of all slots. */
    double min_share = 0.04;
    double max_share = 0.5;
    /** For this long after its start, a node receives the current loads of its peers one by one.
     * That growth is not counted as a burst. */
    Duration initial_sync = std::chrono::seconds(1);
    /** A node that has just started has no history of bursts: until it has run for as long as
     * growth is remembered, its headroom is at least this share of all slots. */
    double initial_share = 0.3;
};

/** How soon a batch run must start to meet its deadline. */
enum class batch_urgency {
    /** It can no longer meet its deadline. */
    kLate,
    kNormal,
    /** It must start soon to meet its deadline. */
    kUrgent,
};

/** The slots of a service, as seen by this node. */
struct service_load {
    uint32_t slots = 0;
    uint32_t free = 0;
    uint32_t batch = 0;
    /** The part of `batch` that belongs to this node. */
    uint32_t own_batch = 0;

    service_load &operator+=(const service_load &more) {
        slots += more.slots;
        free += more.free;
        batch += more.batch;
        own_batch += more.own_batch;
        return *this;
    }
};

class batch_room {
public:
    explicit batch_room(MonotonicTime started, const batch_room_knobs &knobs = {});

    /** \param in_flight The online requests in flight at the service, of all nodes. */
    void observe_online(uint32_t in_flight, MonotonicTime now);

    /** The free slots that batch runs may take now; negative if online requests lack slots. */
    double room(const service_load &load, batch_urgency urgency, MonotonicTime now);

    /** Whether a batch run may take a slot now. */
    bool may_start(const service_load &load, batch_urgency urgency, MonotonicTime now) {
        return room(load, urgency, now) >= 1;
    }

    /** The expected number of runs that this node should stop now. Each node stops its share of the
     * missing slots, so that all nodes together stop no more than necessary. */
    double runs_to_stop(const service_load &load, MonotonicTime now);

private:
    double headroom_multiple(batch_urgency urgency) const;
    /** The slots that online requests are about to take if their current growth goes on. */
    double expected_growth(MonotonicTime now);
    double headroom(const service_load &load, MonotonicTime now);

    batch_room_knobs knobs_;
    MonotonicTime started_;
    recent_growth online_growth_;
};

} // namespace chalkshed

#endif
