// Replacement of invalid UTF-8, because text from external writers may contain any bytes.
#pragma once

#include <string>
#include <string_view>

namespace chalkshed {

// @return the text with each byte that is not part of a valid UTF-8 sequence replaced by U+FFFD.
std::string with_valid_utf8(std::string_view text);

}  // namespace chalkshed
