#include "src/node/admin_access.h"

#include <arpa/inet.h>

#include "chalkshed/api_key.h"

namespace chalkshed {

bool is_loopback(const std::string& ip) {
  constexpr uint32_t kLoopbackNetwork = 127;
  in_addr v4{};
  if (inet_pton(AF_INET, ip.c_str(), &v4) == 1) {
    return ntohl(v4.s_addr) >> 24U == kLoopbackNetwork;
  }
  in6_addr v6{};
  if (inet_pton(AF_INET6, ip.c_str(), &v6) != 1) {
    return false;
  }
  const bool mapped = IN6_IS_ADDR_V4MAPPED(&v6);
  return mapped ? v6.s6_addr[12] == kLoopbackNetwork : IN6_IS_ADDR_LOOPBACK(&v6);
}

std::optional<Error> AdminAccess::refusal(const HttpRequest& request) const {
  if (request.path != "/admin" && !request.path.starts_with("/admin/")) {
    return std::nullopt;
  }
  if (key_.empty()) {
    if (is_loopback(request.peer.ip)) {
      return std::nullopt;
    }
    return not_run(
        ErrorKind::kUnauthenticated,
        "this node has no operator key, so it serves operator requests from loopback only",
        "set [admin] key in the node's settings, or send the request from the node's machine");
  }
  const auto header = find_header(request.headers, "Authorization");
  const std::string_view token = header ? bearer_token(*header) : std::string_view();
  if (equal_keys(key_, token)) {
    return std::nullopt;
  }
  return not_run(
      ErrorKind::kUnauthenticated,
      token.empty() ? "the request carries no operator key" : "the operator key is wrong",
      "send 'Authorization: Bearer <key>' with the [admin] key of the node's settings; "
      "chalkshedctl reads it from --key or $CHALKSHED_KEY");
}

}  // namespace chalkshed
