// The error format of the platform and the engines:
// {"error": {"kind", "message", "remedy", "ran": "no" | "unknown", "retry_after_ms"?}}.
#pragma once

#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

HttpResponse encode_error(const Error& error);
// @return the error of a response whose status is not 200. A malformed body results in
// kUpstreamFailed with Ran::kUnknown.
Error decode_error(int status, std::string_view body);

}  // namespace chalkshed
