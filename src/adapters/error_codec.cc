#include "src/adapters/error_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

// Longer delays from a remote server are not plausible, and far longer ones overflow Duration.
constexpr double kMaxRetryAfterMs = 24.0 * 3600 * 1000;

std::optional<ErrorKind> kind_of_name(std::string_view name) {
  for (int number = 0; number <= static_cast<int>(ErrorKind::kInternal); ++number) {
    const auto kind = static_cast<ErrorKind>(number);
    if (error_kind_name(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string text_field(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

HttpResponse encode_error(const Error& error, std::string_view attempt_id) {
  json fields = {{"kind", error_kind_name(error.kind)},
                 {"message", error.message},
                 {"remedy", error.remedy},
                 {"ran", ran_name(error.ran)}};
  if (error.retry_after) {
    fields["retry_after_ms"] = static_cast<double>(error.retry_after->count()) / 1000;
  }
  if (!attempt_id.empty()) {
    fields["attempt_id"] = attempt_id;
  }
  HttpResponse response;
  response.status = http_status_of(error);
  response.headers.push_back({"Content-Type", "application/json"});
  response.body =
      json{{"error", std::move(fields)}}.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

Error decode_error(int status, std::string_view body) {
  Error error = maybe_run(ErrorKind::kUpstreamFailed,
                          "the server responded with status " + std::to_string(status),
                          "check the log of that server");
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
    return error;
  }
  const json& fields = parsed["error"];
  const std::optional<ErrorKind> kind = kind_of_name(text_field(fields, "kind"));
  if (!kind) {
    return error;
  }
  error.kind = *kind;
  error.message = text_field(fields, "message");
  error.remedy = text_field(fields, "remedy");
  error.ran = text_field(fields, "ran") == ran_name(Ran::kNo) ? Ran::kNo : Ran::kUnknown;
  const auto retry_after = fields.find("retry_after_ms");
  if (retry_after != fields.end() && retry_after->is_number()) {
    const double milliseconds = std::clamp(retry_after->get<double>(), 0.0, kMaxRetryAfterMs);
    error.retry_after = Duration(static_cast<int64_t>(milliseconds * 1000));
  }
  return error;
}

bool names_attempt(std::string_view body, std::string_view attempt_id) {
  const json parsed = json::parse(body, nullptr, false);
  return !attempt_id.empty() && parsed.is_object() && parsed.contains("error") &&
         text_field(parsed["error"], "attempt_id") == attempt_id;
}

}  // namespace chalkshed
