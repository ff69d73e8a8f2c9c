#include "src/serving/request_relay.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class RequestRelayTest : public testing::Test {
 protected:
  ScriptedCall& last() { return cluster.workers.calls.back(); }
  size_t sends() const { return cluster.workers.calls.size(); }
  void settle() { cluster.clock.run_for(milliseconds(5)); }

  ServingCluster cluster{1, 2};
};

TEST_F(RequestRelayTest, AnAnswerIsForwardedByteForByteWithItsHead) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  EXPECT_EQ(last().request.path, "/plain/x");
  EXPECT_EQ(last().request.body, "body of r1");
  EXPECT_EQ(last().header(platform::kRequestId), "r1");
  EXPECT_FALSE(last().header(platform::kExpectInstance).empty());
  last().begin(207);
  last().callbacks->on_body(std::string("a\0b", 3));
  last().end();
  EXPECT_EQ(seen->status, 207);
  EXPECT_EQ(seen->body, std::string("a\0b", 3));
  EXPECT_EQ(seen->header(platform::kSignature), "signed");
  EXPECT_TRUE(seen->finished);
}

TEST_F(RequestRelayTest, AWorkerGetsTheRemainingTime) {
  cluster.request("/once/x");
  EXPECT_EQ(last().header(platform::kDeadline), "4000");
  cluster.clock.run_for(milliseconds(1500));
  last().refuse();
  EXPECT_EQ(last().header(platform::kDeadline), "2500");
}

TEST_F(RequestRelayTest, ARequestRefusedByAWorkerIsSentToAnother) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  const Address first = last().worker;
  last().refuse();
  ASSERT_EQ(sends(), 2U);
  EXPECT_NE(last().worker, first);
  last().begin();
  last().end();
  EXPECT_EQ(seen->status, 200);
}

TEST_F(RequestRelayTest, WhenAllWorkersRefuseTheCallerGetsNotRunAndRetryAfter) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  while (seen->status == 0) {
    last().refuse();
  }
  EXPECT_EQ(seen->status, 503);
  EXPECT_FALSE(seen->header("Retry-After").empty());
}

TEST_F(RequestRelayTest, ANonRepeatableRequestThatMayHaveRunIsNotRetriedNorReportedAsNotRun) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  last().fail(Ran::kUnknown);
  settle();
  EXPECT_EQ(sends(), 1U);
  EXPECT_EQ(seen->status, 502);
}

// A worker that has run a request may answer with any status. Callers take some statuses to mean
// that nothing ran, and resend the request.
TEST_F(RequestRelayTest, AWorkersStatusIsNotForwardedIfItMeansNotRunToCallers) {
  for (const int status : {408, 421, 429, 503}) {
    const SeenAnswerPtr seen = cluster.request("/once/x", "r" + std::to_string(status));
    last().begin(status);
    last().end();
    EXPECT_EQ(seen->status, 502) << status;
    EXPECT_EQ(seen->header(platform::kSignature), "") << "the answer is not the worker's";
  }
  EXPECT_EQ(sends(), 4U) << "each request is sent once";
}

TEST_F(RequestRelayTest, ARepeatableRequestIsRetriedElsewhereWhenAWorkerIsOverloaded) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  last().begin(429);
  last().end();
  ASSERT_EQ(sends(), 2U);
  last().begin();
  last().end();
  EXPECT_EQ(seen->status, 200);
}

// The first run was interrupted. The second worker's refusal says nothing about the first run.
TEST_F(RequestRelayTest, ARefusalAfterAnInterruptedRunIsNotReportedAsNotRun) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  last().fail(Ran::kUnknown);
  while (seen->status == 0) {
    last().refuse();
  }
  EXPECT_EQ(seen->status, 502);
}

