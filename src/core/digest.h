// Content digests that identify configuration blocks, job bodies and cached prefixes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chalkshed {

// 128-bit digest of `content` (XXH3), as 32 lowercase hexadecimal digits. Not collision-resistant
// against an adversary; it identifies content written by trusted processes.
std::string content_digest(std::string_view content);

// 64-bit hash for placement (rendezvous hashing) and bucketing.
uint64_t content_hash(std::string_view content, uint64_t seed = 0);

}  // namespace chalkshed
