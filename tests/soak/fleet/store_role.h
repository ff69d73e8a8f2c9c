#ifndef CHALKSHED_TESTS_SOAK_FLEET_STORE_ROLE_H
#define CHALKSHED_TESTS_SOAK_FLEET_STORE_ROLE_H

/** \file
 * The process of the store stand-in. Its commands: "put" writes a row, "troubles" states all that
 * goes wrong from now on, "drop_history" forgets the past, "calls" counts.
 */

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

/** Runs until it is told to stop. */
void run_store_role(const role_options &options);

} // namespace chalkshed::soak

#endif
