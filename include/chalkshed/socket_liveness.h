#ifndef CHALKSHED_SOCKET_LIVENESS_H
#define CHALKSHED_SOCKET_LIVENESS_H

/** \file
 * Detects that the peer of a TCP connection has vanished without closing it. A connection whose
 * state the network has lost stays open and accepts data, so only a timeout reveals the loss. */

#include "src/core/time.h"

namespace chalkshed {

struct socket_liveness_knobs {
    /** Sent data must be acknowledged by the peer's machine within this time, because callers give
     * up a stream after two seconds without an event. Lost packets are retransmitted several times
     * within it. */
    Duration acknowledgement_timeout = std::chrono::seconds(2);
    /** Keep-alive probes of an idle connection: idle time before the first probe, interval, and
     * number of unanswered probes that end it. The kernel sends them without waking this process.
     */
    std::chrono::seconds idle_time{1};
    std::chrono::seconds probe_interval{1};
    int max_unanswered_probes = 2;
};

/** \return Whether the system has accepted all options. Without them, a lost connection is detected
 * later, by the timeouts of the calls. */
bool set_socket_liveness(int socket, const socket_liveness_knobs &knobs = {});

} // namespace chalkshed

#endif
