// Redacts API keys in configurations shown to operators, and restores them in applied ones.
#pragma once

#include <string>

#include "src/configuration/configuration.h"
#include "src/core/error.h"

namespace chalkshed {

// @return the placeholder for the API key of a tenant: "(kept:<name>)".
std::string kept_key(const std::string& tenant);

// @return the configuration with every API key replaced by kept_key().
Configuration redacted(const Configuration& configuration);

// @return the difference with the values of changed API keys removed.
std::string redacted_difference(const std::string& difference);

// @return whether any tenant's API key is its kept_key().
bool has_kept_keys(const Configuration& configuration);

// Replaces each kept_key() by the tenant's key in `base`. Errors, Ran::kNo: kInvalidRequest when
// `base` has no such tenant, or when two tenants would have the same key.
Expected<Configuration> with_kept_keys(Configuration configuration, const Configuration& base);

}  // namespace chalkshed
