// The error format of the platform and the engines:
// {"error": {"kind", "message", "remedy", "ran": "no" | "unknown", "retry_after_ms"?,
// "attempt_id"?}}.
#pragma once

#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

// @param attempt_id of the request that failed; empty: unknown, or not a generation.
HttpResponse encode_error(const Error& error, std::string_view attempt_id = {});
// @return the error of a response whose status is not 200. A malformed body results in
// kUpstreamFailed with Ran::kUnknown.
Error decode_error(int status, std::string_view body);
// Whether the error is that of this attempt.
bool names_attempt(std::string_view body, std::string_view attempt_id);

}  // namespace chalkshed
