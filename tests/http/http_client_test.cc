// The HTTP client against servers that send valid, invalid or no responses.
#include "src/http/event_http_client.h"

#include <gtest/gtest.h>

#include <thread>

#include "src/http/http_server.h"
#include "tests/http/loopback.h"
#include "tests/http/raw_server.h"

namespace chalkshed {
namespace {

class HttpClientTest : public testing::Test {
 protected:
  // Sends a request to a server that responds with exactly these bytes and then closes.
  RecordedCall& call_raw(const std::string& response) {
    server_ = std::make_unique<RawServer>(dispatcher_, response, true);
    call_ = client_.send(server_->local(), get("/"), {}, recorded_);
    EXPECT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
    return recorded_;
  }

  EventDispatcher dispatcher_;
  EventHttpClient client_{dispatcher_};
  std::unique_ptr<RawServer> server_;
  RecordedCall recorded_;
  HttpCallPtr call_;
};

TEST_F(HttpClientTest, ReadsBodyByLength) {
  call_raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_TRUE(recorded_.ended);
  EXPECT_EQ(recorded_.body, "hello");
}

TEST_F(HttpClientTest, ReadsChunksAndTrailer) {
  call_raw(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nX: y\r\n\r\n");
  EXPECT_TRUE(recorded_.ended);
  EXPECT_EQ(recorded_.body, "hello");
}

TEST_F(HttpClientTest, BodyShorterThanItsLengthIsAnError) {
  call_raw("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello");
  ASSERT_TRUE(recorded_.error);
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kUpstreamFailed);
  EXPECT_EQ(recorded_.error->ran, Ran::kUnknown);
}

TEST_F(HttpClientTest, ChunkedBodyWithoutItsEndIsAnError) {
  call_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  ASSERT_TRUE(recorded_.error);
  EXPECT_EQ(recorded_.error->ran, Ran::kUnknown);
}

TEST_F(HttpClientTest, ChunkedBodyWithoutItsLastLineIsAnError) {
  call_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
  ASSERT_TRUE(recorded_.error);
}

// Pauses its call when the headers arrive.
struct PausingCall : RecordedCall {
  void on_headers(int received, const HttpHeaders& headers) override {
    RecordedCall::on_headers(received, headers);
    call->pause_reading();
    paused = true;
  }
  void on_body(std::string_view data) override {
    EXPECT_FALSE(paused);
    RecordedCall::on_body(data);
  }
  HttpCallPtr call;
  bool paused = false;
};

TEST_F(HttpClientTest, PausedResponseContinuesWhereItStopped) {
  RawServer server(dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true);
  PausingCall recorded;
  recorded.call = client_.send(server.local(), get("/"), {}, recorded);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded.paused; }));
  int later_turns = 0;
  for (int turn = 0; turn < 10; ++turn) {
    dispatcher_.post([&] { ++later_turns; });
  }
  ASSERT_TRUE(run_until(dispatcher_, [&] { return later_turns == 10; }));
  EXPECT_FALSE(recorded.done());
  recorded.paused = false;
  recorded.call->resume_reading();
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded.done(); }));
  EXPECT_TRUE(recorded.ended);
  EXPECT_EQ(recorded.body, "hello");
}

TEST_F(HttpClientTest, MalformedResponsesAreErrors) {
  for (const char* response :
       {"SMTP ready\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 5\r\n\r\nhello"}) {
    recorded_ = RecordedCall();
    call_raw(response);
    EXPECT_TRUE(recorded_.error) << response;
    EXPECT_FALSE(recorded_.ended) << response;
  }
}

TEST_F(HttpClientTest, EndlessTrailerIsAnError) {
  const std::string partial = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  const size_t limit = EventHttpClientKnobs().max_header_bytes;
  std::string lines;
  while (lines.size() <= 2 * limit) {
    lines += "X: " + std::string(1000, 'y') + "\r\n";
  }
  for (const std::string& trailer : {lines, std::string(2 * limit, 'x')}) {
    recorded_ = RecordedCall();
    server_ = std::make_unique<RawServer>(dispatcher_, partial + trailer, false);
    call_ = client_.send(server_->local(), get("/"), {}, recorded_);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
    EXPECT_TRUE(recorded_.error);
  }
}

