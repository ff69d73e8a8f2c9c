#include "src/http/error_response.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

// Longer delays from a remote server are not plausible, and far longer ones overflow Duration.
constexpr int64_t kMaxRetryAfterSeconds = 24 * 3600;

long retry_after_seconds(Duration retry_after) {
  const double seconds = std::chrono::duration<double>(retry_after).count();
  return std::max(1L, std::lround(std::ceil(seconds)));
}

Error unknown_error(const HttpResponse& response) {
  return maybe_run(ErrorKind::kUpstreamFailed,
                   "the remote server responded with status " + std::to_string(response.status),
                   "check the log of the remote server");
}

}  // namespace

std::string error_body(const Error& error) {
  nlohmann::json fields = {{"type", error_kind_name(error.kind)},
                           {"kind", error_kind_name(error.kind)},
                           {"message", error.message},
                           {"remedy", error.remedy},
                           {"ran", ran_name(error.ran)}};
  if (error.retry_after) {
    fields["retry_after_seconds"] = retry_after_seconds(*error.retry_after);
  }
  const nlohmann::json body = {{"error", std::move(fields)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse error_response(const Error& error) {
  HttpResponse response;
  response.status = http_status_of(error);
  response.headers.push_back({"Content-Type", "application/json"});
  if (error.retry_after) {
    response.headers.push_back(
        {"Retry-After", std::to_string(retry_after_seconds(*error.retry_after))});
  }
  response.body = error_body(error);
  return response;
}

Error parse_error_response(const HttpResponse& response) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
    return unknown_error(response);
  }
  const nlohmann::json& fields = body["error"];
  const auto text = [&](const char* name) {
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  const std::optional<ErrorKind> kind = error_kind_of(text("kind"));
  if (!kind) {
    return unknown_error(response);
  }
  Error error{*kind, text("message"), text("remedy"), Ran::kUnknown, std::nullopt};
  if (text("ran") == ran_name(Ran::kNo)) {
    error.ran = Ran::kNo;
  }
  const auto retry_after = fields.find("retry_after_seconds");
  if (retry_after != fields.end() && retry_after->is_number_integer()) {
    const int64_t seconds = retry_after->get<int64_t>();
    error.retry_after =
        std::chrono::seconds(std::clamp<int64_t>(seconds, 0, kMaxRetryAfterSeconds));
  }
  return error;
}

}  // namespace chalkshed
