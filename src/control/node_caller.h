// Sends requests of chalkshedctl to a node.
#pragma once

#include <string>
#include <vector>

#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/event/event_dispatcher.h"
#include "src/transport/http_client.h"

namespace chalkshed {

class NodeCaller {
 public:
  virtual ~NodeCaller() = default;
  // Blocks until the response arrives. Errors: kUnavailable (Ran::kNo) when no node can be reached,
  // kUpstreamFailed when the connection failed after the request was sent.
  virtual Expected<HttpResponse> call(const HttpRequest& request) = 0;
};

// Calls the first reachable node. A request that may have been received is not sent again.
class HttpNodeCaller : public NodeCaller {
 public:
  // @param key sent as a bearer token unless it is empty.
  HttpNodeCaller(EventDispatcher& dispatcher, HttpClient& client, std::vector<Address> nodes,
                 std::string key)
      : dispatcher_(dispatcher), client_(client), nodes_(std::move(nodes)), key_(std::move(key)) {}

  Expected<HttpResponse> call(const HttpRequest& request) override;

 private:
  Expected<HttpResponse> call_node(const Address& node, const HttpRequest& request);

  EventDispatcher& dispatcher_;
  HttpClient& client_;
  const std::vector<Address> nodes_;
  const std::string key_;
};

// @return the error in a node's response; empty for statuses below 400.
std::optional<Error> error_of(const HttpResponse& response);

}  // namespace chalkshed
