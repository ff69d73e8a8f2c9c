// Datagrams as they are committed in tests.
#pragma once

#include <string>
#include <string_view>

namespace chalkshed {

inline std::string bytes_of(std::string_view hexadecimal) {
  constexpr int kBase = 16;
  std::string bytes;
  for (size_t at = 0; at + 1 < hexadecimal.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hexadecimal.substr(at, 2)), nullptr, kBase));
  }
  return bytes;
}

inline std::string hexadecimal_of(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    text += kDigits[static_cast<uint8_t>(byte) >> 4U];
    text += kDigits[static_cast<uint8_t>(byte) & 0xFU];
  }
  return text;
}

}  // namespace chalkshed
