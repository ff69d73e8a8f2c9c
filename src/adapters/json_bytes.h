// Byte strings inside JSON. JSON text must be Unicode, but rows and keys may contain any bytes, so
// each byte is encoded as the Unicode character with the same number (ISO 8859-1). Plain ASCII
// is unchanged.
#pragma once

#include <string>
#include <string_view>

namespace chalkshed {

std::string bytes_to_json_text(std::string_view bytes);
// @return the bytes; characters above U+00FF, which bytes_to_json_text never writes, become '?'.
std::string json_text_to_bytes(std::string_view text);

}  // namespace chalkshed
