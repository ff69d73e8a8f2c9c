// Authentication of callers by API key.
#pragma once

#include <string>
#include <string_view>

#include "src/configuration/configuration.h"
#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

// Tenant name of all callers if the configuration has no tenants.
inline constexpr const char* kDefaultTenant = "default";

// Finds the tenant whose API key the request has as its bearer token.
// @return the tenant's name. Errors, Ran::kNo: kUnauthenticated.
Expected<std::string> authenticate(const HttpRequest& request, const Configuration& configuration);

}  // namespace chalkshed
