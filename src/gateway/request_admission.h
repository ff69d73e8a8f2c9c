// The checks of every online request before it is routed: authentication, rate limits, headers, and
// the policy of the service.
#pragma once

#include <string>

#include "src/configuration/configuration.h"
#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/gateway/gateway_knobs.h"
#include "src/gateway/request_context.h"
#include "src/policy/policy.h"
#include "src/routing/tenant_admission.h"

namespace chalkshed {

inline constexpr size_t kMaxRequestIdBytes = 128;

// Options from the headers of a caller's request.
struct CallerOptions {
  std::optional<Duration> deadline;
  bool not_repeatable = false;
  std::optional<std::string> idempotency_key;
  std::string urgency_hint;
};

// Errors, Ran::kNo: kInvalidRequest with the name of the header.
Expected<CallerOptions> read_caller_options(const HttpHeaders& headers, const GatewayKnobs& knobs);

// @return the caller's request id if it is valid, else `generated`.
std::string choose_request_id(const HttpHeaders& headers, std::string generated);

// Authenticates the caller and counts the request towards the tenant's limit.
// @return the tenant. Errors, Ran::kNo: kUnauthenticated, kLimitExceeded.
Expected<std::string> admit_caller(const HttpRequest& request, const Configuration& configuration,
                                   TenantAdmission& admission);

// Applies the service's policy: sets the context's urgency and deadline.
// @param context must have `received` and `service` set.
// Errors, Ran::kNo: kOverloaded if the policy rejects the request.
std::optional<Error> apply_policy(PolicyEvaluator& policies, const RequestAttributes& attributes,
                                  const ServiceConfiguration& service, const GatewayKnobs& knobs,
                                  RequestContext& context);

// Finds the model service that offers the model. Errors, Ran::kNo: kUnknownModel.
Expected<const ServiceConfiguration*> find_service_of_model(const Configuration& configuration,
                                                            const std::string& model);

// Finds a plain service by name. Errors, Ran::kNo: kUnknownService.
Expected<const ServiceConfiguration*> find_plain_service(const Configuration& configuration,
                                                         const std::string& name);

}  // namespace chalkshed
