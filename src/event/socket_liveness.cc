#include "chalkshed/socket_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chalkshed {
namespace {

bool set_option(int socket, int level, int name, int value) {
  return setsockopt(socket, level, name, &value, sizeof(value)) == 0;
}

}  // namespace

bool set_socket_liveness(int socket, const socket_liveness_knobs& knobs) {
  const auto acknowledgement_timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(knobs.acknowledgement_timeout);
  const bool sent = set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                               static_cast<int>(acknowledgement_timeout.count()));
  const bool probed =
      set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
      set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(knobs.idle_time.count())) &&
      set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
                 static_cast<int>(knobs.probe_interval.count())) &&
      set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, knobs.max_unanswered_probes);
  return sent && probed;
}

}  // namespace chalkshed
