#ifndef CHALKSHED_TESTS_SOAK_FLEET_CALLER_ROLE_H
#define CHALKSHED_TESTS_SOAK_FLEET_CALLER_ROLE_H

/** \file
 * A process that emulates callers. Its commands: "begin" starts the load, "end" stops new requests
 * and jobs, "open" counts the calls and jobs in progress, "add_node" adds a node to the targets.
 */

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

/** Runs until the command "stop" arrives. */
void run_caller_role(const role_options &options);

} // namespace chalkshed::soak

#endif