TEST_F(HttpClientTest, ResponseWithTwoFramingsMakesTheConnectionUnusable) {
  server_ = std::make_unique<RawServer>(
      dispatcher_,
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false);
  call_ = client_.send(server_->local(), get("/"), {}, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  EXPECT_TRUE(recorded_.ended);
  EXPECT_EQ(client_.open_connections(), 0U);
}

TEST_F(HttpClientTest, CloseInsideTheHeadMayHaveRun) {
  call_raw("HTTP/1.1 200 OK\r\nContent-");
  ASSERT_TRUE(recorded_.error);
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kUpstreamFailed);
  EXPECT_EQ(recorded_.error->ran, Ran::kUnknown);
}

TEST_F(HttpClientTest, RefusedConnectionHasNotRun) {
  Address closed_port;
  {
    const RawServer server(dispatcher_, "", false);
    closed_port = server.local();
  }
  call_ = client_.send(closed_port, get("/"), {}, recorded_);
  ASSERT_FALSE(recorded_.done());
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kUnavailable);
  EXPECT_EQ(recorded_.error->ran, Ran::kNo);
  EXPECT_EQ(client_.open_connections(), 0U);
}

// Guards against sending a stale request: a process that was not scheduled for a while found its
// connection established seconds after the connect timeout, and sent a request that had been
// decided on before the pause.
TEST_F(HttpClientTest, ConnectionEstablishedAfterTheTimeoutIsNotUsed) {
  server_ = std::make_unique<RawServer>(dispatcher_, "HTTP/1.1 204 No\r\n\r\n", false);
  HttpCallOptions options;
  options.connect_timeout = std::chrono::milliseconds(5);
  call_ = client_.send(server_->local(), get("/"), options, recorded_);
  std::this_thread::sleep_for(
      2 * options.connect_timeout);  // the event loop does not run during this time
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  ASSERT_TRUE(recorded_.error);
  EXPECT_EQ(recorded_.error->ran, Ran::kNo);
}

TEST_F(HttpClientTest, SilentServerTimesOutAndMayHaveRun) {
  server_ = std::make_unique<RawServer>(dispatcher_, "", false);
  HttpCallOptions options;
  options.idle_timeout = std::chrono::milliseconds(20);
  call_ = client_.send(server_->local(), get("/"), options, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kUpstreamFailed);
  EXPECT_EQ(recorded_.error->ran, Ran::kUnknown);
}

TEST_F(HttpClientTest, RequestThatCouldSmuggleAnotherIsRefused) {
  call_ = client_.send({"127.0.0.1", 1}, get("/ HTTP/1.1\r\n\r\nGET /x"), {}, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kInvalidRequest);
  EXPECT_EQ(recorded_.error->ran, Ran::kNo);
}

TEST_F(HttpClientTest, HeaderThatCouldSmuggleARequestIsRefused) {
  const HttpHeaders headers = {
      {"Transfer-Encoding ", "chunked"}, {" Content-Length", "0"}, {"", "empty"}, {"A:b", "c"},
      {"A", std::string("b\0c", 3)},     {"A", "b\rC: d"}};
  for (const HttpHeader& header : headers) {
    recorded_ = RecordedCall();
    HttpRequest request = get("/");
    request.headers.push_back(header);
    call_ = client_.send({"127.0.0.1", 1}, request, {}, recorded_);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
    EXPECT_EQ(recorded_.error->kind, ErrorKind::kInvalidRequest) << header.name;
    EXPECT_EQ(recorded_.error->ran, Ran::kNo) << header.name;
  }
}

class HttpClientPoolTest : public HttpClientTest {
 protected:
  void fetch(const HttpCallOptions& options) {
    bool done = false;
    client_.fetch(server_->local(), get("/"), options, [&](const Expected<HttpResponse>& response) {
      EXPECT_TRUE(response.has_value());
      done = true;
    });
    EXPECT_TRUE(run_until(dispatcher_, [&] { return done; }));
  }

