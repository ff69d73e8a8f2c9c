#ifndef CHALKSHED_TESTS_SOAK_FLEET_READY_NODES_H
#define CHALKSHED_TESTS_SOAK_FLEET_READY_NODES_H

/** \file
 * Which nodes get new connections: the platform asks each for its readiness every second and leaves
 * out those that missed twice. When under half are in, all are used.
 */

#include <vector>

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

class ready_nodes {
public:
    explicit ready_nodes(role_process &process);
    /** A node, by its number, that gets the next connection. */
    uint64_t any();
    /** Another one than `node`, where there is one. */
    uint64_t other_than(uint64_t node);
    /** Asks a further node from now on. */
    void add(uint64_t node);

private:
    struct state {
        uint64_t node = 0;
        int missed = 0;
    };

    void ask_all();
    void ask(state &of);

    role_process &process_;
    std::vector<state> nodes_;
};

} // namespace chalkshed::soak

#endif
