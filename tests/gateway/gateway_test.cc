#include "src/gateway/gateway.h"

#include "tests/gateway/gateway_fixture.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class GatewayTest : public GatewayFixture {
 protected:
  void expect_refused(HttpRequest request, int status, const std::string& kind) {
    const auto answer = call(std::move(request));
    EXPECT_EQ(answer->status, status) << kind;
    EXPECT_EQ(answer->json()["error"]["kind"], kind);
    EXPECT_EQ(answer->json()["error"]["ran"], "no");
    EXPECT_NE(answer->json()["error"]["remedy"], "");
    EXPECT_TRUE(answer->finished);
    EXPECT_FALSE(answer->header("x-request-id").empty());
    EXPECT_TRUE(engine_.streams.empty());
    EXPECT_TRUE(backends_.calls.empty());
  }
};

TEST_F(GatewayTest, RefusesBadInputWithTypedErrors) {
  HttpRequest malformed = completion(false);
  malformed.body = "{";
  expect_refused(malformed, 400, "invalid_request");
  HttpRequest oversized = completion(false);
  oversized.body.resize(GatewayKnobs().max_completion_body_bytes + 1, ' ');
  expect_refused(oversized, 413, "too_large");
  HttpRequest oversized_plain = plain("POST", "/services/maps/x");
  oversized_plain.body.resize(GatewayKnobs().max_plain_body_bytes + 1, ' ');
  expect_refused(oversized_plain, 413, "too_large");
  HttpRequest unknown_model = completion(false);
  unknown_model.body = R"({"model":"none","prompt":"p"})";
  expect_refused(unknown_model, 404, "unknown_model");
  expect_refused(plain("GET", "/v1/completions"), 400, "invalid_request");
  expect_refused(plain("GET", "/services/none/x"), 404, "unknown_service");
  expect_refused(plain("GET", "/services/pool/x"), 404, "unknown_service");
  expect_refused(plain("GET", "/v1/models/none"), 404, "unknown_model");
  expect_refused(plain("GET", "/nothing"), 404, "not_found");
  for (const char* deadline : {"soon", "0", "-1", "1.5", "99999999999", ""}) {
    expect_refused(completion(false, {{"X-Chalkshed-Deadline-Ms", deadline}}), 400,
                   "invalid_request");
  }
  expect_refused(completion(false, {{"X-Chalkshed-Not-Repeatable", "yes"}}), 400,
                 "invalid_request");
  expect_refused(completion(false, {{"X-Chalkshed-Not-Repeatable", "true"}}), 400,
                 "invalid_request");
  expect_refused(completion(false, {{"Idempotency-Key", std::string(256, 'k')}}), 400,
                 "invalid_request");
}

TEST_F(GatewayTest, RefusesWithoutConfiguration) {
  configuration_.configuration = nullptr;
  expect_refused(completion(false), 503, "unavailable");
}

TEST_F(GatewayTest, LimitAndPolicyRejectionsHaveRetryAfter) {
  admission_.error = not_run(ErrorKind::kLimitExceeded, "used up", "later");
  admission_.error->retry_after = seconds(7);
  const auto limited = call(completion(false));
  EXPECT_EQ(limited->status, 429);
  EXPECT_EQ(limited->header("retry-after"), "7");
  admission_.error.reset();
  policies_.decision.refuse = true;
  policies_.decision.refusal_reason = "closed";
  const auto refused = call(completion(false));
  EXPECT_EQ(refused->status, 503);
  EXPECT_FALSE(refused->header("retry-after").empty());
}

TEST_F(GatewayTest, PolicySeesTheAttributesAndSetsTheDeadline) {
  policies_.decision.deadline = seconds(2);
  policies_.decision.urgency = Urgency::kUrgent;
  call(completion(true, {{"X-Urgency", "ward"}}));
  ASSERT_EQ(policies_.seen.size(), 1U);
  EXPECT_EQ(policies_.seen[0].urgency_hint, "ward");
  EXPECT_EQ(policies_.seen[0].max_tokens, 3U);
  EXPECT_TRUE(policies_.seen[0].streamed);
  EXPECT_EQ(router_.requests[0].urgency, Urgency::kUrgent);
  EXPECT_EQ(router_.requests[0].time_left, seconds(2));
}

TEST_F(GatewayTest, ListsModels) {
  const auto answer = call(plain("GET", "/v1/models"));
  EXPECT_EQ(answer->json()["data"][0]["id"], "m");
  EXPECT_EQ(call(plain("GET", "/v1/models/m"))->json()["id"], "m");
}

