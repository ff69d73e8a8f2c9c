// End-to-end tests of jobs (submission, execution, completion, output) and of invalid input.
#include "src/batch/batch_service.h"

#include <gtest/gtest.h>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(BatchServiceTest, RunsAJobOnSeveralNodes) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", 200));
  EXPECT_TRUE(cluster.run_until(1, job, "completed", seconds(20)));
  expect_complete(cluster.output(2, job), "item", 200);
  EXPECT_EQ(cluster.worker_log().completions.size(), 200U);
  for (const auto& [prompt, count] : cluster.worker_log().completions) {
    EXPECT_EQ(count, 1U) << prompt;
  }
}

TEST(BatchServiceTest, ResendFindsTheSameJobAndAnotherBodyConflicts) {
  BatchCluster cluster({});
  const HttpHeaders key = {{"Idempotency-Key", "night"}};
  const std::string job = cluster.submit(0, job_lines("item", 20), key);
  EXPECT_EQ(cluster.submit(1, job_lines("item", 20), key), job);
  const auto other = cluster.send(2, "POST", "/v1/batches", job_lines("other", 20), key);
  cluster.wait(*other);
  EXPECT_EQ(other->status, 409);
  EXPECT_NE(other->body.find("\"ran\":\"no\""), std::string::npos) << other->body;
}

TEST(BatchServiceTest, BadLineRefusesTheWholeJobWithItsNumber) {
  BatchCluster cluster({});
  const std::string lines = job_lines("item", 2) + "{\"custom_id\": 7}\n" + job_lines("more", 2);
  const auto answer = cluster.send(0, "POST", "/v1/batches", lines);
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 400);
  EXPECT_NE(answer->body.find("line 3"), std::string::npos) << answer->body;
  cluster.run_for(seconds(5));
  EXPECT_TRUE(cluster.worker_log().started.empty());
}

TEST(BatchServiceTest, DeeplyNestedLineIsRefusedAndDoesNotOverflowTheStack) {
  constexpr size_t kDepth = 400'000;
  BatchCluster cluster({});
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string line =
      R"({"custom_id":"deep","method":"POST","url":"/v1/completions","body":{"model":"small",)"
      R"("prompt":"x","extra":)" +
      nested + "}}\n";
  const auto answer = cluster.send(0, "POST", "/v1/batches", job_lines("item", 1) + line);
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 400);
  EXPECT_NE(answer->body.find("line 2"), std::string::npos) << answer->body;
}

TEST(BatchServiceTest, DuplicateCustomIdIsRefused) {
  BatchCluster cluster({});
  const auto answer =
      cluster.send(0, "POST", "/v1/batches", job_lines("item", 1) + job_lines("item", 1));
  cluster.wait(*answer);
  EXPECT_EQ(answer->status, 400);
  EXPECT_NE(answer->body.find("line 2"), std::string::npos) << answer->body;
}

TEST(BatchServiceTest, UnknownModelFailsItsItemAlone) {
  BatchCluster cluster({});
  std::string lines = job_lines("item", 2);
  lines += R"({"custom_id":"odd","method":"POST","url":"/v1/completions",)"
           R"("body":{"model":"absent","prompt":"x"}})";
  const std::string job = cluster.submit(0, lines);
  EXPECT_TRUE(cluster.run_until(0, job, "completed", seconds(10)));
  const std::vector<std::string> output = cluster.output(0, job);
  ASSERT_EQ(output.size(), 3U);
  EXPECT_NE(output[2].find("unknown_model"), std::string::npos) << output[2];
  EXPECT_NE(output[1].find("\"error\":null"), std::string::npos) << output[1];
}

