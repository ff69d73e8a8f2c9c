#include "src/gateway/forwarded_headers.h"

#include <charconv>
#include <set>

#include "src/gateway/answer_writer.h"
#include "src/http/connection_headers.h"

namespace chalkshed {
HttpHeaders headers_to_backend(const HttpHeaders& headers, const RequestContext& context,
                               Duration time_left) {
  std::set<std::string> removed = connection_header_names(headers);
  removed.insert({"host", "content-length", "expect", "authorization"});
  for (const char* name : {kTenantHeader, kDeadlineHeader, kRequestIdHeader}) {
    removed.insert(lower_case(name));
  }
  HttpHeaders forwarded = without_headers(headers, removed);
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  forwarded.push_back({kTenantHeader, context.tenant});
  forwarded.push_back({kDeadlineHeader, std::to_string(milliseconds.count())});
  forwarded.push_back({kRequestIdHeader, context.request_id});
  return forwarded;
}

std::optional<EngineLoad> read_backend_load(const HttpHeaders& headers) {
  const auto in_progress = find_header(headers, kBackendLoadHeader);
  const auto leaving = find_header(headers, kBackendLeavingHeader);
  if (!in_progress && !leaving) {
    return std::nullopt;
  }
  EngineLoad load;
  load.leaving = leaving == "1";
  const std::string_view count = in_progress.value_or("0");
  const char* end = count.data() + count.size();
  const auto [parsed_to, error] = std::from_chars(count.data(), end, load.running_online);
  const bool well_formed = error == std::errc() && parsed_to == end;
  return well_formed ? std::optional(load) : std::nullopt;
}

HttpHeaders headers_to_caller(const HttpHeaders& headers) {
  std::set<std::string> removed = connection_header_names(headers);
  removed.insert("content-length");
  for (const char* name : {kRequestIdHeader, kBackendLoadHeader, kBackendLeavingHeader}) {
    removed.insert(lower_case(name));
  }
  return without_headers(headers, removed);
}

}  // namespace chalkshed
