#include "src/gateway/request_admission.h"

#include <algorithm>
#include <charconv>

#include "src/gateway/answer_writer.h"
#include "src/gateway/authentication.h"
#include "src/gateway/forwarded_headers.h"
#include "src/once/claim_record.h"

namespace chalkshed {
namespace {

tl::unexpected<Error> bad_header(const char* name, std::string_view value, std::string remedy) {
  return tl::unexpected(not_run(
      ErrorKind::kInvalidRequest,
      "header '" + std::string(name) + "' is '" + std::string(value) + "'", std::move(remedy)));
}

Expected<Duration> parse_deadline(std::string_view value, Duration longest) {
  const auto longest_milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
  int64_t milliseconds = 0;
  const char* end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, milliseconds);
  const bool whole = error == std::errc() && parsed_to == end;
  if (!whole || milliseconds < 1 || milliseconds > longest_milliseconds) {
    return bad_header(kDeadlineHeader, value,
                      "send an integer number of milliseconds between 1 and " +
                          std::to_string(longest_milliseconds));
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

Expected<bool> parse_flag(const char* name, std::string_view value) {
  if (value == "true") {
    return true;
  }
  if (value == "false") {
    return false;
  }
  return bad_header(name, value, "send 'true' or 'false'");
}

bool usable_request_id(std::string_view id) {
  return !id.empty() && id.size() <= kMaxRequestIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char character) { return character > ' ' && character <= '~'; });
}

}  // namespace

Expected<CallerOptions> read_caller_options(const HttpHeaders& headers, const GatewayKnobs& knobs) {
  CallerOptions options;
  if (const auto value = find_header(headers, kDeadlineHeader)) {
    const Expected<Duration> deadline = parse_deadline(*value, knobs.longest_deadline);
    if (!deadline) {
      return tl::unexpected(deadline.error());
    }
    options.deadline = *deadline;
  }
  if (const auto value = find_header(headers, kNotRepeatableHeader)) {
    const Expected<bool> flag = parse_flag(kNotRepeatableHeader, *value);
    if (!flag) {
      return tl::unexpected(flag.error());
    }
    options.not_repeatable = *flag;
  }
  if (const auto value = find_header(headers, kIdempotencyKeyHeader)) {
    options.idempotency_key = std::string(*value);
    if (const std::optional<Error> error = check_idempotency_key(*options.idempotency_key)) {
      return tl::unexpected(*error);
    }
  }
  if (options.not_repeatable && !options.idempotency_key) {
    return tl::unexpected(
        not_run(ErrorKind::kInvalidRequest, "a non-repeatable request needs an Idempotency-Key",
                "send an Idempotency-Key that is new for each request and the same for its "
                "resends; without it a resend cannot be recognized"));
  }
  options.urgency_hint = find_header(headers, kUrgencyHeader).value_or("");
  return options;
}

std::string choose_request_id(const HttpHeaders& headers, std::string generated) {
  const auto value = find_header(headers, kRequestIdHeader);
  return value && usable_request_id(*value) ? std::string(*value) : std::move(generated);
}

Expected<std::string> admit_caller(const HttpRequest& request, const Configuration& configuration,
                                   TenantAdmission& admission) {
  Expected<std::string> tenant = authenticate(request, configuration);
  if (!tenant) {
    return tenant;
  }
  if (std::optional<Error> error = admission.admit(*tenant)) {
    return tl::unexpected(std::move(*error));
  }
  return tenant;
}

std::optional<Error> apply_policy(PolicyEvaluator& policies, const RequestAttributes& attributes,
                                  const ServiceConfiguration& service, const GatewayKnobs& knobs,
                                  RequestContext& context) {
  const PolicyDecision decision = policies.evaluate(attributes);
  if (decision.refuse) {
    Error error = not_run(
        ErrorKind::kOverloaded,
        "rejected by the policy of service '" + service.name + "': " + decision.refusal_reason,
        "retry later, or ask the operator what the policy allows");
    error.retry_after = knobs.default_retry_after;
    return error;
  }
  const Duration fallback = decision.deadline.value_or(service.request_deadline);
  context.urgency = decision.urgency;
  context.deadline = context.received + attributes.deadline.value_or(fallback);
  return std::nullopt;
}

Expected<const ServiceConfiguration*> find_service_of_model(const Configuration& configuration,
                                                            const std::string& model) {
  if (const ServiceConfiguration* service = service_offering(configuration, model)) {
    return service;
  }
  return tl::unexpected(not_run(ErrorKind::kUnknownModel,
                                "no service offers the model '" + model + "'",
                                "use one of the models of GET /v1/models"));
}

Expected<const ServiceConfiguration*> find_plain_service(const Configuration& configuration,
                                                         const std::string& name) {
  const auto found = configuration.services.find(name);
  if (found != configuration.services.end() && found->second.kind == ServiceKind::kPlain) {
    return &found->second;
  }
  return tl::unexpected(not_run(ErrorKind::kUnknownService,
                                "there is no plain service '" + name + "'",
                                "check the name in /services/<name>/; the operator lists the "
                                "services with chalkshedctl"));
}

}  // namespace chalkshed
