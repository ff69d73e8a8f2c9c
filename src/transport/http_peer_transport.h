// Peer calls over HTTP: POST /peer/<method> with a binary body.
#pragma once

#include <map>
#include <string>

#include "src/core/http_message.h"
#include "src/transport/http_client.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

inline constexpr std::string_view kPeerPathPrefix = "/peer/";

struct HttpPeerClientKnobs {
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration idle_timeout = std::chrono::seconds(5);
};

class HttpPeerClient : public PeerClient {
 public:
  // `client` must outlive this object.
  explicit HttpPeerClient(HttpClient& client, const HttpPeerClientKnobs& knobs = {})
      : client_(client), knobs_(knobs) {}
  void call(const Address& node, std::string method, std::string body,
            Callback<std::string> callback) override;

 private:
  HttpClient& client_;
  HttpPeerClientKnobs knobs_;
};

// Serves the registered methods over HTTP. Errors are sent as the usual error body.
class HttpPeerServer : public PeerServer, public HttpHandler {
 public:
  void register_method(std::string method, Handler handler) override;
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  std::map<std::string, Handler, std::less<>> methods_;
};

}  // namespace chalkshed
