// Request framing by method, length and transfer coding: a body is never parsed as a request, and a
// valid request reaches the handler.
#include "src/http/http_server.h"

#include <gtest/gtest.h>

#include "tests/http/http_server_fixture.h"

namespace chalkshed {
namespace {

class HiddenRequestTest : public HttpServerFixture,
                          public testing::WithParamInterface<const char*> {};

// The body of a request is never parsed as the next request, whatever the method: the next request
// is the one sent after the body, or the connection is closed.
TEST_P(HiddenRequestTest, BodyIsNotParsedAsARequest) {
  HttpServerKnobs knobs;
  knobs.idle_timeout = std::chrono::milliseconds(200);  // CONNECT gets no response, only a close
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
    // The server itself rejected the first request and skipped its body.
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

class ValidRequestTest : public HttpServerFixture,
                         public testing::WithParamInterface<const char*> {};
TEST_P(ValidRequestTest, ReachesTheHandler) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send(GetParam());
  run([&] { return handled_ == 1 || caller.closed(); });
  EXPECT_EQ(handled_, 1U) << caller.received();
}
INSTANTIATE_TEST_SUITE_P(
    Framings, ValidRequestTest,
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
