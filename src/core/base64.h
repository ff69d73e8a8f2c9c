// Base64 (RFC 4648, section 4, with padding).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chalkshed {

std::string encode_base64(std::string_view bytes);

// @return the bytes, or nothing if `text` is not well-formed base64.
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace chalkshed
