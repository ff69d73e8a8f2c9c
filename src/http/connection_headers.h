// Headers that concern a single connection and are never passed on (RFC 9110, section 7.6.1).
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "src/core/http_message.h"

namespace chalkshed {

std::string lower_case(std::string_view text);

// @return the lower-case names of the headers that belong to the connection: the well-known ones
// and those that the message's own Connection headers name.
std::set<std::string> connection_header_names(const HttpHeaders& headers);

// @param names in lower case.
// @return `headers` without those of the given names.
HttpHeaders without_headers(const HttpHeaders& headers, const std::set<std::string>& names);

}  // namespace chalkshed
