// Network address of a process: an IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chalkshed {

struct Address {
  std::string ip;  // numeric IPv4 or IPv6 address; host names are never resolved
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

// @return "ip:port".
inline std::string to_string(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace chalkshed
