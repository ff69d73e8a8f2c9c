#ifndef CHALKSHED_BATCH_RAMP_H
#define CHALKSHED_BATCH_RAMP_H

/** \file
 * Limits how fast a node that has just started puts batch runs on the workers.
 *
 * When a whole fleet starts, many nodes take over jobs at the same moment and see the same free
 * slots. Each of them learns of the runs of the others only after the view lag; if each started
 * several items at once, they would take all slots several times over, and the first requests of
 * callers would queue behind batch runs. Therefore the nodes that may start batch runs divide the
 * free room: within one view lag, all of them together start runs in a part of it. */

#include <cstddef>

#include "src/core/time.h"

namespace chalkshed {

struct batch_ramp_knobs {
    /** The ramp applies for this long after the start, in which all open jobs find new owners and
     * the loads of all nodes settle. */
    Duration lasts = std::chrono::seconds(6);
    /** Part of the free room that all nodes together take within one view lag. */
    double share = 0.5;
    /** Number of runs that a node may start at once. */
    double most_at_once = 4.0;
};

class batch_ramp {
public:
    explicit batch_ramp(MonotonicTime started, const batch_ramp_knobs &knobs = {})
        : knobs_(knobs), started_(started) {}

    /** \param sharers Nodes that may start batch runs, including this one.
     * \param view_lag Time until all nodes know of a started run.
     * \param draw A random number in [0, 1) of this node, so that not all nodes start their first
     * run at the same moment. */
    void set_sharers(size_t sharers, Duration view_lag, double draw);
    /** \param room Slots that batch runs may take now, as seen by this node. */
    bool may_start(double room, MonotonicTime now);
    void note_started() {
        allowed_ -= 1.0;
    }

private:
    bool active(MonotonicTime now) const {
        return sharers_ > 1 && now - started_ < knobs_.lasts;
    }

    batch_ramp_knobs knobs_;
    MonotonicTime started_;
    size_t sharers_ = 1;
    Duration view_lag_{0};
    /** Runs that this node may start now, and since when. */
    double allowed_ = 0;
    MonotonicTime updated_{};
};

} // namespace chalkshed

#endif
