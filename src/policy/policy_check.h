// Validates a policy before its configuration is accepted.
#pragma once

#include <variant>

#include "src/configuration/configuration.h"
#include "src/core/error.h"
#include "src/policy/policy_knobs.h"

namespace chalkshed {

// Loads the policy, evaluates it for a default request and for every sample, and compares the
// decisions with the expectations of the samples. Errors: kPolicyFailed naming sample and field.
Expected<std::monostate> check_policy(const PolicyConfiguration& policy, const PolicyKnobs& knobs);

}  // namespace chalkshed
