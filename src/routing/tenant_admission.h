// Admission of a tenant's requests under its rate limit.
#pragma once

#include <optional>
#include <string>

#include "src/core/error.h"

namespace chalkshed {

class TenantAdmission {
 public:
  virtual ~TenantAdmission() = default;
  // Counts one request of the tenant. @return nothing if it is admitted, else kLimitExceeded with
  // Ran::kNo and retry_after.
  virtual std::optional<Error> admit(const std::string& tenant) = 0;
};

}  // namespace chalkshed
