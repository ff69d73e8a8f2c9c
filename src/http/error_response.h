// The HTTP representation of errors, shared by all handlers.
#pragma once

#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

// JSON body {"error": {"type", "kind", "message", "remedy", "ran", "retry_after_seconds"?}}. The
// outer structure, "type" and "message" are what OpenAI client libraries read; "type" equals
// "kind".
std::string error_body(const Error& error);

// @return the complete response with the status of the error kind and, if the error has a retry
// delay, Retry-After (whole seconds, rounded up, at least 1).
HttpResponse error_response(const Error& error);

// Parses an error response of another chalkshed process. A body of any other format results in
// kUpstreamFailed, with Ran::kUnknown.
Error parse_error_response(const HttpResponse& response);

}  // namespace chalkshed
