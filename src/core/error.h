// Typed errors. Each states what went wrong, what the recipient can do about it, and whether the
// failed request may have had an effect.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "src/core/time.h"

namespace chalkshed {

enum class ErrorKind {
  kInvalidRequest,    // malformed input; fix it before a retry
  kTooLarge,          // body, header or item over its limit
  kUnauthenticated,   // unknown or missing API key
  kNotFound,          // unknown path, job, row or object
  kUnknownModel,      // no service offers the model
  kUnknownService,    // no such plain service
  kConflict,          // concurrent change by another writer, or key reused with another body
  kLimitExceeded,     // the tenant's limit is exhausted
  kOverloaded,        // cannot be served in time now
  kDeadlineExceeded,  // was accepted but did not finish in time
  kUnavailable,       // no worker or back end is reachable
  kStoreUnavailable,  // the platform's table or object store does not respond; nothing changed
  kOutcomeUnknown,    // the change or request may or may not have taken effect
  kUpstreamFailed,    // a worker or back end failed after it had started on the request
  kCancelled,         // cancelled by its owner
  kDraining,          // this node or worker is shutting down and accepts no new work
  kPolicyFailed,      // a policy program is invalid or exceeded its limits
  kInvalidSetting,    // a settings file or flag is invalid
  kInternal,          // a bug in chalkshed itself
};

// Whether the failed request had an effect.
enum class Ran {
  kNo,       // certainly not run; a retry is safe
  kUnknown,  // may have run
};

struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  // what happened, with the offending value
  std::string remedy;   // what the recipient can do
  Ran ran = Ran::kUnknown;
  std::optional<Duration> retry_after;  // delay after which a retry may succeed
};

template <typename Value>
using Expected = tl::expected<Value, Error>;

// Called exactly once with the result of an asynchronous operation, never inside the call that
// started it.
template <typename Value>
using Callback = std::function<void(Expected<Value>)>;

// Creates an error for a request that certainly did not run.
inline Error not_run(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), Ran::kNo, std::nullopt};
}

// Creates an error for a request that may have run.
inline Error maybe_run(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), Ran::kUnknown, std::nullopt};
}

// @return the stable snake_case name used in error bodies, logs and metrics.
std::string_view error_kind_name(ErrorKind kind);

// @return the kind of that name, or nothing.
std::optional<ErrorKind> error_kind_of(std::string_view name);

// @return whether a caller takes the status as a guarantee that its request has not run and never
// will (408, 421, 429, 503), whichever server responds with it.
bool promises_not_run(int status);

// @return the HTTP status for the error. The statuses that guarantee that the request has not run
// and never will (429, 503) are used for errors of Ran::kNo only, because callers retry after them
// even if the request must run only once. Requests that may have run get 502 instead.
int http_status_of(const Error& error);

// @return "no" or "unknown".
std::string_view ran_name(Ran ran);

}  // namespace chalkshed
