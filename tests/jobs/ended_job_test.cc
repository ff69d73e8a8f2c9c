// What users saw: model workers began items of batch jobs seconds after the end of the job had been
// acknowledged, thousands of them on real processes and none in virtual time. The order of events:
// a job is owned by one node; its end is written and acknowledged by another; the owner, whose
// questions to the store were answered late or not at all, starts further items by what it knew
// before. Cause: the owner's right to start a run rested on a view of the jobs of any age, and
// nobody told it of the end. Evidence: logs of two real nodes, where the owner starts eight runs
// between 0.1 and 2.9 s after the other has answered the caller, and these tests.
#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/jobs/ended_job_fixture.h"

namespace chalkshed {
namespace {

class EndedJobTest : public EndedJobFixture {};

// The store serves the node that ends the job and says nothing to its owner, which hears its peers
// all the time.
TEST_F(EndedJobTest, AnOwnerThatTheStoreTellsNothingStartsNothingOfAnEndedJob) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_begun_beyond_bound(cluster, acknowledged), 0U);
}

// The same, and no peer reaches the owner either: it starts nothing by a view that is seconds old.
TEST_F(EndedJobTest, AnOwnerThatNobodyTellsOfTheEndStartsNothingByAnOldView) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.peers_answer = false;
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_begun_beyond_bound(cluster, acknowledged), 0U);
}

// The node that writes the end tells the owner before it answers the caller.
TEST_F(EndedJobTest, AnOwnerKnowsOfTheEndWhenItIsAcknowledged) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.clock.run_for(milliseconds(100));
  end_job(cluster, "n1");
  const size_t before = cluster.workers.calls.size();
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_FALSE(call.open());
  }
  cluster.clock.run_for(seconds(8));
  EXPECT_EQ(cluster.workers.calls.size(), before);
}

// An owner that has died does not keep the caller waiting.
TEST_F(EndedJobTest, AnEndIsAcknowledgedThoughTheOwnerCannotBeReached) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.peers_answer = false;
  const MonotonicTime asked = cluster.clock.monotonic_now();
  EXPECT_LE(end_job(cluster, "n1") - asked, milliseconds(500));
}

// Cut off from the store and from all peers: they may have it, and end the job.
TEST_F(EndedJobTest, AnOwnerThatHearsNobodyStartsNothingByAnOldView) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.hub.cut.insert(cluster.nodes.at("n0")->address);
  cluster.peers_answer = false;
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_begun_beyond_bound(cluster, acknowledged), 0U);
}

// The store answers everybody, a second late: slow, not down.
TEST_F(EndedJobTest, AnOwnerWhoseStoreIsSlowStartsNothingOfAnEndedJob) {
  ServingCluster cluster(60, 4);
  begin_job(cluster);
  for (const auto& [name, node] : cluster.nodes) {
    node->store.set_delay(milliseconds(1200));
  }
  cluster.clock.run_for(milliseconds(1500));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_begun_beyond_bound(cluster, acknowledged), 0U);
}

// The store's followers hear nothing though its other calls are answered: a refused record of what
// the items have brought tells the owner that its job has changed.
TEST_F(EndedJobTest, ARefusedCheckpointTellsTheOwnerOfTheEnd) {
  ServingCluster cluster(3);
  cluster.answer_all(200, milliseconds(50));  // items that run for ten seconds
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(cluster.job("j1", 4),
                                   [&](const Expected<std::monostate>& told) { accepted = told; });
  cluster.clock.run_for(milliseconds(600));
  ASSERT_TRUE(accepted && *accepted);
  cluster.shared.trouble.hold_changes = true;
  cluster.peers_answer = false;
  end_job(cluster, "n1");
  cluster.clock.run_for(kCancelBound);
  size_t open = 0;
  for (const ScriptedCall& call : cluster.workers.calls) {
    open += call.open() ? 1 : 0;
  }
  EXPECT_EQ(open, 0U);
}

