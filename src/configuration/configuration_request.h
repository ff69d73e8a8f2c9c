// Parses the operators' HTTP requests about the configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/configuration/configuration_manager.h"
#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

// @return the decoded value of a query parameter, or "" when it is absent.
std::string query_parameter(const std::string& query, const std::string& name);

// Reads an integer query parameter; empty when it is absent. Errors: kInvalidRequest.
Expected<std::optional<uint64_t>> version_parameter(const std::string& query,
                                                    const std::string& name);

// Parses the body of a check or apply request. Two forms are accepted: a TOML document, with
// base_version, author and comment as query parameters; or, with Content-Type application/json,
// {"documents": [{"name", "text"}], "policy_files": {name: text}, "base_version"?, "author"?,
// "comment"?}. Errors: kInvalidRequest.
Expected<ApplyRequest> parse_apply_request(const HttpRequest& request);

// @return the JSON form of a request that parse_apply_request() accepts.
std::string encode_apply_request(const ApplyRequest& request);

}  // namespace chalkshed
