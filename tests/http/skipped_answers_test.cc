// Answers that a call sets aside because they are not those to its request, and connections that
// carry a named request once only.
#include <gtest/gtest.h>

#include "src/http/event_http_client.h"
#include "src/http/http_server.h"
#include "tests/http/loopback.h"
#include "tests/http/raw_server.h"

namespace chalkshed {
namespace {

constexpr const char* kSurplus = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";
constexpr const char* kSurplusInChunks =
    "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX: y\r\n\r\n";
constexpr const char* kDue = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";

std::string joined(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text.append(part);
  }
  return text;
}

// Skips all answers with status 503.
struct SkippingCall : public RecordedCall {
  void on_headers(int received, const HttpHeaders& headers) override {
    RecordedCall::on_headers(received, headers);
    constexpr int kSkipped = 503;
    if (received == kSkipped) {
      skips.push_back(call->skip_answer());
    }
  }
  HttpCallPtr call;
  std::vector<bool> skips;
};

class SkippedAnswersTest : public testing::Test {
 protected:
  void call_server(const std::string& response, bool closes) {
    server_ = std::make_unique<RawServer>(dispatcher_, response, closes);
    seen_.call = client_.send(server_->local(), get("/"), {}, seen_);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return seen_.done(); }));
  }

  EventDispatcher dispatcher_;
  EventHttpClient client_{dispatcher_};
  std::unique_ptr<RawServer> server_;
  SkippingCall seen_;
};

TEST_F(SkippedAnswersTest, TheNextAnswerIsTheOneToTheRequest) {
  for (const std::string_view surplus : {kSurplus, kSurplusInChunks}) {
    SCOPED_TRACE(surplus);
    seen_.body.clear();
    seen_.ended = false;
    call_server(joined({surplus, surplus, kDue}), false);
    EXPECT_TRUE(seen_.ended);
    EXPECT_EQ(seen_.status, 200);
    EXPECT_EQ(seen_.body, "mine");
  }
}

TEST_F(SkippedAnswersTest, OneThatComesWithoutARequestIsReportedAndClosesItsConnection) {
  size_t reports = 0;
  client_.set_on_unsolicited([&](const Address& server) {
    EXPECT_EQ(server, server_->local());
    ++reports;
  });
  call_server(kDue, false);
  EXPECT_EQ(client_.open_connections(), 1U);
  server_->send_unsolicited(kSurplus);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return client_.open_connections() == 0; }));
  EXPECT_EQ(reports, 1U);
}

TEST_F(SkippedAnswersTest, OneThatIsFoundWhenItsConnectionIsToBeUsedIsReported) {
  size_t reports = 0;
  client_.set_on_unsolicited([&](const Address&) { ++reports; });
  call_server(kDue, false);
  server_->send_unsolicited(kSurplus);
  RecordedCall next;
  const HttpCallPtr call = client_.send(server_->local(), get("/"), {}, next);
  EXPECT_EQ(reports, 1U);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return next.done(); }));
  EXPECT_EQ(next.body, "mine");
}

TEST_F(SkippedAnswersTest, OneOnItsOwnConnectionCannotReachAnotherCall) {
  HttpCallOptions options;
  options.own_connection = true;
  server_ = std::make_unique<RawServer>(dispatcher_, joined({kDue}), false);
  for (size_t calls = 1; calls <= 3; ++calls) {
    RecordedCall seen;
    const HttpCallPtr call = client_.send(server_->local(), get("/"), options, seen);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return seen.done(); }));
    EXPECT_EQ(seen.body, "mine");
    EXPECT_EQ(server_->accepted(), calls);
    EXPECT_EQ(client_.open_connections(), 0U);
  }
}

TEST_F(SkippedAnswersTest, TheirConnectionIsNotReused) {
  call_server(joined({kSurplus, kDue}), false);
  EXPECT_EQ(client_.open_connections(), 0U);
}

TEST_F(SkippedAnswersTest, AConnectionThatEndsBehindThemMayHaveRunTheRequest) {
  call_server(kSurplus, true);
  ASSERT_TRUE(seen_.error);
  EXPECT_EQ(seen_.error->ran, Ran::kUnknown);
}

TEST_F(SkippedAnswersTest, OneThatEndsWithItsConnectionCannotBeSkipped) {
  call_server("HTTP/1.1 503 Full\r\n\r\nfull", true);
  EXPECT_EQ(seen_.skips, std::vector<bool>{false});
}

TEST_F(SkippedAnswersTest, AnswersWithoutEndAreGivenUp) {
  const std::string large(300'000, 'x');
  call_server(joined({"HTTP/1.1 503 Full\r\nContent-Length: 300000\r\n\r\n", large, kDue}), false);
  ASSERT_TRUE(seen_.error);
  EXPECT_EQ(seen_.error->ran, Ran::kUnknown);
}

TEST_F(SkippedAnswersTest, ACallMayBeAbandonedInsteadOfWaitingOn) {
  server_ = std::make_unique<RawServer>(dispatcher_, kSurplus, false);
  seen_.call = client_.send(server_->local(), get("/"), {}, seen_);
  ASSERT_TRUE(run_until(dispatcher_, [&] { return !seen_.skips.empty(); }));
  seen_.call.reset();
  EXPECT_EQ(client_.open_connections(), 0U);
}

TEST(NamedRequestTest, AConnectionCarriesANameOnce) {
  EventDispatcher dispatcher;
  FunctionHandler handler([](const HttpRequest&, const ResponseWriterPtr& writer) {
    writer->respond({200, {}, ""});
  });
  HttpServer server(dispatcher, {"127.0.0.1", 0}, handler);
  EventHttpClient client(dispatcher);
  const auto use_of = [&](const std::string& name) {
    HttpCallOptions options;
    options.name = name;
    RecordedCall recorded;
    const HttpCallPtr call = client.send(server.local(), get("/"), options, recorded);
    EXPECT_TRUE(run_until(dispatcher, [&] { return recorded.done(); }));
    return call->connection_use();
  };
  EXPECT_EQ(use_of("a"), 1U);
  EXPECT_EQ(use_of("b"), 2U);
  EXPECT_EQ(use_of("a"), 1U) << "the first connection has carried it";
  EXPECT_EQ(use_of("b"), 2U) << "the second one has not";
  EXPECT_EQ(use_of("b"), 1U);
  EXPECT_EQ(use_of(""), 2U);
}

}  // namespace
}  // namespace chalkshed
