// Unbuffered writes to a socket, bypassing the event loop.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace chalkshed {

// Sends at most kMaxSendParts parts in order, in one system call, without blocking.
// @return the number of bytes that the kernel accepted; 0 on any error, which the event loop will
// detect itself.
size_t send_parts(int socket, std::span<const std::string_view> parts);
inline constexpr size_t kMaxSendParts = 4;

}  // namespace chalkshed
