// Text of other writers is any bytes; what reads it as UTF-8 must not fail on them.
#pragma once

#include <string>
#include <string_view>

namespace chalkshed {

// @return the text with U+FFFD in place of each byte that belongs to no well-formed UTF-8 sequence.
std::string with_valid_utf8(std::string_view text);

}  // namespace chalkshed
