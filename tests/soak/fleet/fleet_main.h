#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_MAIN_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_MAIN_H

/** \file
 * The mode of chalkshed-soak that runs a deployment file.
 */

#include <optional>
#include <string>

#include "tests/soak/fleet/coordinator.h"

namespace chalkshed::soak {

struct fleet_arguments {
    std::string file; // of the deployment
    std::string program;
    /** See fleet_options. */
    std::string production;
    std::string folder;
    uint64_t seed = 1;
    unsigned network = 9;
    std::string log_level;
    /** Overrides the length in the file. */
    std::optional<Duration> length;
    /** Role of a process that the coordinator has started; empty: the coordinator. */
    std::string role;
    uint64_t number = 0;
};

/** \return The exit code: 0 when all checks passed, 1 on a violation or when something was seen too
 * rarely, 2 when the run is inconclusive or the file is invalid. */
int run_fleet(const fleet_arguments &arguments);

} // namespace chalkshed::soak

#endif
