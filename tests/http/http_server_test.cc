// The HTTP server against callers that behave well, misbehave or disconnect.
#include "src/http/http_server.h"

#include <gtest/gtest.h>

#include "tests/http/http_server_fixture.h"

namespace chalkshed {
namespace {

class HttpServerTest : public HttpServerFixture {};

TEST_F(HttpServerTest, PassesTheCompleteRequestToTheHandler) {
  serve();
  HttpRequest request = get("/a/b");
  request.method = "POST";
  request.query = "c=d";
  request.headers.push_back({"X-Request-Id", "r1"});
  request.body = std::string(300'000, 'x');
  call(request);
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  EXPECT_EQ(seen_.method, "POST");
  EXPECT_EQ(seen_.path, "/a/b");
  EXPECT_EQ(seen_.query, "c=d");
  EXPECT_EQ(seen_.body, request.body);
  EXPECT_EQ(find_header(seen_.headers, "x-request-id"), "r1");
  EXPECT_EQ(seen_.peer.ip, "127.0.0.1");
  writer_->respond({201, {{"X-A", "b"}}, "made"});
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.status, 201);
  EXPECT_EQ(recorded_.body, "made");
}

TEST_F(HttpServerTest, StreamsChunksAsTheyAreWritten) {
  serve();
  call(get("/"));
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  writer_->start(200, {{"Content-Type", "text/event-stream"}});
  writer_->write("one ");
  ASSERT_TRUE(run([&] { return recorded_.body == "one "; }));
  writer_->write("two");
  writer_->finish();
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_TRUE(recorded_.ended);
  EXPECT_EQ(recorded_.body, "one two");
  EXPECT_EQ(server_->requests_in_progress(), 0U);
}

TEST_F(HttpServerTest, AbortedOrDroppedResponseIsAnErrorAtTheCaller) {
  serve();
  for (const bool drop : {false, true}) {
    recorded_ = RecordedCall();
    call(get("/"));
    ASSERT_TRUE(run([&] { return writer_ != nullptr; }));
    writer_->start(200, {});
    writer_->write("part");
    ASSERT_TRUE(run([&] { return recorded_.body == "part"; }));
    if (!drop) {
      writer_->abort();
    }
    writer_.reset();
    ASSERT_TRUE(run([&] { return recorded_.done(); }));
    EXPECT_TRUE(recorded_.error);
  }
}

TEST_F(HttpServerTest, ServesRequestsOneAfterAnotherOnAConnection) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  EXPECT_EQ(seen_.path, "/1");
  writer_->respond({200, {}, "first"});
  ASSERT_TRUE(run([&] { return handled_ == 2; }));
  EXPECT_EQ(seen_.path, "/2");
  writer_->respond({200, {}, "second"});
  ASSERT_TRUE(run([&] { return caller.received().ends_with("second"); }));
  EXPECT_FALSE(caller.closed());
}

// HTTP/1.0 has no chunked coding, so only closing the connection can mark the end of a streamed
// response.
TEST_F(HttpServerTest, StreamsToHttp10CallersUntilClose) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  writer_->start(200, {});
  writer_->write("one ");
  writer_->write("two");
  writer_->finish();
  ASSERT_TRUE(run([&] { return caller.closed(); }));
  EXPECT_EQ(caller.received().find("Content-Length"), std::string::npos) << caller.received();
  EXPECT_EQ(caller.received().find("keep-alive"), std::string::npos) << caller.received();
  EXPECT_TRUE(caller.received().ends_with("\r\n\r\none two")) << caller.received();
}

TEST_F(HttpServerTest, DetectsThatTheCallerDisconnected) {
  serve();
  call(get("/"));
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  bool disconnected = false;
  writer_->set_on_closed([&] { disconnected = true; });
  call_.reset();
  ASSERT_TRUE(run([&] { return disconnected; }));
  writer_->write("not received");
  writer_->finish();
  EXPECT_EQ(writer_->buffered_bytes(), 0U);
  EXPECT_EQ(server_->requests_in_progress(), 0U);
}

TEST_F(HttpServerTest, WritersOutliveTheServer) {
  serve();
  call(get("/"));
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  server_.reset();
  writer_->respond({200, {}, "late"});
  writer_.reset();
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_TRUE(recorded_.error);
}

TEST_F(HttpServerTest, ReportsBytesBufferedForASlowReader) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.stop_reading();
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  writer_->start(200, {});
  const std::string piece(1 << 20, 'x');
  for (int count = 0; count < 16; ++count) {
    writer_->write(piece);
  }
  EXPECT_GE(writer_->buffered_bytes(), 16U << 20);
}

TEST_F(HttpServerTest, CallerThatStopsReadingIsClosed) {
  serve({.idle_timeout = std::chrono::milliseconds(50)});
  RawCaller caller(dispatcher_, server_->local());
  caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.stop_reading();
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  bool disconnected = false;
  writer_->set_on_closed([&] { disconnected = true; });
  writer_->start(200, {});
  writer_->write(std::string(64 << 20, 'x'));
  EXPECT_TRUE(run([&] { return disconnected; }));
}

