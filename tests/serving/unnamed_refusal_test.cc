#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class UnnamedRefusalTest : public testing::Test {
 protected:
  // Without the id of a request: it may belong to an earlier one of the connection.
  static void refuse_unnamed(ScriptedCall& call, int status) {
    answer(call, status, {{platform::kNotExecuted, "1"}});
  }
  static void answer(ScriptedCall& call, int status, const HttpHeaders& head) {
    call.callbacks->on_headers(status, head);
    if (call.open()) {
      call.end();
    }
  }
  ScriptedCall& last() { return cluster.workers.calls.back(); }
  size_t sends() const { return cluster.workers.calls.size(); }

  ServingCluster cluster{1, 2};
};

// Guards against what may run once running at a second worker while the first one has it.
TEST_F(UnnamedRefusalTest, DoesNotMakeARequestRunTwice) {
  for (const int status : {400, 408, 421, 429, 503}) {
    const size_t before = sends();
    const SeenAnswerPtr seen = cluster.request("/once/x", "r" + std::to_string(status));
    refuse_unnamed(last(), status);
    cluster.clock.run_for(milliseconds(50));
    EXPECT_EQ(sends(), before + 1) << status;
    EXPECT_FALSE(promises_not_run(seen->status)) << status;
  }
}

// Guards against a stream that goes on at a second worker while the first one still writes it.
TEST_F(UnnamedRefusalTest, EndsTheRunBeforeAStreamGoesOnElsewhere) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  ScriptedCall& first = last();
  refuse_unnamed(first, 503);
  EXPECT_FALSE(first.open());
  ASSERT_EQ(sends(), 2U);
  last().fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(50));
  EXPECT_EQ(seen->status, 502);
}

TEST_F(UnnamedRefusalTest, IsSetAsideAheadOfTheAnswerToARequestThatMayRunOnce) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  refuse_unnamed(last(), 503);
  cluster.clock.run_for(seconds(2));
  last().begin();
  last().callbacks->on_body("whole");
  last().end();
  EXPECT_EQ(seen->status, 200);
  EXPECT_EQ(seen->body, "whole");
  EXPECT_EQ(sends(), 1U);
}

TEST_F(UnnamedRefusalTest, ThatIsAllThatAWorkerSendsEndsARequestThatMayRunOnceAtItsDeadline) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  refuse_unnamed(last(), 503);
  cluster.clock.run_for(milliseconds(4010));
  EXPECT_EQ(seen->status, 504);
}

TEST_F(UnnamedRefusalTest, RepeatedWithoutEndIsGivenUp) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  for (int number = 0; number < 10 && last().open(); ++number) {
    refuse_unnamed(last(), 503);
  }
  cluster.clock.run_for(milliseconds(5));
  EXPECT_EQ(seen->status, 502);
}

TEST_F(UnnamedRefusalTest, AnAnswerToAnotherRequestIsSetAsideForAllRequests) {
  for (const std::string path : {"/once/x", "/plain/x", "/stream/x", "/fixed/x"}) {
    SCOPED_TRACE(path);
    const size_t before = sends();
    const SeenAnswerPtr seen = cluster.request(path, "r" + path);
    answer(last(), 200, {{platform::kRequestId, "another"}, {platform::kSignature, "signed"}});
    answer(last(), 503, {{platform::kRequestId, "third"}, {platform::kNotExecuted, "1"}});
    ASSERT_TRUE(last().open());
    last().begin();
    last().event(1);
    last().end();
    EXPECT_EQ(sends(), before + 1);
    EXPECT_EQ(seen->status, 200);
    EXPECT_EQ(seen->body, "id: 1\ndata: d1\n\n");
  }
}

TEST_F(UnnamedRefusalTest, DoesNotTakeItsWorkerForReplaced) {
  for (int number = 0; number < 2; ++number) {
    cluster.request("/once/x", "r" + std::to_string(number));
    refuse_unnamed(last(), 421);
  }
  cluster.clock.run_for(seconds(2));
  const SeenAnswerPtr seen = cluster.request("/once/x", "later");
  EXPECT_EQ(sends(), 3U);
  last().begin();
  last().end();
  EXPECT_EQ(seen->status, 200);
}

TEST_F(UnnamedRefusalTest, IsNoProofEitherWithTwoIdsOrAnEmptyOne) {
  const std::vector<HttpHeaders> ids = {
      {{platform::kRequestId, "r1"}, {platform::kRequestId, "r2"}},
      {{platform::kRequestId, "r1"}, {"chalkshed-request-ID", "r1"}},
      {{platform::kRequestId, ""}}};
  for (HttpHeaders head : ids) {
    const size_t before = sends();
    const SeenAnswerPtr seen = cluster.request("/once/x", "r1");
    head.push_back({platform::kNotExecuted, "1"});
    answer(last(), 503, head);
    cluster.clock.run_for(milliseconds(50));
    EXPECT_EQ(sends(), before + 1);
    EXPECT_FALSE(promises_not_run(seen->status));
  }
}

TEST_F(UnnamedRefusalTest, IsAProofForARequestWithoutAnIdOnAConnectionOfItsOwn) {
  cluster.request("/once/x", "");
  EXPECT_TRUE(last().fresh_connection);
  refuse_unnamed(last(), 400);
  EXPECT_EQ(sends(), 2U);
}

}  // namespace
}  // namespace chalkshed
