#include "src/core/error.h"

namespace chalkshed {
namespace {

int status_of_kind(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kPolicyFailed:
    case ErrorKind::kInvalidSetting:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kNotFound:
    case ErrorKind::kUnknownModel:
    case ErrorKind::kUnknownService:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kCancelled:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kLimitExceeded:
      return 429;
    case ErrorKind::kOverloaded:
    case ErrorKind::kUnavailable:
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kDraining:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kUpstreamFailed:
      return 502;
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace

std::string_view error_kind_name(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
      return "invalid_request";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kUnknownModel:
      return "unknown_model";
    case ErrorKind::kUnknownService:
      return "unknown_service";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kLimitExceeded:
      return "limit_exceeded";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kStoreUnavailable:
      return "store_unavailable";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kUpstreamFailed:
      return "upstream_failed";
    case ErrorKind::kCancelled:
      return "cancelled";
    case ErrorKind::kDraining:
      return "draining";
    case ErrorKind::kPolicyFailed:
      return "policy_failed";
    case ErrorKind::kInvalidSetting:
      return "invalid_setting";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::optional<ErrorKind> error_kind_of(std::string_view name) {
  for (int value = 0; value <= static_cast<int>(ErrorKind::kInternal); ++value) {
    const auto kind = static_cast<ErrorKind>(value);
    if (error_kind_name(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

bool promises_not_run(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

int http_status_of(const Error& error) {
  constexpr int kBadGateway = 502;
  const int status = status_of_kind(error.kind);
  return error.ran != Ran::kNo && promises_not_run(status) ? kBadGateway : status;
}

std::string_view ran_name(Ran ran) { return ran == Ran::kNo ? "no" : "unknown"; }

}  // namespace chalkshed
