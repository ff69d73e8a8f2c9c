#ifndef CHALKSHED_TESTS_SOAK_FLEET_STORE_ROLE_H
#define CHALKSHED_TESTS_SOAK_FLEET_STORE_ROLE_H

/** \file
 * The process of the store emulator. Its commands: "put" writes a row, "troubles" replaces the set
 * of injected faults, "drop_history" discards the change history, "calls" returns call counts.
 */

#include "tests/soak/fleet/role_process.h"

namespace chalkshed::soak {

/** Runs until the command "stop" arrives. */
void run_store_role(const role_options &options);

} // namespace chalkshed::soak

#endif
