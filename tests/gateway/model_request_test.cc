#include "src/gateway/model_request.h"

#include "tests/gateway/gateway_fixture.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ModelRequestTest : public GatewayFixture {
 protected:
  static bool aborted_visibly(const SeenAnswer& answer) {
    return answer.aborted && !answer.finished &&
           answer.body.find("\"error\"") != std::string::npos &&
           answer.body.find("[DONE]") == std::string::npos;
  }
};

TEST_F(ModelRequestTest, AnswersPlainAndEchoesTheRequestId) {
  const auto answer = call(completion(false, {{"X-Request-Id", "caller-1"}}));
  stream(0).send(0, {"a", "b"});
  stream(0).send(2, {"c"});
  stream(0).complete(3);
  clock_.run_for(milliseconds(1));
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->json()["choices"][0]["text"], "abc");
  EXPECT_EQ(answer->json()["usage"]["completion_tokens"], 3);
  EXPECT_EQ(answer->header("x-request-id"), "caller-1");
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
}

TEST_F(ModelRequestTest, StreamsAndEndsWithDone) {
  const auto answer = call(completion(true));
  EXPECT_EQ(answer->status, 0);  // errors before the first token keep their status
  stream(0).send(0, {"a"});
  EXPECT_NE(answer->body.find("\"a\""), std::string::npos);
  stream(0).complete(1);
  EXPECT_TRUE(answer->finished);
  EXPECT_TRUE(answer->body.ends_with("data: [DONE]\n\n"));
}