// A caller that did not hear whether its job was taken ends it. No node has it yet: the write is
// done later. What was ended must not run.
TEST_F(EndedJobTest, AJobThatIsStoredAfterItsEndDoesNotRun) {
  ServingCluster cluster(3);
  cluster.answer_all(5, milliseconds(50));
  cluster.shared.trouble.lose_commits = true;
  cluster.shared.trouble.late_commits = seconds(2);
  cluster.node("n0").jobs().submit(cluster.job("j1", 10), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(milliseconds(50));
  cluster.shared.trouble = StoreTrouble();
  std::optional<Expected<std::monostate>> ended;
  cluster.node("n1").jobs().end("j1", [&](const Expected<std::monostate>& told) { ended = told; });
  cluster.clock.run_for(milliseconds(200));
  ASSERT_TRUE(ended);
  EXPECT_TRUE(*ended || ended->error().kind == ErrorKind::kNotFound);
  cluster.clock.run_for(seconds(12));
  EXPECT_EQ(cluster.workers.calls.size(), 0U);
}

// A batch goes on while the store answers nobody: nobody can have acknowledged an end.
TEST_F(EndedJobTest, ItemsStartWhileTheStoreIsDownForAll) {
  ServingCluster cluster(3);
  begin_job(cluster);
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(5));
  const size_t before = cluster.workers.calls.size();
  cluster.clock.run_for(seconds(2));
  EXPECT_GT(cluster.workers.calls.size(), before);
}

// With nothing new to tell the store holds its answers back: that alone must not stop a job.
TEST_F(EndedJobTest, ItemsStartWhileNothingElseHappens) {
  ServingCluster cluster(3);
  cluster.answer_all(40, milliseconds(100));  // four seconds an item
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(cluster.job("j1", 40),
                                   [&](const Expected<std::monostate>& told) { accepted = told; });
  cluster.clock.run_for(seconds(30));
  ASSERT_TRUE(accepted && *accepted);
  EXPECT_EQ(cluster.workers.calls.size(), 40U);
}

// All workers are busy and nothing changes, so that the store holds its answers back. When a place
// is free the owner still knows its jobs well enough to use it.
TEST_F(EndedJobTest, AnItemThatWaitedInAQuietTimeStartsAsSoonAsAWorkerIsFree) {
  ServingCluster cluster(3, 1);
  for (int number = 0; number < 4; ++number) {
    cluster.request("/fixed/x", "r" + std::to_string(number));
  }
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(cluster.job("j1", 1),
                                   [&](const Expected<std::monostate>& told) { accepted = told; });
  cluster.clock.run_for(milliseconds(4300));
  ASSERT_TRUE(accepted && *accepted);
  ASSERT_EQ(cluster.workers.calls.size(), 4U);
  for (ScriptedCall& call : cluster.workers.calls) {
    call.begin();
    call.event(1);
    call.end();
  }
  cluster.clock.run_for(milliseconds(600));
  EXPECT_EQ(cluster.workers.calls.size(), 5U);
}

// The store was emptied while nodes live, or the record was removed: nobody's job any more.
TEST_F(EndedJobTest, AJobWhoseRecordIsGoneDoesNoMoreWork) {
  ServingCluster cluster(3);
  cluster.answer_all(200, milliseconds(50));
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(cluster.job("j1", 4),
                                   [&](const Expected<std::monostate>& told) { accepted = told; });
  cluster.clock.run_for(milliseconds(600));
  ASSERT_TRUE(accepted && *accepted);
  StoreTransaction removal;
  removal.writes.push_back({stored_job_key("j1"), std::nullopt});
  cluster.shared.rows.commit(removal);
  cluster.shared.wake_followers();
  cluster.clock.run_for(kCancelBound);
  size_t open = 0;
  for (const ScriptedCall& call : cluster.workers.calls) {
    open += call.open() ? 1 : 0;
  }
  EXPECT_EQ(open, 0U);
}

}  // namespace
}  // namespace chalkshed
