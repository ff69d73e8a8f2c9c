#include "src/gateway/authentication.h"

#include "chalkshed/api_key.h"

namespace chalkshed {
namespace {

tl::unexpected<Error> refuse(std::string message) {
  return tl::unexpected(not_run(ErrorKind::kUnauthenticated, std::move(message),
                                "send 'Authorization: Bearer <API key>' with a key from the "
                                "operator"));
}

}  // namespace

Expected<std::string> authenticate(const HttpRequest& request, const Configuration& configuration) {
  if (configuration.tenants.empty()) {
    return kDefaultTenant;
  }
  const std::optional<std::string_view> header = find_header(request.headers, "Authorization");
  const std::string_view token = header ? bearer_token(*header) : std::string_view();
  if (token.empty()) {
    return refuse("the request has no API key");
  }
  for (const auto& [name, tenant] : configuration.tenants) {
    if (!tenant.api_key.empty() && equal_keys(tenant.api_key, token)) {
      return name;
    }
  }
  return refuse("the API key is unknown");
}

}  // namespace chalkshed
