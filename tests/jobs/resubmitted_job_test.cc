/** \file
 * Guards against a job that runs items other than the stored ones. A job can be submitted twice
 * with one id and different contents while the answer to the first write is lost; the next owner,
 * and callers who read an item's body, get the stored content. */

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr const char* kFirst = "as stored";
constexpr const char* kSecond = "as sent again";

RequestJob job_of(const std::string& body) {
  RequestJob job;
  job.id = "j1";
  job.host = "a.example";
  job.path = "/batch/j";
  job.content =
      nlohmann::json{
          {"requests", {{{"id", "a"}, {"path", "/batch/x"}, {"body", encode_base64(body)}}}}}
          .dump();
  job.items = *job_wire().decode_items(job.host, job.content);
  return job;
}

TEST(ResubmittedJob, RunsTheStoredItemsWhenTheAnswerToTheFirstWriteIsLost) {
  ServingCluster cluster(2);
  cluster.answer_all(3, milliseconds(50));
  const auto ignore = [](const Expected<std::monostate>&) {};
  cluster.shared.trouble.lose_commits = true;
  cluster.shared.trouble.hold_changes = true;
  cluster.peers_answer = false;
  cluster.node().jobs().submit(job_of(kFirst), ignore);
  cluster.clock.run_for(milliseconds(30));
  cluster.shared.trouble.lose_commits = false;
  cluster.node().jobs().submit(job_of(kSecond), ignore);
  cluster.clock.run_for(milliseconds(100));
  cluster.shared.trouble = StoreTrouble();
  cluster.shared.wake_followers();
  cluster.clock.run_for(seconds(5));
  const RangePage stored = cluster.shared.rows.read(job_content_range("j1", 0));
  ASSERT_EQ(stored.rows.size(), 1U);
  ASSERT_EQ(stored.rows.front().value, job_of(kFirst).content);
  ASSERT_FALSE(cluster.workers.calls.empty());
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_EQ(call.request.body, kFirst);
  }
  EXPECT_FALSE(cluster.node().jobs().owns_open_jobs());
}

}  // namespace
}  // namespace chalkshed
