#include "src/event/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <array>
#include <charconv>

namespace chalkshed {

std::optional<SocketAddress> to_socket_address(const Address& address) {
  SocketAddress result;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    result.length = sizeof(sockaddr_in);
    return result;
  }
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    result.length = sizeof(sockaddr_in6);
    return result;
  }
  return std::nullopt;
}

Address to_address(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address->sa_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv4->sin_port)};
  }
  if (address->sa_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(address);
    inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv6->sin6_port)};
  }
  return {};
}

std::optional<Address> parse_numeric_address(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  Address address{std::string(ip), 0};
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() || !to_socket_address(address)) {
    return std::nullopt;
  }
  return address;
}

}  // namespace chalkshed
