// Guards against callers who make workers refuse their requests, and thereby take these workers
// from all others: a worker that answers 421 or 503 because of a condition that the caller set is
// sound.

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

struct refused_condition {
  const char* header;
  const char* value;
  int status;
};

class CallerConditionsTest : public testing::TestWithParam<refused_condition> {
 protected:
  CallerConditionsTest() {
    cluster.workers.on_call = [this](ScriptedCall& call) {
      call_after(cluster.loop, milliseconds(5), [&call] { answer(call); });
    };
    cluster.clock.run_for(seconds(4));
  }
  static void answer(ScriptedCall& call) {
    if (!call.open()) {
      return;
    }
    if (!call.header(GetParam().header).empty()) {
      call.callbacks->on_headers(GetParam().status, call.refusal_head());
      call.end();
      return;
    }
    call.begin();
    call.event(1);
    call.end();
  }

  ServingCluster cluster{1, 3};
};

TEST_P(CallerConditionsTest, ThatNoWorkerMeetsHurtOnlyTheirRequest) {
  const HttpHeaders condition = {{GetParam().header, GetParam().value}};
  std::vector<SeenAnswerPtr> others;
  for (int number = 0; number < 30; ++number) {
    cluster.request("/stream/1", "condition" + std::to_string(number), "n0", condition);
    others.push_back(cluster.request("/stream/1", "other" + std::to_string(number)));
    cluster.clock.run_for(milliseconds(50));
  }
  cluster.node().jobs().submit(cluster.job("job", 4), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(seconds(2));
  for (const SeenAnswerPtr& answer : others) {
    EXPECT_EQ(answer->status, 200);
  }
  EXPECT_EQ(cluster.shared.rows.read(job_result_range("job", 0, 100)).rows.size(), 4U);
}

TEST_P(CallerConditionsTest, ARequestWhoseConditionIsNotMetIsRefused) {
  const SeenAnswerPtr seen =
      cluster.request("/stream/1", "r", "n0", {{GetParam().header, GetParam().value}});
  cluster.clock.run_for(seconds(9));
  ASSERT_TRUE(seen->finished);
  EXPECT_EQ(seen->status, 503);
}

INSTANTIATE_TEST_SUITE_P(Conditions, CallerConditionsTest,
                         testing::Values(refused_condition{"Chalkshed-Expect-Version", "7", 421},
                                         refused_condition{"Kv-From", "10.1.0.9:80/x", 503}));

}  // namespace
}  // namespace chalkshed
