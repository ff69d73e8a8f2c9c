#include "src/adapters/json_bytes.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr unsigned char kFirstNonAscii = 0x80;
constexpr unsigned char kTwoByteLead = 0xC0;       // lead byte of U+0080 to U+07FF
constexpr unsigned char kLargestLatinLead = 0xC3;  // lead byte of U+00C0 to U+00FF
constexpr unsigned char kContinuationMask = 0x3F;

bool is_ascii(std::string_view text) {
  return std::ranges::all_of(text,
                             [](char c) { return static_cast<unsigned char>(c) < kFirstNonAscii; });
}

}  // namespace

std::string bytes_to_json_text(std::string_view bytes) {
  if (is_ascii(bytes)) {
    return std::string(bytes);
  }
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < kFirstNonAscii) {
      text.push_back(c);
    } else {
      text.push_back(static_cast<char>(kTwoByteLead | (byte >> 6U)));
      text.push_back(static_cast<char>(kFirstNonAscii | (byte & kContinuationMask)));
    }
  }
  return text;
}

std::string json_text_to_bytes(std::string_view text) {
  if (is_ascii(text)) {
    return std::string(text);
  }
  std::string bytes;
  bytes.reserve(text.size());
  for (size_t index = 0; index < text.size(); ++index) {
    const auto byte = static_cast<unsigned char>(text[index]);
    if (byte < kFirstNonAscii) {
      bytes.push_back(text[index]);
    } else if (byte <= kLargestLatinLead && index + 1 < text.size()) {
      const auto next = static_cast<unsigned char>(text[++index]);
      bytes.push_back(static_cast<char>((byte << 6U) | (next & kContinuationMask)));
    } else if (byte >= kTwoByteLead) {
      bytes.push_back('?');  // its continuation bytes are skipped below
    }
  }
  return bytes;
}

}  // namespace chalkshed
