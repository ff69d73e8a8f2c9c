#include "src/jobs/job_service.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Reads all results of a job at a node.
std::vector<JobResult> read_all(ServingCluster& cluster, const std::string& node,
                                const std::string& job) {
  std::vector<JobResult> results;
  bool more = true;
  while (more) {
    std::optional<Expected<ResultPage>> page;
    cluster.node(node).jobs().read_results(job, static_cast<uint32_t>(results.size()), Duration(0),
                                           [&](const Expected<ResultPage>& read) { page = read; });
    cluster.clock.run_for(milliseconds(100));
    if (!page || !*page) {
      ADD_FAILURE() << "results cannot be read: "
                    << (page ? page->error().message : std::string("no answer"));
      return results;
    }
    more = !(*page)->results.empty();
    results.insert(results.end(), (*page)->results.begin(), (*page)->results.end());
  }
  return results;
}

bool submit(ServingCluster& cluster, const std::string& node, RequestJob submission) {
  std::optional<Expected<std::monostate>> accepted;
  cluster.node(node).jobs().submit(
      std::move(submission), [&](const Expected<std::monostate>& answer) { accepted = answer; });
  cluster.clock.run_for(milliseconds(50));
  return accepted && accepted->has_value();
}

TEST(JobServiceTest, EveryItemCompletesOnceWithItsWholeText) {
  ServingCluster cluster(2);
  cluster.answer_all(3, milliseconds(20));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 10)));
  cluster.clock.run_for(seconds(5));
  for (const char* node : {"n0", "n1"}) {
    const std::vector<JobResult> results = read_all(cluster, node, "j1");
    ASSERT_EQ(results.size(), 10U);
    std::set<std::string> ids;
    for (const JobResult& result : results) {
      EXPECT_EQ(result.state, ItemState::kCompleted);
      EXPECT_EQ(result.text, "d1\nd2\nd3");
      ids.insert(result.item);
    }
    EXPECT_EQ(ids.size(), 10U);
  }
}

TEST(JobServiceTest, AReadThatWaitsIsAnsweredUponTheNextCommitOrAfterItsTime) {
  ServingCluster cluster(1);
  cluster.answer_all(3, milliseconds(400));
  ASSERT_TRUE(submit(cluster, "n0", cluster.job("j1", 1)));
  size_t answers = 0;
  size_t results = 0;
  const auto read = [&] {
    cluster.node().jobs().read_results("j1", 0, seconds(1), [&](const Expected<ResultPage>& page) {
      ++answers;
      results += page ? page->results.size() : 0;
    });
  };
  read();
  cluster.clock.run_for(milliseconds(1100));
  EXPECT_EQ(answers, 1U);
  EXPECT_EQ(results, 0U);
  read();
  cluster.clock.run_for(milliseconds(2000));
  EXPECT_EQ(answers, 2U);
  EXPECT_EQ(results, 1U);
}

}  // namespace
}  // namespace chalkshed
