// For each safeguard: its guarantee holds in a scenario with the safeguard and is violated without
// it.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

BatchCluster::Options with(const BatchSafeguards& safeguards) {
  BatchCluster::Options options;
  options.knobs.safeguards = safeguards;
  return options;
}

// A frozen owner resumes after a takeover. The lease check is disabled, so that only the epoch
// check protects.
// @return whether a result changed after the job had completed.
bool result_changes_after_completion(bool epoch_checked) {
  BatchSafeguards safeguards;
  safeguards.lease_checked_before_side_effects = false;
  safeguards.epoch_checked_at_commit = epoch_checked;
  BatchCluster cluster(with(safeguards));
  const std::string job = cluster.submit(0, job_lines("item", 200, 20));
  cluster.run_for(milliseconds(200));
  cluster.freeze(0);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(2)));
  const auto before = cluster.output(1, job);
  cluster.thaw(0);
  cluster.run_for(minutes(1));
  return cluster.output(1, job) != before;
}

TEST(BatchSafeguardsTest, EpochKeepsASupersededOwnerFromCompletingAnew) {
  EXPECT_FALSE(result_changes_after_completion(true));
  EXPECT_TRUE(result_changes_after_completion(false));
}

// @return whether a frozen owner started items after its job was reported as cancelled.
bool frozen_owner_works_after_cancel(bool lease_checked) {
  BatchSafeguards safeguards;
  safeguards.lease_checked_before_side_effects = lease_checked;
  BatchCluster cluster(with(safeguards));
  const std::string job = cluster.submit(0, job_lines("item", 2000, 20));
  cluster.run_for(milliseconds(200));
  cluster.freeze(0);
  cluster.disconnect_from_peers(0);
  cluster.wait(*cluster.send(1, "POST", "/v1/batches/" + job + "/cancel"));
  EXPECT_TRUE(cluster.run_until(1, job, "cancelled", minutes(2)));
  const size_t started = cluster.worker_log().started.size();
  cluster.thaw(0);
  cluster.run_for(minutes(1));
  return cluster.worker_log().started.size() != started;
}

TEST(BatchSafeguardsTest, LeaseKeepsAFrozenOwnerFromWorkingAfterACancel) {
  EXPECT_FALSE(frozen_owner_works_after_cancel(true));
  EXPECT_TRUE(frozen_owner_works_after_cancel(false));
}

// A node with a valid lease that has missed the cancellation.
// @return whether it started items after the job was reported as cancelled.
bool unaware_node_works_after_cancel(bool cancel_checked) {
  BatchSafeguards safeguards;
  safeguards.cancel_checked_at_commit = cancel_checked;
  BatchCluster cluster(with(safeguards));
  const std::string first = cluster.submit(0, job_lines("first", 200));
  EXPECT_TRUE(cluster.run_until(0, first, "completed", seconds(20)));
  for (size_t node = 0; node < 3; ++node) {
    cluster.set_slots(node, 0);
  }
  const std::string job = cluster.submit(1, job_lines("item", 200, 20));
  cluster.run_for(seconds(3));
  cluster.freeze(0);
  cluster.wait(*cluster.send(1, "POST", "/v1/batches/" + job + "/cancel"));
  EXPECT_TRUE(cluster.run_until(1, job, "cancelled", seconds(10)));
  const size_t started = cluster.worker_log().started.size();
  cluster.set_slots(0, 8);
  cluster.thaw(0);
  cluster.run_for(minutes(1));
  return cluster.worker_log().started.size() != started;
}

TEST(BatchSafeguardsTest, CancelIsCheckedWhenAChunkIsClaimed) {
  EXPECT_FALSE(unaware_node_works_after_cancel(true));
  EXPECT_TRUE(unaware_node_works_after_cancel(false));
}

// @return whether a resubmission created a second job.
bool resend_makes_a_second_job(bool idempotency_checked) {
  BatchSafeguards safeguards;
  safeguards.idempotency_checked = idempotency_checked;
  BatchCluster cluster(with(safeguards));
  const HttpHeaders key = {{"Idempotency-Key", "key"}};
  const std::string job = cluster.submit(0, job_lines("item", 20), key);
  return cluster.submit(1, job_lines("item", 20), key) != job;
}

TEST(BatchSafeguardsTest, IdempotencyRowKeepsAResendFromMakingASecondJob) {
  EXPECT_FALSE(resend_makes_a_second_job(true));
  EXPECT_TRUE(resend_makes_a_second_job(false));
}

// @return whether a committed submission was reported as not run.
bool rejected_submission_runs(bool read_back) {
  BatchSafeguards safeguards;
  safeguards.read_back_lost_commits = read_back;
  BatchCluster cluster(with(safeguards));
  const auto answer = cluster.send(0, "POST", "/v1/batches", job_lines("item", 20));
  while (cluster.platform().objects().empty()) {
    cluster.run_for(Duration(100));
  }
  cluster.platform().table_service().faults.lost_answer_probability = 1;
  cluster.wait(*answer, minutes(2));
  cluster.platform().table_service().faults.lost_answer_probability = 0;
  cluster.run_for(seconds(20));
  const bool said_not_run = answer->body.find("\"ran\":\"no\"") != std::string::npos;
  return said_not_run && !cluster.worker_log().started.empty();
}

TEST(BatchSafeguardsTest, LostCommitAnswerIsNeverReportedAsNotRun) {
  EXPECT_FALSE(rejected_submission_runs(true));
  EXPECT_TRUE(rejected_submission_runs(false));
}

// @return whether an acknowledged job is lost with the node that acknowledged it.
bool acknowledged_job_is_lost(bool acknowledge_after_commit) {
  BatchSafeguards safeguards;
  safeguards.acknowledge_after_commit = acknowledge_after_commit;
  BatchCluster cluster(with(safeguards));
  const auto answer = cluster.send(0, "POST", "/v1/batches", job_lines("item", 20));
  while (!answer->finished) {
    cluster.run_for(Duration(100));
  }
  cluster.kill(0);
  const std::string job = nlohmann::json::parse(answer->body).value("id", "");
  return !cluster.run_until(1, job, "completed", minutes(1));
}

TEST(BatchSafeguardsTest, AcknowledgedJobOutlivesTheNodeThatAcceptedIt) {
  EXPECT_FALSE(acknowledged_job_is_lost(true));
  EXPECT_TRUE(acknowledged_job_is_lost(false));
}

}  // namespace
}  // namespace chalkshed