TEST_F(ModelRequestTest, ResumesAnInterruptedStreamAfterTheLastToken) {
  const auto answer = call(completion(true));
  stream(0).send(0, {"a", "b"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  ASSERT_EQ(engine_.streams.size(), 2U);
  EXPECT_FALSE(stream(0).open());
  EXPECT_EQ(stream(1).request.resumed_tokens, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(router_.requests[1].excluded, (std::vector<std::string>{"w0"}));
  EXPECT_NE(stream(0).request.attempt_id, stream(1).request.attempt_id);
  stream(1).send(2, {"c"});
  stream(1).complete(3);
  EXPECT_TRUE(answer->finished);
}

TEST_F(ModelRequestTest, SkipsTokensThatAreAlreadyPresent) {
  const auto answer = call(completion(false));
  stream(0).send(0, {"a", "b"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  stream(1).send(1, {"b", "c"});
  stream(1).complete(3);
  EXPECT_EQ(answer->json()["choices"][0]["text"], "abc");
}

TEST_F(ModelRequestTest, WithoutTheIndexCheckATokenIsDuplicated) {
  GatewayKnobs knobs;
  knobs.safeguards.resume_checks_token_index = false;
  start_node("n1", knobs);
  const auto answer = call(completion(false));
  stream(0).send(0, {"a", "b"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  stream(1).send(1, {"b", "c"});
  stream(1).complete(4);
  EXPECT_EQ(answer->json()["choices"][0]["text"], "abbc");
}

TEST_F(ModelRequestTest, AMissingOrDifferentTokenFailsTheAttemptNotTheRequest) {
  const auto answer = call(completion(false));
  stream(0).send(0, {"a"});
  stream(0).send(2, {"c"});  // index 1 is missing
  ASSERT_EQ(engine_.streams.size(), 2U);
  stream(1).send(0, {"x"});  // differs from what the caller may have seen
  ASSERT_EQ(engine_.streams.size(), 3U);
  stream(2).send(1, {"b", "c"});
  stream(2).complete(3);
  EXPECT_EQ(answer->json()["choices"][0]["text"], "abc");
}

TEST_F(ModelRequestTest, AnIncompleteStreamIsNeverACompleteAnswer) {
  router_.retries_left = 0;
  const auto answer = call(completion(true));
  stream(0).send(0, {"a"});
  stream(0).complete(3);  // the engine counted three
  EXPECT_TRUE(aborted_visibly(*answer)) << answer->body;
}

TEST_F(ModelRequestTest, WithoutTheEndMarkCheckAnIncompleteAnswerPasses) {
  GatewayKnobs knobs;
  knobs.safeguards.end_mark_required = false;
  start_node("n1", knobs);
  const auto answer = call(completion(true));
  stream(0).send(0, {"a"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_TRUE(answer->finished);
}

TEST_F(ModelRequestTest, AbortsVisiblyWhenNoWorkerIsLeft) {
  const auto answer = call(completion(true));
  for (size_t attempt = 0; attempt < 2; ++attempt) {
    stream(attempt).send(static_cast<uint32_t>(attempt), {"t"});
    stream(attempt).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  }
  stream(2).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(engine_.streams.size(), 3U);
  EXPECT_TRUE(aborted_visibly(*answer)) << answer->body;
  EXPECT_NE(answer->body.find("\"ran\":\"unknown\""), std::string::npos);
}

TEST_F(ModelRequestTest, ReportsNotRunOnlyWhenNoAttemptCanHaveRun) {
  const auto refused = call(completion(false));
  for (size_t attempt = 0; attempt < 3; ++attempt) {
    stream(attempt).fail(ErrorKind::kUnavailable, Ran::kNo);
  }
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->json()["error"]["ran"], "no");
  EXPECT_FALSE(refused->header("retry-after").empty());

  const auto uncertain = call(completion(false));
  stream(3).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  stream(4).fail(ErrorKind::kUnavailable, Ran::kNo);
  stream(5).fail(ErrorKind::kUnavailable, Ran::kNo);
  EXPECT_EQ(uncertain->json()["error"]["ran"], "unknown");
}

TEST_F(ModelRequestTest, WithoutTheCertaintyCheckNotRunIsReportedWrongly) {
  GatewayKnobs knobs;
  knobs.safeguards.not_run_only_when_certain = false;
  start_node("n1", knobs);
  router_.retries_left = 0;
  const auto answer = call(completion(false));
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(answer->json()["error"]["ran"], "no");
}

TEST_F(ModelRequestTest, RetriesAreBoundedByTheBudget) {
  router_.retries_left = 1;
  const auto answer = call(completion(false));
  stream(0).fail(ErrorKind::kUnavailable, Ran::kNo);
  stream(1).fail(ErrorKind::kUnavailable, Ran::kNo);
  EXPECT_EQ(engine_.streams.size(), 2U);
  EXPECT_EQ(answer->status, 503);
}

TEST_F(ModelRequestTest, AWorkerThatStallsDuringItsAnswerIsReplacedByAnother) {
  const auto answer = call(completion(true));
  stream(0).send(0, {"a"});
  clock_.run_for(GatewayKnobs().idle_timeout - milliseconds(1));
  stream(0).send(1, {"b"});
  clock_.run_for(GatewayKnobs().idle_timeout - milliseconds(1));
  EXPECT_EQ(engine_.streams.size(), 1U);
  clock_.run_for(milliseconds(2));
  ASSERT_EQ(engine_.streams.size(), 2U);
  EXPECT_FALSE(stream(0).open());
  EXPECT_EQ(stream(1).request.resumed_tokens.size(), 2U);
}

TEST_F(ModelRequestTest, WaitingInTheEnginesQueueIsNotAFailure) {
  call(completion(false, {{"X-Chalkshed-Deadline-Ms", "60000"}}));
  EXPECT_EQ(stream(0).request.idle_timeout, seconds(30));
  call(completion(false, {{"X-Chalkshed-Deadline-Ms", "6000"}}));
  EXPECT_EQ(stream(1).request.idle_timeout, GatewayKnobs().idle_timeout);
}

TEST_F(ModelRequestTest, DeadlineCancelsAndAnswersAtOnce) {
  const auto answer = call(completion(false, {{"X-Chalkshed-Deadline-Ms", "200"}}));
  EXPECT_EQ(router_.requests[0].time_left, milliseconds(200));
  EXPECT_LE(stream(0).request.idle_timeout, milliseconds(200));
  clock_.run_for(milliseconds(201));
  EXPECT_FALSE(stream(0).open());
  EXPECT_EQ(answer->status, 504);
  EXPECT_EQ(answer->json()["error"]["kind"], "deadline_exceeded");
  EXPECT_EQ(answer->json()["error"]["ran"], "unknown");
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
}

TEST_F(ModelRequestTest, ADeadlineDuringAStreamIsVisible) {
  const auto answer = call(completion(true, {{"X-Chalkshed-Deadline-Ms", "200"}}));
  stream(0).send(0, {"a"});
  clock_.run_for(milliseconds(201));
  EXPECT_TRUE(aborted_visibly(*answer));
}

TEST_F(ModelRequestTest, ARetryAfterAPauseOfTheNodeIsNotDispatched) {
  const auto answer = call(completion(false, {{"X-Chalkshed-Deadline-Ms", "200"}}));
  dispatcher_->freeze();
  clock_.run_for(seconds(1));
  stream(0).fail(ErrorKind::kUnavailable, Ran::kNo);  // first event after the pause
  EXPECT_EQ(engine_.streams.size(), 1U);
  EXPECT_EQ(answer->json()["error"]["kind"], "deadline_exceeded");
  EXPECT_EQ(answer->json()["error"]["ran"], "no");
}

TEST_F(ModelRequestTest, ADisconnectedCallersRequestIsCancelledOnTheEngine) {
  const auto answer = call(completion(true));
  stream(0).send(0, {"a"});
  answer->on_closed();
  EXPECT_FALSE(stream(0).open());
  clock_.run_for(milliseconds(1));
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
}

TEST_F(ModelRequestTest, WithoutCancellationTheRequestOfADisconnectedCallerKeepsItsWorkerBusy) {
  GatewayKnobs knobs;
  knobs.safeguards.cancel_when_caller_gone = false;
  start_node("n1", knobs);
  const auto answer = call(completion(true));
  answer->on_closed();
  EXPECT_TRUE(stream(0).open());
}

TEST_F(ModelRequestTest, ASlowReadersAnswerIsAbortedAndCancelled) {
  const auto answer = call(completion(true));
  stream(0).send(0, {"a"});
  answer->unread_bytes = GatewayKnobs().max_buffered_answer_bytes + 1;
  stream(0).send(1, {"b"});
  EXPECT_TRUE(answer->aborted);
  EXPECT_FALSE(stream(0).open());
}

TEST_F(ModelRequestTest, RequestsRefusedByAWorkerAreRetriedElsewhere) {
  const auto answer = call(completion(false));
  stream(0).fail(ErrorKind::kDraining, Ran::kNo);
  stream(1).fail(ErrorKind::kOverloaded, Ran::kNo);
  stream(2).send(0, {"a"});
  stream(2).complete(1);
  EXPECT_EQ(answer->status, 200);
}

TEST_F(ModelRequestTest, AnAnswerAtItsTokenLimitIsCompleteWithoutTheEndMark) {
  const auto answer = call(completion(false));
  stream(0).send(0, {"a", "b", "c"});
  stream(0).fail(ErrorKind::kUpstreamFailed, Ran::kUnknown);
  EXPECT_EQ(answer->json()["choices"][0]["text"], "abc");
  EXPECT_EQ(answer->json()["choices"][0]["finish_reason"], "length");
}

TEST_F(ModelRequestTest, AnInvalidRequestIsNotRetriedElsewhere) {
  const auto answer = call(completion(false));
  stream(0).fail(ErrorKind::kTooLarge, Ran::kNo);
  EXPECT_EQ(engine_.streams.size(), 1U);
  EXPECT_EQ(router_.failures, 0);
  EXPECT_EQ(answer->status, 413);
}

TEST_F(ModelRequestTest, NoPlatformCallOnTheOnlinePath) {
  table_.down = true;
  const auto answer = call(completion(false, {{"Idempotency-Key", "k"}}));
  stream(0).complete(0);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(table_.commits, 0);
}

}  // namespace
}  // namespace chalkshed
