// What entries of workers do to the workers that a node uses, over starts and foreign entries.
#include "src/serving/worker_watch.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

nlohmann::json entry_of(size_t number, int64_t born) {
  return {{"service", "engines"}, {"address", "10.1.0." + std::to_string(number) + ":80"},
          {"zone", "zone-a"},     {"slots", 4},
          {"state", "ready"},     {"born", born}};
}

class WorkerWatchTest : public testing::Test {
 protected:
  void put(const std::string& id, const std::optional<std::string>& entry) {
    cluster.put("servers", id, entry);
    cluster.clock.run_for(milliseconds(200));
  }
  WorkerPtr worker(const std::string& id) { return cluster.node().workers().find(id); }

  ServingCluster cluster{1, 0};
};

TEST_F(WorkerWatchTest, AWorkerThatStartsAgainUnderItsIdIsKnownByNothingOfBefore) {
  put("i-0", entry_of(0, 1000).dump());
  const WorkerPtr before = worker("i-0");
  ASSERT_TRUE(before);
  WorkerSet& workers = cluster.node().workers();
  workers.note_failure(*before, cluster.clock.monotonic_now());
  workers.note_report(*before, {4, 9, 4});
  workers.add_peer_load(before->hash, 3, 1);
  workers.add_prompt_tokens(before->hash, 100000);
  workers.note_replaced(*before);
  ASSERT_TRUE(before->outcomes.suspect(cluster.clock.monotonic_now()));
  put("i-0", entry_of(0, 5000).dump());
  const WorkerPtr after = worker("i-0");
  ASSERT_TRUE(after);
  EXPECT_NE(after->hash, before->hash);
  EXPECT_FALSE(after->outcomes.suspect(cluster.clock.monotonic_now()));
  EXPECT_FALSE(after->report);
  EXPECT_FALSE(after->replaced);
  EXPECT_EQ(workers.load_of(*after), 0U);
  EXPECT_EQ(workers.prefill_backlog(*after), Duration(0));
  EXPECT_EQ(workers.free_slots("engines"), 4U);
  // What peers tell of the start before is not counted for this one.
  EXPECT_FALSE(workers.add_peer_load(before->hash, 1, 0));
}

TEST_F(WorkerWatchTest, RunsThatTheOldStartHadFreeNoPlacesOfTheNewOne) {
  put("i-0", entry_of(0, 1000).dump());
  const SeenAnswerPtr answer = cluster.request("/fixed/1");
  ASSERT_EQ(worker("i-0")->online_in_flight, 1U);
  put("i-0", entry_of(0, 5000).dump());
  EXPECT_EQ(worker("i-0")->online_in_flight, 0U);
  cluster.workers.calls.back().fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(100));
  EXPECT_TRUE(answer->aborted || answer->finished);
  EXPECT_EQ(worker("i-0")->online_in_flight, 0U);
  EXPECT_EQ(cluster.node().workers().free_slots("engines"), 4U);
}

TEST_F(WorkerWatchTest, AnUnreadableEntryNamesNoWorkerToUseAndTheOthersHold) {
  const std::vector<std::string> unreadable = {"",
                                               "{}",
                                               "null",
                                               std::string("\xff\x00{", 3),
                                               R"({"service": "engines"})",
                                               entry_of(0, 1000).dump().substr(0, 40)};
  for (const std::string& entry : unreadable) {
    put("i-0", entry_of(0, 1000).dump());
    put("i-1", entry_of(1, 1000).dump());
    put("i-0", entry);
    for (int request = 0; request < 4; ++request) {
      cluster.request("/plain/1", "r" + std::to_string(request));
      ASSERT_FALSE(cluster.workers.calls.empty());
      EXPECT_EQ(cluster.workers.calls.back().worker.ip, "10.1.0.1") << entry;
    }
    put("i-1", std::nullopt);
    // Not even when no other is left.
    const size_t calls = cluster.workers.calls.size();
    cluster.request("/plain/1", "last");
    cluster.clock.run_for(seconds(1));
    for (auto call = std::next(cluster.workers.calls.begin(), static_cast<ptrdiff_t>(calls));
         call != cluster.workers.calls.end(); ++call) {
      EXPECT_NE(call->worker.ip, "10.1.0.0") << entry;
    }
  }
}

TEST_F(WorkerWatchTest, AWorkerWhoseEntryCanBeReadAgainIsUsedAgain) {
  put("i-0", entry_of(0, 1000).dump());
  put("i-0", "{}");
  put("i-0", entry_of(0, 1000).dump());
  cluster.request("/plain/1");
  ASSERT_FALSE(cluster.workers.calls.empty());
  EXPECT_EQ(cluster.workers.calls.back().worker.ip, "10.1.0.0");
}

}  // namespace
}  // namespace chalkshed
