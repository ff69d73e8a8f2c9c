// Jobs under faults: lost owners, expired leases, lost responses, cancellation, store outages.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kItems = 200;
constexpr uint32_t kTokens = 20;

// @return the time of the last generated token of any item.
MonotonicTime last_work(const WorkerLog& worker_log) {
  MonotonicTime last{};
  for (const auto& [prompt, time] : worker_log.last_token) {
    last = std::max(last, time);
  }
  return last;
}

TEST(BatchFaultsTest, ChunksOfAKilledOwnerAreTakenOver) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  cluster.run_for(milliseconds(300));
  cluster.kill(0);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(2)));
  expect_complete(cluster.output(1, job), "item", kItems, kTokens);
}

TEST(BatchFaultsTest, AllNodesMayBeReplaced) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  for (size_t node = 0; node < 3; ++node) {
    cluster.run_for(milliseconds(200));
    cluster.kill(node);
    cluster.restart(node);
  }
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(2)));
  expect_complete(cluster.output(1, job), "item", kItems, kTokens);
}

TEST(BatchFaultsTest, FrozenOwnerChangesNothingAfterItsLease) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  cluster.run_for(milliseconds(300));
  cluster.freeze(0);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(2)));
  const auto before = cluster.output(1, job);
  const size_t started = cluster.worker_log().started.size();
  cluster.thaw(0);
  cluster.run_for(minutes(1));
  expect_complete(before, "item", kItems, kTokens);
  EXPECT_EQ(cluster.output(1, job), before);
  EXPECT_EQ(cluster.worker_log().started.size(), started) << "the thawed owner started items";
}

TEST(BatchFaultsTest, LostCommitAnswersAreResolved) {
  BatchCluster::Options options;
  options.seed = 7;
  BatchCluster cluster(options);
  cluster.platform().table_service().faults.lost_answer_probability = 0.3;
  cluster.platform().object_service().faults.lost_answer_probability = 0.2;
  std::string job;
  for (int attempt = 0; attempt < 10 && job.empty(); ++attempt) {
    const auto answer =
        cluster.send(static_cast<size_t>(attempt % 3), "POST", "/v1/batches",
                     job_lines("item", kItems, kTokens), {{"Idempotency-Key", "key"}});
    cluster.wait(*answer, minutes(2));
    if (answer->status == 200) {
      job = nlohmann::json::parse(answer->body).at("id");
    }
  }
  ASSERT_FALSE(job.empty());
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(10)));
  cluster.platform().table_service().faults.lost_answer_probability = 0;
  cluster.platform().object_service().faults.lost_answer_probability = 0;
  expect_complete(cluster.output(1, job), "item", kItems, kTokens);
  const auto list = cluster.send(0, "GET", "/v1/batches");
  cluster.wait(*list);
  EXPECT_EQ(nlohmann::json::parse(list->body).at("data").size(), 1U);
}

TEST(BatchFaultsTest, ResendAfterALostAcknowledgementFindsTheJob) {
  BatchCluster cluster({});
  const HttpHeaders key = {{"Idempotency-Key", "key"}};
  const auto lost = cluster.send(0, "POST", "/v1/batches", job_lines("item", 20), key);
  // The node fails right after its commit has succeeded.
  while (cluster.platform().table().size() == 0) {
    cluster.run_for(Duration(100));
  }
  cluster.kill(0);
  EXPECT_EQ(lost->status, 0);
  const std::string job = cluster.submit(1, job_lines("item", 20), key);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", seconds(30)));
  expect_complete(cluster.output(1, job), "item", 20);
  EXPECT_EQ(cluster.worker_log().completions.size(), 20U);
  for (const auto& [prompt, count] : cluster.worker_log().completions) {
    EXPECT_EQ(count, 1U) << prompt;
  }
}

TEST(BatchFaultsTest, CancelledJobStopsBeforeItIsReportedCancelled) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  cluster.run_for(milliseconds(300));
  const auto answer = cluster.send(1, "POST", "/v1/batches/" + job + "/cancel");
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(cluster.status(2, job), "cancelling");
  EXPECT_TRUE(cluster.run_until(2, job, "cancelled", seconds(20)));
  const size_t started = cluster.worker_log().started.size();
  const MonotonicTime reported = cluster.clock().monotonic_now();
  EXPECT_LT(started, kItems);
  cluster.run_for(minutes(1));
  EXPECT_EQ(cluster.worker_log().started.size(), started);
  EXPECT_LT(last_work(cluster.worker_log()), reported);
}

TEST(BatchFaultsTest, CutOffOwnerHasStoppedWhenTheJobIsReportedCancelled) {
  BatchCluster cluster({});
  // Items that run longer than any lease, so that only the time limit can end them.
  const std::string job = cluster.submit(0, job_lines("item", kItems, 20'000));
  cluster.run_for(seconds(2));
  cluster.freeze(0);
  cluster.set_store_unreachable(1, true);
  const auto answer = cluster.send(2, "POST", "/v1/batches/" + job + "/cancel");
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 200);
  cluster.run_for(seconds(3));
  EXPECT_EQ(cluster.status(2, job), "cancelling");
  EXPECT_TRUE(cluster.run_until(2, job, "cancelled", minutes(2)));
  const MonotonicTime reported = cluster.clock().monotonic_now();
  const size_t started = cluster.worker_log().started.size();
  cluster.thaw(0);
  cluster.set_store_unreachable(1, false);
  cluster.run_for(minutes(1));
  EXPECT_EQ(cluster.worker_log().started.size(), started);
  EXPECT_LT(last_work(cluster.worker_log()), reported);
}

TEST(BatchFaultsTest, CompletedJobCannotBeCancelled) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", 5));
  EXPECT_TRUE(cluster.run_until(0, job, "completed", seconds(10)));
  const auto answer = cluster.send(1, "POST", "/v1/batches/" + job + "/cancel");
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 409);
  expect_complete(cluster.output(2, job), "item", 5);
}

TEST(BatchFaultsTest, StoreOutageOfAMinuteLosesNothing) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  cluster.run_for(milliseconds(300));
  cluster.platform().table_service().faults.outage = true;
  cluster.platform().object_service().faults.outage = true;
  cluster.run_for(seconds(30));
  const auto refused = cluster.send(1, "POST", "/v1/batches", job_lines("late", 5));
  cluster.wait(*refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_NE(refused->body.find("\"ran\":\"no\""), std::string::npos) << refused->body;
  const uint64_t refusals = cluster.platform().table_service().counters.refused;
  cluster.run_for(seconds(30));
  // With backoff, each of the three nodes makes at most a few attempts per second.
  EXPECT_LT(cluster.platform().table_service().counters.refused - refusals, 300U);
  cluster.platform().table_service().faults.outage = false;
  cluster.platform().object_service().faults.outage = false;
  EXPECT_TRUE(cluster.run_until(2, job, "completed", minutes(2)));
  expect_complete(cluster.output(2, job), "item", kItems, kTokens);
}

TEST(BatchFaultsTest, DrainedNodeHandsItsChunksOver) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", kItems, kTokens));
  cluster.run_for(milliseconds(300));
  bool drained = false;
  cluster.service(0).drain([&drained] { drained = true; });
  cluster.run_for(seconds(30));
  EXPECT_TRUE(drained);
  EXPECT_EQ(cluster.service(0).runner().chunks_held(), 0U);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", seconds(30)));
  expect_complete(cluster.output(1, job), "item", kItems, kTokens);
}

}  // namespace
}  // namespace chalkshed
