// Connection-specific headers, which are never forwarded (RFC 9110, section 7.6.1).
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "src/core/http_message.h"

namespace chalkshed {

std::string lower_case(std::string_view text);

// @return the lower-case names of the connection-specific headers: the well-known ones and those
// listed in the message's Connection headers.
std::set<std::string> connection_header_names(const HttpHeaders& headers);

// @param names in lower case.
// @return `headers` without the given names.
HttpHeaders without_headers(const HttpHeaders& headers, const std::set<std::string>& names);

}  // namespace chalkshed
