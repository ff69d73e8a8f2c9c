// Interface for outgoing HTTP calls of the platform and engine adapters and the pass-through.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "src/core/address.h"
#include "src/core/error.h"
#include "src/core/http_message.h"

namespace chalkshed {

struct HttpCallOptions {
  // Online and batch never share a pool, so neither waits for the other's connections.
  std::string pool = "default";
  // Use a new connection, which later calls may use.
  bool fresh_connection = false;
  // Use a new connection and close it after the response, so that its answer cannot be one to
  // another call. For servers whose answers do not name their calls.
  bool own_connection = false;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration idle_timeout = std::chrono::seconds(10);
  // Value of the Host header; the server's address if empty.
  std::string host = {};
  // Names the request in its answers; empty if they do not name it. A connection carries a name
  // once, so that an answer to an earlier send of the request is not taken for one to this send.
  std::string name = {};
};

// Events of one call, in order; exactly one of on_end, on_error and on_malformed comes last.
class HttpCallCallbacks {
 public:
  virtual ~HttpCallCallbacks() = default;
  virtual void on_headers(int status, const HttpHeaders& headers) = 0;
  virtual void on_body(std::string_view data) = 0;
  virtual void on_end() = 0;  // the whole body has arrived
  // kUnavailable with Ran::kNo if no byte of the request can have reached the server,
  // otherwise kUpstreamFailed.
  virtual void on_error(const Error& error) = 0;
  // The server sent bytes that are no answer, or one beyond the limits: it is running. Otherwise
  // like on_error with Ran::kUnknown.
  virtual void on_malformed(const Error& error) { on_error(error); }
};

// A call in progress; destroying it abandons the call and closes its connection.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Stops reading the response, which applies back-pressure to the server; there are no events
  // until resume_reading(). The idle timeout is suspended as well. May be called inside an event.
  virtual void pause_reading() {}
  virtual void resume_reading() {}
  // Called inside on_headers if the answer is not the one to this request: its rest is read without
  // events, and on_headers is called again for the next answer on the connection, which is closed
  // after that one. @return false if no answer can follow; then the call goes on as before.
  virtual bool skip_answer() { return false; }
  // Number of requests sent over its connection, this one included: 1 on a new connection.
  virtual uint64_t connection_use() const { return 1; }
};
using HttpCallPtr = std::unique_ptr<HttpCall>;

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual HttpCallPtr send(const Address& server, const HttpRequest& request,
                           const HttpCallOptions& options, HttpCallCallbacks& callbacks) = 0;
  // Convenience for short responses: collects the whole response. Cannot be abandoned; limited by
  // the timeouts.
  virtual void fetch(const Address& server, const HttpRequest& request,
                     const HttpCallOptions& options, Callback<HttpResponse> callback) = 0;
  // Sets a callback for bytes that arrive on a connection without a request; the connection is
  // closed then.
  virtual void set_on_unsolicited(std::function<void(const Address& server)> /*callback*/) {}
};

}  // namespace chalkshed
