// Transport decorators that count messages and bytes.
#pragma once

#include <string>

#include "scale/control_meter.h"
#include "src/core/http_message.h"
#include "src/membership/datagram.h"
#include "src/transport/http_client.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

class MeteredDatagramTransport : public DatagramTransport {
 public:
  MeteredDatagramTransport(DatagramTransport& inner, ControlMeter& meter)
      : inner_(inner), meter_(meter) {}
  void send(const Address& to, std::string_view datagram) override;
  void set_receiver(Receiver receiver) override;

 private:
  DatagramTransport& inner_;
  ControlMeter& meter_;
};

// Counts fetch(), which carries all control-plane calls. Streams opened with send() carry caller
// requests and are not counted.
class MeteredHttpClient : public HttpClient {
 public:
  // @param prefix prefix of the message kinds, e.g. "platform".
  MeteredHttpClient(HttpClient& inner, ControlMeter& meter, std::string prefix)
      : inner_(inner), meter_(meter), prefix_(std::move(prefix)) {}
  HttpCallPtr send(const Address& server, const HttpRequest& request,
                   const HttpCallOptions& options, HttpCallCallbacks& callbacks) override;
  void fetch(const Address& server, const HttpRequest& request, const HttpCallOptions& options,
             Callback<HttpResponse> callback) override;

 private:
  HttpClient& inner_;
  ControlMeter& meter_;
  std::string prefix_;
};

// Counts the peer calls that a node handles.
class MeteredPeerHandler : public HttpHandler {
 public:
  MeteredPeerHandler(HttpHandler& inner, ControlMeter& meter) : inner_(inner), meter_(meter) {}
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  HttpHandler& inner_;
  ControlMeter& meter_;
};

}  // namespace chalkshed
