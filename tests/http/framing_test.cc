// Framings of requests by method, length and coding: a body is never read as a request, and a
// proper request is handed on.
#include "src/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/event/socket_address.h"
#include "src/http/event_http_client.h"
#include "tests/http/loopback.h"

namespace chalkshed {
namespace {

// A connection that sends raw bytes and keeps what comes back.
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

class FramingTest : public testing::Test {
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

class HiddenRequestTest : public FramingTest, public testing::WithParamInterface<const char*> {};

// The body of a request is never read as the next request, whatever its method: behind it comes the
// request that was sent behind it, or the connection has been refused.
TEST_P(HiddenRequestTest, WhatIsABodyIsNotReadAsARequest) {
  HttpServerKnobs knobs;
  knobs.idle_timeout = std::chrono::milliseconds(200);  // CONNECT gets no answer, and is closed
  serve(knobs);
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
  RawCaller caller(dispatcher_, server_->local());
  caller.send(std::string(GetParam()) +
              " /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(hidden.size()) +
              "\r\n\r\n" + hidden + "GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(run([&] { return handled_ >= 1 || caller.closed(); }));
  if (!writer_) {
    EXPECT_EQ(handled_, 0U);
    return;
  }
  if (seen_.path == "/next") {
    // The first was refused by the server itself, and its body read over.
    ASSERT_TRUE(run([&] { return !caller.received().empty(); }));
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 5")) << caller.received();
    return;
  }
  EXPECT_EQ(seen_.path, "/a");
  EXPECT_EQ(seen_.body, hidden);
  std::exchange(writer_, nullptr)->respond({200, {}, "first"});
  ASSERT_TRUE(run([&] { return handled_ >= 2 || caller.closed(); }));
  EXPECT_EQ(handled_ >= 2 ? seen_.path : "/next", "/next");
}
INSTANTIATE_TEST_SUITE_P(Methods, HiddenRequestTest,
                         testing::Values("GET", "DELETE", "OPTIONS", "PATCH", "PUT", "TRACE",
                                         "CONNECT", "PROPFIND"));

class ProperRequestTest : public FramingTest, public testing::WithParamInterface<const char*> {};
TEST_P(ProperRequestTest, AProperRequestIsHandedOn) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send(GetParam());
  run([&] { return handled_ == 1 || caller.closed(); });
  EXPECT_EQ(handled_, 1U) << caller.received();
}
INSTANTIATE_TEST_SUITE_P(
    Framings, ProperRequestTest,
    testing::Values(
        "HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\ntransfer-encoding: \tchunked \r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 007\r\n\r\nabcdefg",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length:2  \r\nX-Empty:\r\n\r\nab",
        "POST /a HTTP/1.1\r\nHost: x\r\nX_under: 1\r\nX!#$%&'*+.^`|~: 1\r\nContent-Length: "
        "2\r\n\r\nab",
        "POST /a HTTP/1.0\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
        "GET /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));

}  // namespace
}  // namespace chalkshed
