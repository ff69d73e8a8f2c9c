// Conversion between Address and the operating system's socket addresses.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string_view>

#include "src/core/address.h"

namespace chalkshed {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

// @return nothing if `address.ip` is not a numeric IPv4 or IPv6 address.
std::optional<SocketAddress> to_socket_address(const Address& address);

Address to_address(const sockaddr* address);

// Parses "ip:port" or "[ipv6]:port". @return nothing if it is neither.
std::optional<Address> parse_numeric_address(std::string_view text);

}  // namespace chalkshed
