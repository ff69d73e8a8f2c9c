#ifndef CHALKSHED_TESTS_SOAK_CONNECTION_OWNER_H
#define CHALKSHED_TESTS_SOAK_CONNECTION_OWNER_H

/** \file
 * Finds the process at the other end of a connection on this machine. Connections over loopback all
 * come from 127.0.0.1, so that a worker can't distinguish its senders by address.
 */

#include <sys/types.h>

#include <optional>
#include <vector>

#include "src/core/address.h"

namespace chalkshed::soak {

/** \return The process among `processes` with an open socket from `local` to `remote`, both IPv4.
 * Reads /proc, which takes about a millisecond: too slow to call for every message. */
std::optional<pid_t> connection_owner(const Address &local, const Address &remote,
                                      const std::vector<pid_t> &processes);

} // namespace chalkshed::soak

#endif
