#include "src/jobs/owned_job.h"

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/jobs/owned_job_fixture.h"

namespace chalkshed {
namespace {

TEST_F(OwnedJobTest, AnAppendThatWasAppliedThoughItsAnswerWasLostIsRecognised) {
  const StoreVersion version = write(stored_job_key("j1"), encode_job_record(record));
  std::string lost;
  OwnedJob job(environment, recorder, record, version, clock.monotonic_now(), {items(), {}, {}, {}},
               [&](const std::string& reason) { lost = reason; });
  ASSERT_EQ(job.start_item(0), item_start::kStarted);
  shared.trouble.lose_commits = true;
  complete(calls.calls.back());
  clock.run_for(milliseconds(500));
  shared.trouble.lose_commits = false;
  clock.run_for(seconds(4));
  EXPECT_EQ(lost, "");
  EXPECT_EQ(job.held().size(), 1U);
}

// An append by an earlier owner of the job that is applied late must not be taken for the owner's
// own: the item would be listed again at a later position.
TEST_F(OwnedJobTest, AResultWrittenByAnotherOwnerEndsTheOwnership) {
  const StoreVersion version = write(stored_job_key("j1"), encode_job_record(record));
  JobResult other;
  other.item = "b";
  other.state = ItemState::kCompleted;
  other.text = "from an earlier adoption";
  std::string lost;
  OwnedJob job(environment, recorder, record, version, clock.monotonic_now(), {items(), {}, {}, {}},
               [&](const std::string& reason) { lost = reason; });
  ASSERT_EQ(job.start_item(0), item_start::kStarted);
  write(job_result_key("j1", 0), encode_job_result(other));
  complete(calls.calls.back());
  clock.run_for(seconds(1));
  EXPECT_NE(lost, "");
  EXPECT_TRUE(job.held().empty());
}

TEST_F(OwnedJobTest, ASupersededOwnerAppendsNothing) {
  const StoreVersion version = write(stored_job_key("j1"), encode_job_record(record));
  std::string lost;
  OwnedJob job(environment, recorder, record, version, clock.monotonic_now(), {items(), {}, {}, {}},
               [&](const std::string& reason) { lost = reason; });
  ASSERT_EQ(job.start_item(0), item_start::kStarted);
  StoredJob taken = record;
  taken.owner = "n1#1";
  ++taken.epoch;
  write(stored_job_key("j1"), encode_job_record(taken));
  complete(calls.calls.back());
  clock.run_for(seconds(1));
  EXPECT_NE(lost, "");
  EXPECT_TRUE(shared.rows.read(job_result_range("j1", 0, 10)).rows.empty());
}

TEST_F(OwnedJobTest, AnItemFailsOnceItsRetentionHasPassedAndNotBefore) {
  const StoreVersion version = write(stored_job_key("j1"), encode_job_record(record));
  StoredRow configuration;
  configuration.key = {platform::kOperatorTable, "", platform::kConfigurationKey};
  configuration.version = 2;
  configuration.value = R"({"version": 2, "services": [], "routes": [
      {"name": "batch", "host": "a.example", "path_prefix": "/batch/", "kind": "batch",
       "service": "engines", "retention_s": 60}]})";
  routes.on_row(configuration);
  store_clock.observe({1, clock.monotonic_now().time_since_epoch()});
  record.accepted = store_clock.now();
  OwnedJob job(environment, recorder, record, version, clock.monotonic_now(), {items(), {}, {}, {}},
               [](const std::string&) {});
  clock.run_for(seconds(59));
  job.fail_unrunnable_items();
  clock.run_for(milliseconds(500));
  EXPECT_TRUE(job.held().empty());
  clock.run_for(seconds(1));
  job.fail_unrunnable_items();
  clock.run_for(milliseconds(500));
  EXPECT_EQ(job.held().size(), 2U);
}

// Under overload, late items must not delay items that can still meet their target.
TEST_F(OwnedJobTest, ItemsThatCanMeetTheirTargetStartBeforeThoseThatCannot) {
  store_clock.observe({1, clock.monotonic_now().time_since_epoch()});
  clock.run_for(seconds(60));
  record.accepted = store_clock.now() - seconds(18);
  StoredJob timely = record;
  timely.id = "j2";
  timely.accepted = store_clock.now() - seconds(12);
  OwnedJob late_job(environment, recorder, record, 1, clock.monotonic_now(), {items(), {}, {}, {}},
                    [](const std::string&) {});
  OwnedJob timely_job(environment, recorder, timely, 1, clock.monotonic_now(),
                      {items(), {}, {}, {}}, [](const std::string&) {});
  ASSERT_LT(late_job.slack(0), Duration(0));
  ASSERT_GT(timely_job.slack(0), Duration(0));
  EXPECT_TRUE(starts_before(timely_job.slack(0), late_job.slack(0)));
}

TEST(StartsBeforeTest, TheMostUrgentItemOnTimeComesFirstThenTheLeastLate) {
  EXPECT_TRUE(starts_before(seconds(1), seconds(5)));
  EXPECT_TRUE(starts_before(seconds(5), seconds(-1)));
  EXPECT_TRUE(starts_before(seconds(-1), seconds(-5)));
  EXPECT_FALSE(starts_before(seconds(-1), Duration(0)));
}

}  // namespace
}  // namespace chalkshed