TEST(BatchServiceTest, TenantsSeeOnlyTheirOwnJobs) {
  BatchCluster cluster({});
  cluster.add_tenant("first", 1);
  cluster.add_tenant("second", 1);
  const HttpHeaders first = {{"Authorization", "Bearer key-first"}};
  const HttpHeaders second = {{"Authorization", "Bearer key-second"}};
  const std::string job = cluster.submit(0, job_lines("item", 2), first);
  const auto own = cluster.send(1, "GET", "/v1/batches", "", first);
  const auto foreign_list = cluster.send(1, "GET", "/v1/batches", "", second);
  const auto foreign = cluster.send(1, "GET", "/v1/batches/" + job, "", second);
  const auto stolen = cluster.send(1, "POST", "/v1/batches/" + job + "/cancel", "", second);
  const auto nobody = cluster.send(1, "GET", "/v1/batches/" + job);
  cluster.run_for(seconds(1));
  EXPECT_NE(own->body.find(job), std::string::npos);
  EXPECT_EQ(foreign_list->body.find(job), std::string::npos);
  EXPECT_EQ(foreign->status, 404);
  EXPECT_EQ(stolen->status, 404);
  EXPECT_EQ(nobody->status, 401);
}

TEST(BatchServiceTest, OutputIsReadInPages) {
  BatchCluster cluster({});
  const std::string job = cluster.submit(0, job_lines("item", 100));
  ASSERT_TRUE(cluster.run_until(0, job, "completed", seconds(20)));
  const auto page = cluster.send(1, "GET", "/v1/batches/" + job + "/output?after=30&limit=20");
  cluster.wait(*page);
  EXPECT_EQ(std::count(page->body.begin(), page->body.end(), '\n'), 20);
  EXPECT_NE(page->body.find("\"item30\""), std::string::npos);
  EXPECT_NE(page->body.find("\"item49\""), std::string::npos);
  EXPECT_EQ(page->body.find("\"item50\""), std::string::npos);
  EXPECT_EQ(find_header(page->headers, "X-Chalkshed-Next-After").value_or(""), "50");
}

TEST(BatchServiceTest, RevokedItemsGoOnFromTheirLastToken) {
  BatchCluster::Options options;
  options.nodes = 1;
  BatchCluster cluster(options);
  const std::string job = cluster.submit(0, job_lines("item", 8, 40));
  cluster.run_for(milliseconds(80));
  cluster.revoke_slots(0);
  cluster.run_for(milliseconds(50));
  EXPECT_TRUE(cluster.run_until(0, job, "completed", seconds(10)));
  expect_complete(cluster.output(0, job), "item", 8, 40);
}

TEST(BatchServiceTest, BrokenStreamsAreRetried) {
  BatchCluster cluster({});
  cluster.worker_log().injected_failures["item3"] = 4;
  const std::string job = cluster.submit(0, job_lines("item", 20));
  EXPECT_TRUE(cluster.run_until(0, job, "completed", seconds(30)));
  expect_complete(cluster.output(0, job), "item", 20);
}

TEST(BatchServiceTest, NodeAcceptsNoMoreBytesAtATimeThanItsLimit) {
  BatchCluster::Options options;
  options.knobs.max_accepting_bytes = 50'000;
  BatchCluster cluster(options);
  const auto first = cluster.send(0, "POST", "/v1/batches", job_lines("first", 400));
  const auto second = cluster.send(0, "POST", "/v1/batches", job_lines("second", 400));
  cluster.wait(*first);
  cluster.wait(*second);
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(second->status, 503);
  EXPECT_NE(second->body.find("\"ran\":\"no\""), std::string::npos) << second->body;
  cluster.submit(0, job_lines("second", 400));
}

// The number of lines parsed per event loop iteration is independent of the job size.
TEST(BatchServiceTest, LargeJobIsParsedInSlices) {
  BatchCluster::Options options;
  options.nodes = 1;
  options.slots = 0;
  BatchCluster cluster(options);
  constexpr uint32_t kItems = 61'000;
  const uint64_t before = cluster.posts(0);
  const std::string job = cluster.submit(0, job_lines("item", kItems));
  EXPECT_FALSE(job.empty());
  EXPECT_GE(cluster.posts(0) - before, kItems / options.knobs.parse_lines_per_turn - 1);
}

}  // namespace
}  // namespace chalkshed
