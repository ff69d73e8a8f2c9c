#include "src/http/socket_write.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>

namespace chalkshed {

size_t send_parts(int socket, std::span<const std::string_view> parts) {
  std::array<iovec, kMaxSendParts> vectors{};
  const size_t count = std::min(parts.size(), vectors.size());
  for (size_t index = 0; index < count; ++index) {
    vectors.at(index) = {const_cast<char*>(parts[index].data()), parts[index].size()};
  }
  msghdr message{};
  message.msg_iov = vectors.data();
  message.msg_iovlen = count;
  const ssize_t sent = sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent < 0 ? 0 : static_cast<size_t>(sent);
}

}  // namespace chalkshed
