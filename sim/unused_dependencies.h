// Stubs of dependencies that a component requires but a test or experiment does not use: calls are
// ignored, and no callback is ever called.
#pragma once

#include <string>
#include <string_view>

#include "src/engine/engine_client.h"
#include "src/transport/http_client.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

class UnusedEngineClient : public EngineClient {
 public:
  GenerateStreamPtr generate(const Address&, GenerateRequest, GenerateCallbacks&) override {
    return nullptr;
  }
  void fetch_load(const Address&, Callback<EngineLoad>) override {}
};

class UnusedHttpClient : public HttpClient {
 public:
  HttpCallPtr send(const Address&, const HttpRequest&, const HttpCallOptions&,
                   HttpCallCallbacks&) override {
    return nullptr;
  }
  void fetch(const Address&, const HttpRequest&, const HttpCallOptions&,
             Callback<HttpResponse>) override {}
};

class UnusedDatagrams : public DatagramTransport {
 public:
  void send(const Address&, std::string_view) override {}
  void set_receiver(Receiver) override {}
};

class UnusedPeers : public PeerClient, public PeerServer {
 public:
  void call(const Address&, std::string, std::string, Callback<std::string>) override {}
  void register_method(std::string, Handler) override {}
};

}  // namespace chalkshed
