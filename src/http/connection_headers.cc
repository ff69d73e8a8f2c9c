#include "src/http/connection_headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace chalkshed {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {"connection",
                                                                "keep-alive",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "proxy-connection",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade"};

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

std::string lower_case(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return result;
}

std::set<std::string> connection_header_names(const HttpHeaders& headers) {
  std::set<std::string> names(kConnectionHeaders.begin(), kConnectionHeaders.end());
  for (const HttpHeader& header : headers) {
    if (lower_case(header.name) != "connection") {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      names.insert(lower_case(trimmed(rest.substr(0, comma))));
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return names;
}

HttpHeaders without_headers(const HttpHeaders& headers, const std::set<std::string>& names) {
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (!names.contains(lower_case(header.name))) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace chalkshed
