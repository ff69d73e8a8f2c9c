#include "src/core/base64.h"

#include <array>
#include <cstdint>

namespace chalkshed {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char kPadding = '=';
constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupLetters = 4;
constexpr unsigned kLetterBits = 6;
constexpr unsigned kByteBits = 8;
constexpr uint8_t kNoValue = 0xff;

std::array<uint8_t, 256> make_values() {
  std::array<uint8_t, 256> values{};
  values.fill(kNoValue);
  for (size_t index = 0; index < kAlphabet.size(); ++index) {
    values.at(static_cast<unsigned char>(kAlphabet[index])) = static_cast<uint8_t>(index);
  }
  return values;
}

}  // namespace

std::string encode_base64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupLetters);
  for (size_t begin = 0; begin < bytes.size(); begin += kGroupBytes) {
    const std::string_view group = bytes.substr(begin, kGroupBytes);
    uint32_t bits = 0;
    for (size_t index = 0; index < kGroupBytes; ++index) {
      const uint32_t byte = index < group.size() ? static_cast<unsigned char>(group[index]) : 0;
      bits = bits << kByteBits | byte;
    }
    for (size_t index = 0; index < kGroupLetters; ++index) {
      const unsigned shift = kLetterBits * static_cast<unsigned>(kGroupLetters - 1 - index);
      text += index <= group.size() ? kAlphabet[bits >> shift & 0x3fU] : kPadding;
    }
  }
  return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  static const std::array<uint8_t, 256> kValues = make_values();
  if (text.size() % kGroupLetters != 0) {
    return std::nullopt;
  }
  size_t letters = text.size();
  while (letters > 0 && text.size() - letters < 2 && text[letters - 1] == kPadding) {
    --letters;
  }
  std::string bytes;
  bytes.reserve(text.size() / kGroupLetters * kGroupBytes);
  uint32_t bits = 0;
  unsigned held = 0;
  for (const char letter : text.substr(0, letters)) {
    const uint8_t value = kValues[static_cast<unsigned char>(letter)];
    if (value == kNoValue) {
      return std::nullopt;
    }
    bits = bits << kLetterBits | value;
    held += kLetterBits;
    if (held >= kByteBits) {
      held -= kByteBits;
      bytes += static_cast<char>(bits >> held & 0xffU);
    }
  }
  return bytes;
}

}  // namespace chalkshed
