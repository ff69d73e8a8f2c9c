#include "chalkshed/failure_recorder.h"

#include <gtest/gtest.h>

#include "emulator/memory_watched_store.h"
#include "sim/virtual_time.h"
#include "src/logging/logger.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const StoredRowKey kRow = {"job_failure", "jobs-0", "j1/a"};

class FailureRecorderTest : public testing::Test {
 protected:
  item_failures stored() {
    const RangePage page = shared.rows.read({kRow.table, kRow.partition, "", "", 500});
    return page.rows.empty() ? item_failures{}
                             : decode_item_failures(page.rows[0].value, page.rows[0].version);
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  NullLogger logger;
  SharedStore shared;
  MemoryWatchedStore store{shared, clock, dispatcher};
  failure_recorder recorder{store, dispatcher, logger, milliseconds(250)};
  size_t done = 0;
  item_failures recorded;
  failure_recorder::on_recorded on_recorded = [this](const item_failures& failures) {
    ++done;
    recorded = failures;
  };
};

TEST_F(FailureRecorderTest, RunsRecordedConcurrentlyByTwoNodesBothCount) {
  recorder.record(kRow, 1, run_failure::kFailed, {}, on_recorded);
  recorder.record(kRow, 2, run_failure::kFailed, {}, on_recorded);
  clock.run_for(milliseconds(100));
  EXPECT_EQ(done, 2U);
  EXPECT_EQ(stored().failed(), 2U);
  EXPECT_EQ(recorded.failed(), 2U) << "the second write returns the first run too";
  EXPECT_EQ(recorded.version, stored().version);
}

TEST_F(FailureRecorderTest, ARunWhoseAnswerWasLostCountsOnce) {
  shared.trouble.lose_commits = true;
  recorder.record(kRow, 1, run_failure::kFailed, {}, on_recorded);
  clock.run_for(milliseconds(2100));
  EXPECT_EQ(done, 0U) << "the outcome of the write is not known yet";
  shared.trouble.lose_commits = false;
  clock.run_for(seconds(1));
  EXPECT_EQ(done, 1U);
  EXPECT_EQ(stored().failed(), 1U);
}

// The store applies a write seconds after its answer was lost: it must not overwrite newer entries.
TEST_F(FailureRecorderTest, ADelayedWriteOverwritesNothing) {
  shared.trouble.lose_commits = true;
  shared.trouble.late_commits = seconds(4);
  recorder.record(kRow, 1, run_failure::kFailed, {}, on_recorded);
  clock.run_for(milliseconds(10));
  shared.trouble = StoreTrouble();
  recorder.record(kRow, 2, run_failure::kImpossible, {}, on_recorded);
  clock.run_for(seconds(8));
  EXPECT_EQ(done, 2U);
  EXPECT_EQ(stored().failed(), 2U);
  EXPECT_TRUE(stored().impossible());
}

TEST_F(FailureRecorderTest, RetriesUntilTheStoreAnswers) {
  shared.trouble.down = true;
  recorder.record(kRow, 1, run_failure::kFailed, {}, on_recorded);
  clock.run_for(seconds(20));
  EXPECT_EQ(done, 0U);
  shared.trouble.down = false;
  clock.run_for(milliseconds(300));
  EXPECT_EQ(done, 1U);
}

TEST(ItemFailuresTest, RoundTripAndSkipMalformedLines) {
  item_failures failures;
  failures.runs = {{1, run_failure::kFailed}, {UINT64_MAX, run_failure::kImpossible}};
  const std::string value = encode_item_failures(failures);
  EXPECT_EQ(decode_item_failures(value, 7).runs, failures.runs);
  EXPECT_EQ(decode_item_failures(value, 7).version, 7U);
  EXPECT_EQ(decode_item_failures("failed x\nfailed 5\nfailed 6 \n\nother 7", 1).runs.size(), 1U);
}

TEST(ItemFailuresTest, AttemptsAreUsedUpByAllFailedRunsTogetherOrByOneImpossibleRun) {
  item_failures failures;
  EXPECT_FALSE(failures.used_up(1));
  failures.runs = {{1, run_failure::kFailed}, {2, run_failure::kFailed}};
  EXPECT_FALSE(failures.used_up(3));
  EXPECT_TRUE(failures.used_up(2));
  failures.runs = {{1, run_failure::kImpossible}};
  EXPECT_TRUE(failures.used_up(3));
}

}  // namespace
}  // namespace chalkshed
