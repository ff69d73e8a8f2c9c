// HTTP/1.1 server over libevent's evhttp. Passes complete requests to a handler, which responds
// immediately or later, at once or as a stream.
#pragma once

#include <memory>

#include "src/core/address.h"
#include "src/core/http_message.h"
#include "src/core/time.h"
#include "src/event/event_dispatcher.h"

namespace chalkshed {

struct HttpServerKnobs {
  size_t max_header_bytes = 32 * 1024;
  size_t max_body_bytes = 64 * 1024 * 1024;
  // A connection that is idle, or whose request is incomplete, is closed after this time without
  // input; so is one whose caller does not read any of its response.
  Duration idle_timeout = std::chrono::seconds(30);
};

class HttpServer {
 public:
  // Starts listening. Throws std::runtime_error if the address cannot be bound. With port 0 the
  // system chooses a port. `handler` must outlive the server.
  HttpServer(EventDispatcher& dispatcher, const Address& local, HttpHandler& handler,
             const HttpServerKnobs& knobs = {});
  // Closes all connections; writers that still exist have no effect any more.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Address& local() const;
  // From now on every response has 'Connection: close', because the server is about to stop.
  void close_after_answers();
  // Number of requests passed to the handler whose responses have not ended or are not fully sent.
  size_t requests_in_progress() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace chalkshed