TEST_F(HttpServerTest, LongResponsesAreNotCutByTheReadTimeout) {
  serve({.idle_timeout = std::chrono::milliseconds(30)});
  call(get("/"));
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  bool later = false;
  const TimerPtr timer = dispatcher_.create_timer([&] { later = true; });
  timer->enable(std::chrono::milliseconds(120));
  ASSERT_TRUE(run([&] { return later; }));
  writer_->respond({200, {}, "slow"});
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.body, "slow");
}

TEST_F(HttpServerTest, HalfSentRequestTimesOut) {
  serve({.idle_timeout = std::chrono::milliseconds(30)});
  RawCaller head(dispatcher_, server_->local());
  head.send("GET / HTTP/1.1\r\nHo");
  RawCaller body(dispatcher_, server_->local());
  body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf");
  ASSERT_TRUE(run([&] { return head.closed() && body.closed(); }));
  EXPECT_EQ(handled_, 0U);
}

TEST_F(HttpServerTest, BodyOverTheLimitGetsATypedError) {
  serve({.max_body_bytes = 1000});
  HttpRequest request = get("/");
  request.method = "POST";
  request.body = std::string(200'000, 'x');
  call(request);
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.status, 413);
  EXPECT_NE(recorded_.body.find("\"kind\":\"too_large\""), std::string::npos);
  EXPECT_NE(recorded_.body.find("\"ran\":\"no\""), std::string::npos);
  EXPECT_EQ(handled_, 0U);
}

TEST_F(HttpServerTest, ChunkedBodyOverTheLimitGetsATypedError) {
  serve({.max_body_bytes = 1000});
  RawCaller caller(dispatcher_, server_->local());
  caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
              std::string(2000, 'x') + "\r\n0\r\n\r\n");
  ASSERT_TRUE(run([&] { return caller.received().ends_with("}}"); }));
  EXPECT_NE(caller.received().find("\"kind\":\"too_large\""), std::string::npos);
  EXPECT_EQ(handled_, 0U);
}

TEST_F(HttpServerTest, HeadersOverTheLimitGetATypedError) {
  serve({.max_header_bytes = 500});
  HttpRequest request = get("/");
  request.headers.push_back({"X-Long", std::string(2000, 'x')});
  call(request);
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.status, 413);
  EXPECT_NE(recorded_.body.find("\"kind\":\"too_large\""), std::string::npos);
  EXPECT_EQ(handled_, 0U);
}

TEST_F(HttpServerTest, MalformedRequestGetsATypedError) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send("nonsense\r\n\r\n");
  ASSERT_TRUE(run([&] { return caller.closed(); }));
  EXPECT_NE(caller.received().find("\"kind\":\"invalid_request\""), std::string::npos);
  EXPECT_EQ(handled_, 0U);
}

TEST_F(HttpServerTest, RefusalCanCloseTheConnection) {
  serve();
  call(get("/"));
  ASSERT_TRUE(run([&] { return handled_ == 1; }));
  writer_->respond({503, {{"Connection", "close"}}, "draining"});
  ASSERT_TRUE(run([&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.status, 503);
  EXPECT_EQ(client_.open_connections(), 0U);
}

// Guards against a body in the response to HEAD, which the caller takes for the next response:
// evhttp writes a body in that case as in any other.
TEST_F(HttpServerTest, ResponseToHeadHasNoBody) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(run([&] { return writer_ != nullptr; }));
  writer_->respond({503, {}, "why it was refused"});
  ASSERT_TRUE(run([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_TRUE(caller.received().ends_with("\r\n\r\n"));
}

// Guards against request smuggling to back ends: the body of a request was taken for the next
// request of its connection, because evhttp reads no body after HEAD or an unknown transfer coding,
// and uses the first of several lengths.
class AmbiguousRequestTest : public HttpServerTest,
                             public testing::WithParamInterface<const char*> {};

TEST_P(AmbiguousRequestTest, IsRejectedAndTheFollowingBytesAreNotParsed) {
  serve();
  RawCaller caller(dispatcher_, server_->local());
  caller.send(std::string(GetParam()) + "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(run([&] { return caller.closed(); }));
  EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 400"));
  EXPECT_EQ(handled_, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Framings, AmbiguousRequestTest,
    testing::Values(
        "HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 34\r\n\r\n",
        "HEAD /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 34\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 34\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +0\r\n\r\n"));

TEST_F(HttpServerTest, DistinguishesAnEmptyQueryFromNone) {
  serve();
  for (const bool empty : {true, false}) {
    HttpRequest request = get("/a");
    request.has_empty_query = empty;
    call(request);
    ASSERT_TRUE(run([&] { return writer_ != nullptr; }));
    EXPECT_EQ(seen_.path, "/a");
    EXPECT_EQ(seen_.has_empty_query, empty);
    writer_.reset();
  }
}

}  // namespace
}  // namespace chalkshed
