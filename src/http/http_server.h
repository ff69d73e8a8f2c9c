// HTTP/1.1 server over libevent's evhttp. Hands whole requests to a handler and lets it answer now
// or later, whole or streamed.
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
  // A connection that is idle or whose request has begun but not arrived is closed after this long
  // without a byte; so is one whose caller takes nothing of its answer.
  Duration idle_timeout = std::chrono::seconds(30);
};

class HttpServer {
 public:
  // Listens at once. Throws std::runtime_error when the address cannot be bound. Port 0 lets the
  // system choose. `handler` must outlive the server.
  HttpServer(EventDispatcher& dispatcher, const Address& local, HttpHandler& handler,
             const HttpServerKnobs& knobs = {});
  // Closes all connections; writers that are still held become inert.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Address& local() const;
  // From now on every answer asks its caller to close the connection: the server is about to stop.
  void close_after_answers();
  // Requests handed to the handler whose answers have not ended or not been sent whole.
  size_t requests_in_progress() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace chalkshed
