#include "src/gateway/once_request.h"

#include "tests/gateway/gateway_fixture.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OnceRequestTest : public GatewayFixture {
 protected:
  static HttpRequest booking(const std::string& body = "seat 7", const std::string& key = "k") {
    HttpRequest request = plain("POST", "/services/maps/book",
                                {{"Idempotency-Key", key}, {"X-Chalkshed-Not-Repeatable", "true"}});
    request.body = body;
    return request;
  }
  // Sends a request and waits for the store.
  SeenAnswerPtr send(HttpRequest request) {
    auto answer = call(std::move(request));
    clock_.run_for(milliseconds(20));
    return answer;
  }
  void answer_call(size_t index) {
    backend_call(index).callbacks->on_headers(200, {{"Content-Type", "text/plain"}});
    backend_call(index).callbacks->on_body("booked");
    backend_call(index).callbacks->on_end();
    clock_.run_for(milliseconds(20));
  }
  static std::string kind_of(const SeenAnswer& answer) { return answer.json()["error"]["kind"]; }
  static std::string ran_of(const SeenAnswer& answer) { return answer.json()["error"]["ran"]; }
};

TEST_F(OnceRequestTest, ClaimsBeforeItDispatchesOverAFreshConnection) {
  const auto answer = call(booking());
  EXPECT_TRUE(backends_.calls.empty());
  clock_.run_for(milliseconds(20));
  ASSERT_EQ(backends_.calls.size(), 1U);
  EXPECT_TRUE(backend_call(0).options.fresh_connection);
  answer_call(0);
  EXPECT_EQ(answer->body, "booked");
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
}

TEST_F(OnceRequestTest, AResendGetsTheStoredAnswerAlsoFromAnotherNode) {
  send(booking());
  answer_call(0);
  start_node("n2");
  const auto resent = send(booking());
  EXPECT_EQ(backends_.calls.size(), 1U);
  EXPECT_EQ(resent->status, 200);
  EXPECT_EQ(resent->body, "booked");
  EXPECT_EQ(resent->header("content-type"), "text/plain");
}

TEST_F(OnceRequestTest, AResendDuringTheRunGetsOutcomeUnknownAndIsNotRun) {
  send(booking());
  const auto resent = send(booking());
  EXPECT_EQ(backends_.calls.size(), 1U);
  EXPECT_EQ(kind_of(*resent), "outcome_unknown");
  EXPECT_EQ(ran_of(*resent), "unknown");
}

TEST_F(OnceRequestTest, ANodeThatCrashedAfterTheClaimLeavesTheKeyClaimed) {
  send(booking());
  start_node("n2");  // the first node has crashed
  const auto resent = send(booking());
  EXPECT_EQ(backends_.calls.size(), 1U);
  EXPECT_EQ(kind_of(*resent), "outcome_unknown");
}

TEST_F(OnceRequestTest, WithoutTheClaimAResendRunsTwice) {
  GatewayKnobs knobs;
  knobs.safeguards.claim_before_dispatch = false;
  start_node("n1", knobs);
  send(booking());
  send(booking());
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, WithoutTheConditionAResendRunsTwice) {
  GatewayKnobs knobs;
  knobs.claims.safeguards.conditional_insert = false;
  start_node("n1", knobs);
  send(booking());
  send(booking());
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, ADifferentRequestWithTheSameKeyIsAConflict) {
  send(booking());
  answer_call(0);
  const auto other = send(booking("seat 8"));
  EXPECT_EQ(other->status, 409);
  EXPECT_EQ(ran_of(*other), "no");
}

