#ifndef CHALKSHED_START_ORDER_H
#define CHALKSHED_START_ORDER_H

/** \file
 * Decides when a starting node lists each table of the store.
 *
 * When all nodes of a fleet start together, listing all tables at once exceeds the read rate of the
 * store: refused nodes retry only after several hundred milliseconds, and the tables that serving
 * needs wait behind tables that only batch work needs. Therefore the configuration and the workers
 * are listed first, then the nodes, and then the other tables, which large fleets spread over time.
 * A table that the store does not return delays the next ones only for a limited time. */

#include <cstddef>

#include "src/core/time.h"

namespace chalkshed {

struct start_order_knobs {
    /** The nodes are listed this long after the start at the latest. */
    Duration nodes_at_latest = std::chrono::milliseconds(300);
    /** The other tables are listed this long after the start at the latest. */
    Duration others_at_latest = std::chrono::milliseconds(2000);
    /** Batch items may start this long after the start although the loads of the other nodes are
     * not known: peers that never return must not hold them up. */
    Duration loads_at_latest = std::chrono::milliseconds(1500);
    /** Fleets up to this size list the other tables without a further delay. */
    size_t small_fleet = 50;
    /** Each further node adds this to the time over which the fleet spreads the other tables. A
     * node reads about ten pages of them. */
    Duration spread_per_node = std::chrono::milliseconds(3);
};

/** What a starting node knows. */
struct start_progress {
    /** Time since the start. */
    Duration elapsed{0};
    bool configuration_listed = false;
    /** Callers may be sent to this node. */
    bool ready = false;
    bool nodes_listed = false;
};

class start_order {
public:
    explicit start_order(const start_order_knobs &knobs = {}) : knobs_(knobs) {}

    bool list_nodes(const start_progress &progress) const {
        return progress.configuration_listed || progress.elapsed >= knobs_.nodes_at_latest;
    }
    bool list_others(const start_progress &progress) const {
        return (progress.ready && progress.nodes_listed) ||
               progress.elapsed >= knobs_.others_at_latest;
    }
    /** The delay from list_others() until the other tables are listed.
     * \param nodes The announced nodes.
     * \param draw A random number in [0, 1). */
    Duration others_delay(size_t nodes, double draw) const;
    const start_order_knobs &knobs() const {
        return knobs_;
    }

private:
    const start_order_knobs knobs_;
};

} // namespace chalkshed

#endif
