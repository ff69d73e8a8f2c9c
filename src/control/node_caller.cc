#include "src/control/node_caller.h"

#include <utility>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr Duration kResponseTimeout = std::chrono::seconds(60);
constexpr int kMinErrorStatus = 400;

}  // namespace

Expected<HttpResponse> HttpNodeCaller::call(const HttpRequest& original) {
  HttpRequest request = original;
  if (!key_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + key_});
  }
  Expected<HttpResponse> result = tl::unexpected(
      not_run(ErrorKind::kUnavailable, "no node was given", "give one with --node=ip:port"));
  std::string tried;
  for (const Address& node : nodes_) {
    result = call_node(node, request);
    if (result || result.error().ran == Ran::kUnknown) {
      return result;
    }
    tried += (tried.empty() ? "" : ", ") + to_string(node);
  }
  result.error().message = "no node responds at " + tried + ": " + result.error().message;
  result.error().remedy =
      "check the address and that chalkshedd runs there, or give another node "
      "with --node=ip:port or $CHALKSHED_NODE";
  return result;
}

Expected<HttpResponse> HttpNodeCaller::call_node(const Address& node, const HttpRequest& request) {
  HttpCallOptions options;
  options.fresh_connection = true;
  options.idle_timeout = kResponseTimeout;
  std::optional<Expected<HttpResponse>> answer;
  client_.fetch(node, request, options,
                [&](Expected<HttpResponse> response) { answer = std::move(response); });
  while (!answer) {
    dispatcher_.run_once(true);
  }
  return *std::move(answer);
}

std::optional<Error> error_of(const HttpResponse& response) {
  if (response.status < kMinErrorStatus) {
    return std::nullopt;
  }
  return parse_error_response(response);
}

}  // namespace chalkshed