TEST_F(OnceRequestTest, AnAttemptThatMayHaveRunIsNeverRepeated) {
  const auto answer = send(booking());
  backend_call(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  clock_.run_for(seconds(1));
  EXPECT_EQ(ran_of(*answer), "unknown");
  const auto resent = send(booking());
  EXPECT_EQ(kind_of(*resent), "outcome_unknown");
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, AClaimThatCertainlyDidNotRunIsReleased) {
  router_.workers = {"w0"};
  const auto answer = send(booking());
  backend_call(0).fail(ErrorKind::kUnavailable, Ran::kNo);
  clock_.run_for(milliseconds(20));
  EXPECT_EQ(ran_of(*answer), "no");
  send(booking());
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, StoreDownMeansNotRun) {
  table_.down = true;
  const auto answer = send(booking());
  EXPECT_EQ(kind_of(*answer), "store_unavailable");
  EXPECT_EQ(ran_of(*answer), "no");
  EXPECT_FALSE(answer->header("retry-after").empty());
  EXPECT_TRUE(backends_.calls.empty());
}

TEST_F(OnceRequestTest, ALostClaimAnswerIsReadBack) {
  table_.answers_to_lose = 1;
  const auto answer = send(booking());
  ASSERT_EQ(backends_.calls.size(), 1U);
  answer_call(0);
  EXPECT_EQ(answer->body, "booked");
  EXPECT_EQ(send(booking())->body, "booked");
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, TheAnswerReachesItsCallerWhileTheStoreIsDown) {
  const auto answer = send(booking());
  table_.down = true;
  answer_call(0);
  EXPECT_EQ(answer->body, "booked");
  EXPECT_EQ(gateway_->requests_in_progress(), 1U);  // the outcome still waits for the store
  table_.down = false;
  clock_.run_for(seconds(30));
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
  EXPECT_EQ(send(booking())->body, "booked");
}

TEST_F(OnceRequestTest, AnswersThatWaitForTheStoreAreBounded) {
  GatewayKnobs knobs;
  knobs.claims.max_pending_answer_bytes = 10;  // one answer of 6 bytes
  start_node("n1", knobs);
  send(booking("seat 1", "k1"));
  send(booking("seat 2", "k2"));
  table_.down = true;
  answer_call(0);
  answer_call(1);
  table_.down = false;
  clock_.run_for(seconds(30));
  EXPECT_EQ(send(booking("seat 1", "k1"))->body, "booked");
  EXPECT_EQ(kind_of(*send(booking("seat 2", "k2"))), "outcome_unknown");
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, ANodePausedPastTheDeadlineDoesNotDispatch) {
  const auto answer = call(booking());
  dispatcher_->freeze();
  clock_.run_for(seconds(60));
  dispatcher_->thaw();
  clock_.run_for(milliseconds(20));
  EXPECT_TRUE(backends_.calls.empty());
  EXPECT_EQ(kind_of(*answer), "deadline_exceeded");
  EXPECT_EQ(ran_of(*answer), "no");
  send(booking());  // the claim was released
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, WithoutTheDeadlineCheckAPausedNodeDispatchesLate) {
  GatewayKnobs knobs;
  knobs.safeguards.deadline_checked_before_dispatch = false;
  start_node("n1", knobs);
  call(booking());
  dispatcher_->freeze();
  clock_.run_for(seconds(60));
  dispatcher_->thaw();
  clock_.run_for(milliseconds(20));
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, WithoutFreshConnectionsAPooledOneIsUsed) {
  GatewayKnobs knobs;
  knobs.safeguards.fresh_connection_when_not_repeatable = false;
  start_node("n1", knobs);
  send(booking());
  EXPECT_FALSE(backend_call(0).options.fresh_connection);
}

TEST_F(OnceRequestTest, ALostRefusalOfTheClaimIsReadBack) {
  send(booking());
  table_.answers_to_lose = 1;
  EXPECT_EQ(kind_of(*send(booking())), "outcome_unknown");
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, WithoutReadingBackALostRefusalRunsTwice) {
  GatewayKnobs knobs;
  knobs.claims.safeguards.read_back_lost_commit = false;
  start_node("n1", knobs);
  send(booking());
  table_.answers_to_lose = 1;
  send(booking());
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, ALostClaimThatCannotBeReadBackIsReleased) {
  table_.answers_to_lose = 1;
  const auto answer = call(booking());
  clock_.run_for(FakeTable::kDelay + Duration(1));
  table_.down = true;
  clock_.run_for(milliseconds(20));
  EXPECT_EQ(kind_of(*answer), "store_unavailable");
  EXPECT_EQ(ran_of(*answer), "no");
  EXPECT_TRUE(backends_.calls.empty());
  table_.down = false;
  clock_.run_for(seconds(30));
  EXPECT_EQ(send(booking())->status, 0);  // runs now
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, WithoutTheDigestTheAnswerToADifferentRequestIsReturned) {
  GatewayKnobs knobs;
  knobs.claims.safeguards.digest_checked = false;
  start_node("n1", knobs);
  send(booking());
  answer_call(0);
  EXPECT_EQ(send(booking("seat 8"))->body, "booked");
}

TEST_F(OnceRequestTest, ARequestWhoseAnswerIsTooLargeToStoreIsNotRunAgain) {
  send(booking());
  backend_call(0).callbacks->on_headers(200, {});
  backend_call(0).callbacks->on_body(std::string(ClaimKnobs().max_stored_answer_bytes + 1, 'x'));
  backend_call(0).callbacks->on_end();
  clock_.run_for(milliseconds(20));
  EXPECT_EQ(kind_of(*send(booking())), "outcome_unknown");
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, ACallerThatDisconnectsBeforeTheClaimFreesTheKey) {
  const auto answer = call(booking());
  answer->on_closed();
  clock_.run_for(milliseconds(20));
  EXPECT_TRUE(backends_.calls.empty());
  send(booking());
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, TheRunContinuesWhenTheCallerDisconnectsAndTheResendIsAnswered) {
  const auto answer = send(booking());
  answer->on_closed();
  ASSERT_TRUE(backend_call(0).open());
  answer_call(0);
  EXPECT_EQ(send(booking())->body, "booked");
  EXPECT_EQ(backends_.calls.size(), 1U);
}

TEST_F(OnceRequestTest, TenantsHaveSeparateKeys) {
  auto configuration = std::make_shared<Configuration>(*configuration_.configuration);
  configuration->tenants["a"] = {.name = "a", .api_key = "ka"};
  configuration->tenants["b"] = {.name = "b", .api_key = "kb"};
  configuration_.configuration = configuration;
  for (const char* key : {"ka", "kb"}) {
    HttpRequest request = booking();
    request.headers.push_back({"Authorization", std::string("Bearer ") + key});
    send(std::move(request));
  }
  EXPECT_EQ(backends_.calls.size(), 2U);
}

TEST_F(OnceRequestTest, ACompletionRunsOnceAndItsStreamIsReplayed) {
  const HttpHeaders headers = {{"Idempotency-Key", "k"}, {"X-Chalkshed-Not-Repeatable", "true"}};
  const auto answer = send(completion(true, headers));
  EXPECT_TRUE(stream(0).request.fresh_connection);
  stream(0).send(0, {"a"});
  stream(0).complete(1);
  clock_.run_for(milliseconds(20));
  const auto resent = send(completion(true, headers));
  EXPECT_EQ(resent->body, answer->body);
  EXPECT_TRUE(resent->body.ends_with("[DONE]\n\n"));
  EXPECT_EQ(engine_.streams.size(), 1U);
}

TEST_F(OnceRequestTest, ANonRepeatableStreamIsNotResumed) {
  const HttpHeaders headers = {{"Idempotency-Key", "k"}, {"X-Chalkshed-Not-Repeatable", "true"}};
  const auto answer = send(completion(true, headers));
  stream(0).send(0, {"a"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(engine_.streams.size(), 1U);
  EXPECT_TRUE(answer->aborted);
}

}  // namespace
}  // namespace chalkshed