TEST_F(RequestRelayTest, AContradictoryAnswerIsNotTreatedAsARefusal) {
  const SeenAnswerPtr signed_refusal = cluster.request("/once/x", "r1");
  HttpHeaders head = last().head();
  head.push_back({platform::kNotExecuted, "1"});
  last().callbacks->on_headers(503, head);
  last().end();
  EXPECT_EQ(signed_refusal->status, 502);
  const SeenAnswerPtr refused_success = cluster.request("/once/x", "r2");
  last().callbacks->on_headers(200, last().refusal_head());
  if (last().open()) {
    last().end();
  }
  EXPECT_EQ(refused_success->status, 502);
  EXPECT_EQ(sends(), 2U);
}

TEST_F(RequestRelayTest, AFailedConnectionIsRetriedElsewhereEvenForANonRepeatableRequest) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  last().fail(Ran::kNo);
  ASSERT_EQ(sends(), 2U);
  last().begin();
  last().end();
  EXPECT_EQ(seen->status, 200);
}

TEST_F(RequestRelayTest, ARepeatableRequestRunsAsOftenAsItsRouteAllows) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  last().fail(Ran::kUnknown);
  ASSERT_EQ(sends(), 2U);
  last().fail(Ran::kUnknown);
  EXPECT_EQ(sends(), 2U);
  EXPECT_EQ(seen->status, 502);
}

TEST_F(RequestRelayTest, AnAnswerWithoutASignatureIsRejected) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  last().callbacks->on_headers(200, {{platform::kRequestId, "r1"}});
  settle();
  EXPECT_EQ(seen->status, 502);
}

TEST_F(RequestRelayTest, TheAnswerToAnotherRequestIsNotForwarded) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  last().callbacks->on_headers(
      200, {{platform::kRequestId, "another"}, {platform::kSignature, "signed"}});
  last().end();
  settle();
  EXPECT_EQ(seen->status, 0);
  last().fail(Ran::kUnknown);
  settle();
  EXPECT_EQ(seen->status, 502);
  EXPECT_TRUE(seen->header(platform::kSignature).empty());
}

TEST_F(RequestRelayTest, ABodyWithAContentEncodingIsRejected) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  HttpHeaders head = last().head();
  head.push_back({"Content-Encoding", "gzip"});
  last().callbacks->on_headers(200, head);
  settle();
  EXPECT_EQ(seen->status, 502);
}

TEST_F(RequestRelayTest, AnInterruptedStreamResumesElsewhereAfterItsLastCompleteEvent) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  last().event(1);
  last().event(2);
  last().callbacks->on_body("id: 3\nda");
  last().fail(Ran::kUnknown);
  ASSERT_EQ(sends(), 2U);
  EXPECT_EQ(last().header(platform::kLastEventId), "2");
  last().begin();
  last().event(3);
  last().end();
  EXPECT_EQ(seen->body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n");
  EXPECT_TRUE(seen->finished);
}

TEST_F(RequestRelayTest, EventsRepeatedByAResumedRunAreDropped) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  last().event(1);
  last().fail(Ran::kUnknown);
  last().begin();
  last().event(1);
  last().event(2);
  last().end();
  EXPECT_EQ(seen->body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

TEST_F(RequestRelayTest, AnInterruptedStreamThatIsNotResumableIsAborted) {
  const SeenAnswerPtr seen = cluster.request("/fixed/x");
  last().begin();
  last().event(1);
  last().fail(Ran::kUnknown);
  EXPECT_EQ(sends(), 1U);
  EXPECT_TRUE(seen->aborted);
  EXPECT_FALSE(seen->finished);
}

TEST_F(RequestRelayTest, AStreamThatEndsInsideAnEventIsAborted) {
  const SeenAnswerPtr seen = cluster.request("/fixed/x");
  last().begin();
  last().event(1);
  last().callbacks->on_body("id: 2\ndata: d");
  last().end();
  EXPECT_TRUE(seen->aborted);
  EXPECT_FALSE(seen->finished);
}

TEST_F(RequestRelayTest, TheFinalAnswerComesAtTheRoutesTimeout) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  cluster.clock.run_for(milliseconds(3990));
  EXPECT_EQ(seen->status, 0);
  cluster.clock.run_for(milliseconds(20));
  EXPECT_EQ(seen->status, 504);
  EXPECT_FALSE(last().open());
}

