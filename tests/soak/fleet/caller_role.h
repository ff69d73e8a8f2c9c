#ifndef CHALKSHED_TESTS_SOAK_FLEET_CALLER_ROLE_H
#define CHALKSHED_TESTS_SOAK_FLEET_CALLER_ROLE_H

/** \file
 * A process of callers. Its commands: "begin", "end" (no new requests and jobs), "open" (what is
 * under way still).
 */

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

/** Runs until it is told to stop. */
void run_caller_role(const role_options &options);

} // namespace chalkshed::soak

#endif