TEST_F(GatewayTest, PassesAPlainRequestThroughBothWays) {
  HttpRequest request = plain("POST", "/services/maps/seats/7",
                              {{"Authorization", "Bearer secret"},
                               {"Connection", "close, X-Private"},
                               {"X-Private", "1"},
                               {"X-Chalkshed-Tenant", "forged"},
                               {"Accept", "text/plain"}});
  request.query = "a=b";
  request.body = "body";
  const auto answer = call(std::move(request));
  const HttpRequest& sent = backend_call(0).request;
  EXPECT_EQ(sent.path, "/seats/7");
  EXPECT_EQ(sent.query, "a=b");
  EXPECT_EQ(sent.body, "body");
  EXPECT_FALSE(find_header(sent.headers, "authorization"));
  EXPECT_FALSE(find_header(sent.headers, "x-private"));
  EXPECT_EQ(find_header(sent.headers, "accept"), "text/plain");
  EXPECT_EQ(find_header(sent.headers, "x-chalkshed-tenant"), "default");
  EXPECT_TRUE(find_header(sent.headers, "x-chalkshed-deadline-ms"));
  backend_call(0).callbacks->on_headers(
      201, {{"Content-Type", "text/plain"}, {"Transfer-Encoding", "chunked"}});
  backend_call(0).callbacks->on_body("one ");
  backend_call(0).callbacks->on_body("two");
  backend_call(0).callbacks->on_end();
  EXPECT_EQ(answer->status, 201);
  EXPECT_EQ(answer->body, "one two");
  EXPECT_TRUE(answer->finished);
  EXPECT_EQ(answer->header("content-type"), "text/plain");
  EXPECT_EQ(answer->header("transfer-encoding"), "");
}

TEST_F(GatewayTest, ATruncatedPlainAnswerIsAborted) {
  const auto answer = call(plain("GET", "/services/maps/x"));
  backend_call(0).callbacks->on_headers(200, {});
  backend_call(0).callbacks->on_body("par");
  backend_call(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(backends_.calls.size(), 1U);  // another back end cannot continue the answer
  EXPECT_TRUE(answer->aborted);
  EXPECT_FALSE(answer->finished);
}

TEST_F(GatewayTest, OnlyIdempotentMethodsAreRetriedAfterTheyMayHaveRun) {
  call(plain("GET", "/services/maps/x"));
  backend_call(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(backends_.calls.size(), 2U);

  const auto posted = call(plain("POST", "/services/maps/x"));
  EXPECT_TRUE(backend_call(2).options.fresh_connection);
  backend_call(2).fail(ErrorKind::kUnavailable, Ran::kNo);  // certainly not run: retried
  ASSERT_EQ(backends_.calls.size(), 4U);
  backend_call(3).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(backends_.calls.size(), 4U);
  EXPECT_EQ(posted->json()["error"]["ran"], "unknown");
}

TEST_F(GatewayTest, WithoutTheRetryCheckAPostRunsTwice) {
  GatewayKnobs knobs;
  knobs.safeguards.retry_only_when_safe = false;
  start_node("n1", knobs);
  call(plain("POST", "/services/maps/x"));
  backend_call(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(GatewayTest, ABackEndsReportReachesTheRouterAndNotTheCaller) {
  const auto answer = call(plain("GET", "/services/maps/x"));
  backend_call(0).callbacks->on_headers(200, {{"X-Backend-Load", "3"}, {"X-Backend-Leaving", "1"}});
  backend_call(0).callbacks->on_end();
  ASSERT_EQ(router_.loads.size(), 1U);
  EXPECT_EQ(router_.loads[0].running_online, 3U);
  EXPECT_TRUE(router_.loads[0].leaving);
  EXPECT_EQ(answer->header("x-backend-load"), "");
}

TEST_F(GatewayTest, APlainAnswerIsPausedForASlowReaderAndComplete) {
  const auto answer = call(plain("GET", "/services/maps/x"));
  backend_call(0).callbacks->on_headers(200, {});
  answer->unread_bytes = GatewayKnobs().pause_above_buffered_bytes + 1;
  backend_call(0).callbacks->on_body("one ");
  EXPECT_TRUE(backend_call(0).paused);
  clock_.run_for(seconds(1));
  EXPECT_TRUE(backend_call(0).paused);
  answer->unread_bytes = 0;
  clock_.run_for(milliseconds(10));
  EXPECT_FALSE(backend_call(0).paused);
  backend_call(0).callbacks->on_body("two");
  backend_call(0).callbacks->on_end();
  EXPECT_EQ(answer->body, "one two");
}

TEST_F(GatewayTest, ARequestWhoseCallerStopsReadingEndsAtTheDeadline) {
  const auto answer = call(plain("GET", "/services/maps/x"));
  backend_call(0).callbacks->on_headers(200, {});
  answer->unread_bytes = GatewayKnobs().pause_above_buffered_bytes + 1;
  backend_call(0).callbacks->on_body("one ");
  clock_.run_for(seconds(31));
  EXPECT_TRUE(answer->aborted);
  EXPECT_FALSE(backend_call(0).open());
}

TEST_F(GatewayTest, BodilessAnswersKeepTheirStatus) {
  const auto answer = call(plain("DELETE", "/services/maps/x"));
  backend_call(0).callbacks->on_headers(204, {});
  backend_call(0).callbacks->on_end();
  EXPECT_EQ(answer->status, 204);
  EXPECT_TRUE(answer->finished);
}

}  // namespace
}  // namespace chalkshed
