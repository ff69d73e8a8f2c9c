// Parsing of numbers, and formatting of durations for log lines.
#pragma once

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/time.h"

namespace chalkshed {

// @return the number, or nothing if the whole text is not a number in the range of the type.
template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
  Number value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(value) : std::nullopt;
}

// @return whole milliseconds, rounded towards zero.
inline std::string milliseconds_text(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

}  // namespace chalkshed
