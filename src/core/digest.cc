#include "src/core/digest.h"

#include <xxhash.h>

#include <array>

namespace chalkshed {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr int kDigitsPerWord = 16;
constexpr int kBitsPerDigit = 4;

void append_hex(std::string& out, uint64_t word) {
  for (int digit = kDigitsPerWord - 1; digit >= 0; --digit) {
    out.push_back(kHexDigits[(word >> static_cast<unsigned>(digit * kBitsPerDigit)) & 0xFU]);
  }
}

}  // namespace

std::string content_digest(std::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  std::string hex;
  hex.reserve(2 * kDigitsPerWord);
  append_hex(hex, hash.high64);
  append_hex(hex, hash.low64);
  return hex;
}

uint64_t content_hash(std::string_view content, uint64_t seed) {
  return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

}  // namespace chalkshed
