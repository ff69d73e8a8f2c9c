#ifndef CHALKSHED_TESTS_SOAK_FLEET_READY_NODES_H
#define CHALKSHED_TESTS_SOAK_FLEET_READY_NODES_H

/** \file
 * Selects the nodes for new connections. Like the platform, it probes the readiness of each node
 * every second and excludes those that failed twice in a row. If under half remain, all are used.
 */

#include <vector>

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

class ready_nodes {
public:
    explicit ready_nodes(role_process &process);
    /** The number of the node for the next connection. */
    uint64_t pick();
    /** A node other than `node`, if one is found in a few tries. */
    uint64_t pick_other_than(uint64_t node);
    /** Adds a node to those that are probed. */
    void add(uint64_t node);

private:
    struct state {
        uint64_t node = 0;
        int failed_probes = 0;
    };

    void probe_all();
    void probe(state &target);

    role_process &process_;
    std::vector<state> nodes_;
};

} // namespace chalkshed::soak

#endif
