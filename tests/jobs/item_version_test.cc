#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Two nodes; an item's text was begun by version 1, beside which version 2 serves.
class ItemVersionTest : public testing::Test {
 protected:
  ItemVersionTest() {
    write("old-0", 0, "1");
    write("old-1", 1, "1");
    cluster.start_node("n0");
    cluster.start_node("n1");
    cluster.clock.run_for(service_versions::kMemory + seconds(5));
    cluster.node("n0").jobs().submit(cluster.job("j1", 1), [](const Expected<std::monostate>&) {});
    cluster.clock.run_for(seconds(1));
  }
  void write(const std::string& id, size_t number, const std::string& version,
             const std::string& state = "ready") {
    cluster.write_worker(id, number, state, 4, version);
  }
  void release() {
    constexpr size_t kWorkers = 6;
    for (size_t number = 0; number < kWorkers; ++number) {
      write("new-" + std::to_string(number), 10 + number, "2");
    }
    cluster.clock.run_for(milliseconds(300));
  }
  ScriptedCall& last() { return cluster.workers.calls.back(); }
  size_t sends() const { return cluster.workers.calls.size(); }
  std::string last_worker() { return last().header(platform::kExpectInstance); }
  // The item's worker sends its first event, which a checkpoint then contains.
  void begin_text() {
    ASSERT_EQ(sends(), 1U);
    last().begin();
    last().event(1);
    cluster.clock.run_for(seconds(2));
    last().event(2);
  }
  // n0 is killed; the other node takes the job over and runs the item again.
  void run_at_next_owner() {
    cluster.kill_node("n0");
    cluster.clock.run_for(seconds(12));
    ASSERT_EQ(sends(), 2U);
  }
  void finish(uint64_t from, uint64_t to) {
    last().begin();
    for (uint64_t event = from; event <= to; ++event) {
      last().event(event);
    }
    last().end();
    cluster.clock.run_for(seconds(2));
  }
  // The texts that the job lists.
  std::vector<std::string> listed() {
    std::vector<std::string> texts;
    for (const StoredRow& row : cluster.shared.rows.read(job_result_range("j1", 0, 10)).rows) {
      texts.push_back(decode_job_result(row.value)->text);
    }
    return texts;
  }

  ServingCluster cluster{0, 0};
};

// Guards against: an item's text was continued by another software version than had begun it.
TEST_F(ItemVersionTest, AnItemWhoseOwnerDiesGoesOnAtTheVersionThatBeganIt) {
  begin_text();
  release();
  run_at_next_owner();
  EXPECT_TRUE(last_worker().starts_with("old")) << last_worker();
  EXPECT_EQ(last().header(platform::kLastEventId), "2");
  finish(3, 3);
  EXPECT_EQ(listed(), std::vector<std::string>{"d1\nd2\nd3"});
}

TEST_F(ItemVersionTest, AnItemWhoseWorkerCrashesGoesOnAtTheVersionThatBeganIt) {
  begin_text();
  release();
  last().fail(Ran::kUnknown);
  cluster.clock.run_for(seconds(2));
  ASSERT_EQ(sends(), 2U);
  EXPECT_TRUE(last_worker().starts_with("old")) << last_worker();
  EXPECT_EQ(last().header(platform::kLastEventId), "2");
}

TEST_F(ItemVersionTest, AnItemWhoseVersionIsGoneStartsOverAndIsListedOnce) {
  begin_text();
  release();
  write("old-0", 0, "1", "draining");
  cluster.put("servers", "old-1", std::nullopt);
  cluster.clock.run_for(milliseconds(300));
  last().fail(Ran::kUnknown);
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(sends(), 1U) << "a worker of its version may come back";
  cluster.clock.run_for(seconds(4));
  ASSERT_EQ(sends(), 2U);
  EXPECT_TRUE(last_worker().starts_with("new"));
  EXPECT_EQ(last().header(platform::kLastEventId), "");
  finish(1, 2);
  EXPECT_EQ(listed(), std::vector<std::string>{"d1\nd2"});
}

// A node of an older build records texts without their versions.
TEST_F(ItemVersionTest, AnItemOfUnknownOriginStartsOverWhileSeveralVersionsServe) {
  begin_text();
  release();
  StoreTransaction older;
  ItemProgress progress;
  progress.text = "of an older build";
  progress.last_event = 7;
  older.writes.push_back({job_progress_key("j1", "j1-0"), encode_item_progress(progress)});
  cluster.kill_node("n0");
  cluster.shared.rows.commit(older);
  cluster.clock.run_for(seconds(12));
  ASSERT_EQ(sends(), 2U);
  EXPECT_EQ(last().header(platform::kLastEventId), "");
  finish(1, 2);
  EXPECT_EQ(listed(), std::vector<std::string>{"d1\nd2"});
}

TEST_F(ItemVersionTest, AnItemOfUnknownOriginGoesOnIfOneVersionHasServedThroughout) {
  begin_text();
  StoreTransaction older;
  ItemProgress progress;
  progress.text = "of an older build";
  progress.last_event = 7;
  older.writes.push_back({job_progress_key("j1", "j1-0"), encode_item_progress(progress)});
  cluster.kill_node("n0");
  cluster.shared.rows.commit(older);
  cluster.clock.run_for(seconds(12));
  ASSERT_EQ(sends(), 2U);
  EXPECT_EQ(last().header(platform::kLastEventId), "7");
}

}  // namespace
}  // namespace chalkshed