TEST_F(RequestRelayTest, ARepeatableRequestLeavesASilentWorkerAndCancelsItsRun) {
  const SeenAnswerPtr seen = cluster.request("/plain/x");
  ScriptedCall& silent = last();
  cluster.clock.run_for(milliseconds(1000));
  ASSERT_EQ(sends(), 2U);
  EXPECT_FALSE(silent.open());
  last().begin();
  last().end();
  EXPECT_EQ(seen->status, 200);
}

TEST_F(RequestRelayTest, AStalledStreamResumesElsewhere) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  last().event(1);
  cluster.clock.run_for(milliseconds(800));
  last().event(2);
  cluster.clock.run_for(milliseconds(800));
  EXPECT_EQ(sends(), 1U);
  cluster.clock.run_for(milliseconds(400));
  ASSERT_EQ(sends(), 2U);
  EXPECT_EQ(last().header(platform::kLastEventId), "2");
}

TEST_F(RequestRelayTest, ANonRepeatableRequestWaitsForASilentWorker) {
  cluster.request("/once/x");
  cluster.clock.run_for(milliseconds(3900));
  EXPECT_EQ(sends(), 1U);
  EXPECT_TRUE(last().open());
}

TEST_F(RequestRelayTest, ARunIsCancelledWhenItsCallerDisconnects) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  seen->on_closed();
  settle();
  EXPECT_FALSE(last().open());
  EXPECT_EQ(cluster.node().gateway().requests_in_progress(), 0U);
}

TEST_F(RequestRelayTest, WithoutAFreeSlotRequestsWaitByPriorityAndNoneIsLost) {
  constexpr int kRequests = 10;
  std::vector<SeenAnswerPtr> seen;
  seen.reserve(kRequests);
  for (int number = 0; number < kRequests; ++number) {
    seen.push_back(cluster.request("/once/x", "r" + std::to_string(number)));
  }
  EXPECT_EQ(sends(), 8U);  // two workers with four slots each
  cluster.workers.calls.front().begin();
  cluster.workers.calls.front().end();
  settle();
  EXPECT_EQ(sends(), 9U);
  // The last request waits no longer than its share of the target and is then queued at a worker.
  cluster.clock.run_for(milliseconds(300));
  EXPECT_EQ(sends(), 10U);
}

TEST_F(RequestRelayTest, APlannedStopServesNewCallersForAWhileAndAbortsNothing) {
  const SeenAnswerPtr before = cluster.request("/once/x", "before");
  bool stopped = false;
  cluster.node().begin_drain([&] { stopped = true; });
  EXPECT_NE(cluster.node().not_ready_reason(), nullptr);
  EXPECT_FALSE(cluster.node().refuse("early"));
  const SeenAnswerPtr after = cluster.request("/once/x", "after");
  cluster.clock.run_for(milliseconds(2650));
  EXPECT_FALSE(stopped);
  const std::optional<Error> refusal = cluster.node().refuse("late");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->ran, Ran::kNo);
  EXPECT_TRUE(refusal->retry_after);
  for (ScriptedCall& call : cluster.workers.calls) {
    call.begin();
    call.end();
  }
  cluster.clock.run_for(milliseconds(200));
  EXPECT_TRUE(stopped);
  EXPECT_EQ(before->status, 200);
  EXPECT_EQ(after->status, 200);
}

TEST_F(RequestRelayTest, APlannedStopEndsWithinItsGracePeriodDespiteRunningRequests) {
  cluster.request("/stream/x");
  bool stopped = false;
  cluster.node().begin_drain([&] { stopped = true; });
  cluster.clock.run_for(milliseconds(7600));
  EXPECT_TRUE(stopped);
}

}  // namespace
}  // namespace chalkshed
