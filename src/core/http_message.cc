#include "src/core/http_message.h"

#include <algorithm>
#include <cctype>

namespace chalkshed {
namespace {

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

bool is_token_character(unsigned char character) {
  constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
  return (character < 0x80 && std::isalnum(character) != 0) ||
         kTokenMarks.find(static_cast<char>(character)) != std::string_view::npos;
}

}  // namespace

bool is_header_name(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character);
}

std::optional<std::string_view> find_header(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (equal_ignoring_case(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

size_t count_headers(const HttpHeaders& headers, std::string_view name) {
  return static_cast<size_t>(std::count_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& header) { return equal_ignoring_case(header.name, name); }));
}

}  // namespace chalkshed