  void SetUp() override {
    server_ = std::make_unique<RawServer>(dispatcher_,
                                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  }
};

TEST_F(HttpClientPoolTest, ReusesConnectionsOfOnePoolOnly) {
  fetch({.pool = "online"});
  fetch({.pool = "online"});
  EXPECT_EQ(server_->accepted(), 1U);
  fetch({.pool = "batch"});
  EXPECT_EQ(server_->accepted(), 2U);
}

TEST_F(HttpClientPoolTest, FreshConnectionNeverReuses) {
  fetch({});
  fetch({.fresh_connection = true});
  EXPECT_EQ(server_->accepted(), 2U);
}

// The kernel may have input that the event loop has not processed yet.
TEST_F(HttpClientPoolTest, ConnectionThatWasClosedOrHasUnsolicitedDataIsNotReused) {
  for (const bool close : {false, true}) {
    fetch({});
    const size_t accepted = server_->accepted();
    if (close) {
      server_->close_connections();
    } else {
      server_->send_unsolicited("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    }
    call_ = client_.send(server_->local(), get("/"), {}, recorded_);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
    EXPECT_TRUE(recorded_.ended);
    EXPECT_EQ(recorded_.body, "ok");
    EXPECT_EQ(server_->accepted(), accepted + 1);
    recorded_ = RecordedCall();
  }
}

TEST_F(HttpClientTest, AbandonedConnectionIsNotReused) {
  const std::string partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
  server_ = std::make_unique<RawServer>(dispatcher_, partial, false);
  recorded_.on_data = [&] { call_.reset(); };
  call_ = client_.send(server_->local(), get("/"), {}, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.body == "hello"; }));
  EXPECT_EQ(client_.open_connections(), 0U);
  RecordedCall second;
  call_ = client_.send(server_->local(), get("/"), {}, second);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return second.body == "hello"; }));
  EXPECT_EQ(server_->accepted(), 2U);
  EXPECT_FALSE(recorded_.done());
}

TEST_F(HttpClientTest, DestroyingAFinishedCallLeavesTheNextOneAlone) {
  server_ = std::make_unique<RawServer>(dispatcher_,
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  call_ = client_.send(server_->local(), get("/"), {}, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  RecordedCall second;
  const HttpCallPtr second_call = client_.send(server_->local(), get("/"), {}, second);
  call_.reset();
  ASSERT_TRUE(run_until(dispatcher_, [&] { return second.done(); }));
  EXPECT_TRUE(second.ended);
  EXPECT_EQ(server_->accepted(), 1U);
}

// Guards against a leak of calls in progress at exit, reported by the leak checker: close_all()
// closes the connections without notification, and the collector of a response owned itself until
// the end of its call, which never came. The callback's state has to be destroyed with the client.
TEST(HttpClientFetchTest, IsDestroyedWithItsClient) {
  EventDispatcher dispatcher;
  RawServer silent(dispatcher, "", false);
  auto held = std::make_shared<int>();
  const std::weak_ptr<int> watched = held;
  bool called = false;
  auto client = std::make_unique<EventHttpClient>(dispatcher);
  client->fetch(silent.local(), get("/"), {},
                [&called, held = std::move(held)](const Expected<HttpResponse>& /*response*/) {
                  called = true;
                });
  ASSERT_TRUE(run_until(dispatcher, [&] { return silent.accepted() == 1; }));
  client.reset();
  EXPECT_TRUE(watched.expired());
  EXPECT_FALSE(called);
}

// The kernel rejects some connections immediately (no route, no free port). The error is reported
// later nevertheless: inside send() the caller has no call yet that it could end.
TEST_F(HttpClientTest, ConnectionThatCannotStartFailsAfterSendHasReturned) {
  const Address unreachable{"255.255.255.255", 9};
  call_ = client_.send(unreachable, get("/"), {}, recorded_);
  EXPECT_FALSE(recorded_.done());
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  ASSERT_TRUE(recorded_.error);
  EXPECT_EQ(recorded_.error->kind, ErrorKind::kUnavailable);
  EXPECT_EQ(recorded_.error->ran, Ran::kNo);
  EXPECT_EQ(client_.open_connections(), 0U);
}

TEST_F(HttpClientTest, BytesAfterAResponseMakeTheConnectionUnusable) {
  server_ = std::make_unique<RawServer>(
      dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false);
  call_ = client_.send(server_->local(), get("/"), {}, recorded_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  EXPECT_EQ(recorded_.body, "ok");
  EXPECT_EQ(client_.open_connections(), 0U);
}

}  // namespace
}  // namespace chalkshed
