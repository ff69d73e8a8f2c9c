// The HTTP server with a test handler, and callers that send well-formed requests or raw bytes.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/event/socket_address.h"
#include "src/http/event_http_client.h"
#include "src/http/http_server.h"
#include "tests/http/loopback.h"

namespace chalkshed {

// A connection that sends raw bytes and records the bytes received.
class RawCaller {
 public:
  RawCaller(EventDispatcher& dispatcher, const Address& server)
      : socket_(bufferevent_socket_new(dispatcher.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    const std::optional<SocketAddress> address = to_socket_address(server);
    bufferevent_setcb(socket_, nullptr, nullptr, &RawCaller::on_event, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(socket_, address->get(), static_cast<int>(address->length));
  }
  ~RawCaller() { bufferevent_free(socket_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  void send(const std::string& bytes) { bufferevent_write(socket_, bytes.data(), bytes.size()); }
  void stop_reading() { bufferevent_disable(socket_, EV_READ); }
  bool closed() const { return closed_; }
  std::string received() const {
    evbuffer* input = bufferevent_get_input(socket_);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    return text;
  }

 private:
  static void on_event(bufferevent* /*socket*/, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<RawCaller*>(argument)->closed_ = true;
    }
  }
  bufferevent* socket_;
  bool closed_ = false;
};

// A server whose handler stores the last request and its writer.
class HttpServerFixture : public testing::Test {
 protected:
  void serve(const HttpServerKnobs& knobs = {}) {
    server_ = std::make_unique<HttpServer>(dispatcher_, Address{"127.0.0.1", 0}, handler_, knobs);
  }
  void call(const HttpRequest& request) {
    call_ = client_.send(server_->local(), request, {}, recorded_);
  }
  bool run(const std::function<bool()>& condition) { return run_until(dispatcher_, condition); }

  EventDispatcher dispatcher_;
  EventHttpClient client_{dispatcher_};
  HttpRequest seen_;
  size_t handled_ = 0;
  ResponseWriterPtr writer_;
  FunctionHandler handler_{[this](HttpRequest request, ResponseWriterPtr writer) {
    ++handled_;
    seen_ = std::move(request);
    writer_ = std::move(writer);
  }};
  std::unique_ptr<HttpServer> server_;
  RecordedCall recorded_;
  HttpCallPtr call_;
};

}  // namespace chalkshed
