#ifndef CHALKSHED_TESTS_SOAK_CONNECTION_OWNER_H
#define CHALKSHED_TESTS_SOAK_CONNECTION_OWNER_H

/** \file
 * Which process holds the other end of a connection on this machine. Connections over loopback all
 * come from 127.0.0.1, so that a worker can't tell its senders apart by their address.
 */

#include <sys/types.h>

#include <optional>
#include <vector>

#include "src/core/address.h"

namespace chalkshed::soak {

/** \return Of `processes` the one with an open socket from `local` to `remote`, both IPv4. Reads
 * /proc, in about a millisecond: not for each message. */
std::optional<pid_t> connection_owner(const Address &local, const Address &remote,
                                      const std::vector<pid_t> &processes);

} // namespace chalkshed::soak

#endif
