#include "chalkshed/queued_tokens.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr uint64_t kJob = 1;
constexpr uint64_t kQueue = 7;

class QueuedTokensTest : public testing::Test {
 protected:
  bool listed(uint64_t job) const { return job == listed_job; }
  uint64_t unlisted() {
    return tokens.unlisted(
        kQueue, [this](uint64_t job) { return listed(job); }, now);
  }

  queued_tokens tokens;
  uint64_t listed_job = 0;
  MonotonicTime now{seconds(100)};
};

TEST_F(QueuedTokensTest, AJobCountsWithAllTokensUntilItsOwnerReportsTheRemainder) {
  EXPECT_EQ(tokens.remaining_tokens(kJob, 100), 100U);
  tokens.note({kJob, kQueue, 60}, now);
  EXPECT_EQ(tokens.remaining_tokens(kJob, 100), 60U);
}

TEST_F(QueuedTokensTest, ReorderedReportsNeverRaiseTheRemainder) {
  tokens.note({kJob, kQueue, 60}, now);
  tokens.note({kJob, kQueue, 90}, now);
  EXPECT_EQ(tokens.remaining_tokens(kJob, 100), 60U);
}

TEST_F(QueuedTokensTest, AJobKnownByReportsAloneCountsUntilItsRecordArrives) {
  tokens.note({kJob, kQueue, 60}, now);
  EXPECT_EQ(unlisted(), 60U);
  listed_job = kJob;
  EXPECT_EQ(unlisted(), 0U);
}

TEST_F(QueuedTokensTest, AReportWithoutARecordCountsNoLongerThanItsLifetime) {
  tokens.note({kJob, kQueue, 60}, now);
  now += seconds(11);
  EXPECT_EQ(unlisted(), 0U);
  tokens.prune(now, [](uint64_t) { return false; });
  EXPECT_EQ(tokens.remaining_tokens(kJob, 100), 100U);
}

TEST_F(QueuedTokensTest, TheDrainRateFollowsCompletionsAndDecaysWithoutThem) {
  tokens.note({kJob, kQueue, 1000}, now);
  for (uint64_t step = 1; step <= 40; ++step) {
    now += seconds(1);
    tokens.note({kJob, kQueue, 1000 - 20 * step}, now);
  }
  EXPECT_NEAR(tokens.drain_rate(now), 20.0, 4.0);
  EXPECT_LT(tokens.drain_rate(now + seconds(60)), 0.1);
}

}  // namespace
}  // namespace chalkshed
