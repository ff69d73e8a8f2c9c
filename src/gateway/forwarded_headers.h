// Headers that are forwarded between callers and plain back ends.
#pragma once

#include "src/core/http_message.h"
#include "src/engine/engine_client.h"
#include "src/gateway/request_context.h"

namespace chalkshed {

inline constexpr const char* kDeadlineHeader = "X-Chalkshed-Deadline-Ms";
inline constexpr const char* kNotRepeatableHeader = "X-Chalkshed-Not-Repeatable";
inline constexpr const char* kTenantHeader = "X-Chalkshed-Tenant";
inline constexpr const char* kUrgencyHeader = "X-Urgency";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
// With every answer, back ends report their number of requests in progress, and whether they are
// leaving.
inline constexpr const char* kBackendLoadHeader = "X-Backend-Load";
inline constexpr const char* kBackendLeavingHeader = "X-Backend-Leaving";

// @return the headers for the back end: without the caller's connection headers (RFC 9110, section
// 7.6.1), its API key and its framing; with tenant, request id and time left.
HttpHeaders headers_to_backend(const HttpHeaders& headers, const RequestContext& context,
                               Duration time_left);

// @return the back end's load report, if its answer has a well-formed one.
std::optional<EngineLoad> read_backend_load(const HttpHeaders& headers);

// @return the headers for the caller, without the back end's connection headers, framing and load
// report.
HttpHeaders headers_to_caller(const HttpHeaders& headers);

}  // namespace chalkshed
