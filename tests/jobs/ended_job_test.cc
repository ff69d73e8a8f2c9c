// Guards against items of a batch job that start at workers seconds after the end of the job was
// acknowledged. One node owns the job, another writes and acknowledges its end, and the owner,
// whose calls to the store are answered late or not at all, starts further items from its stale
// view. This happened because an owner could start runs from a view of any age and was not notified
// of the end: in the logs of two nodes the owner started eight runs between 0.1 and 2.9 s after the
// other node had answered the caller.
#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/jobs/ended_job_fixture.h"

namespace chalkshed {
namespace {

class EndedJobTest : public EndedJobFixture {};

// The store answers the node that ends the job but not its owner, which still receives heartbeats.
TEST_F(EndedJobTest, AnOwnerCutOffFromTheStoreStartsNoItemOfAnEndedJob) {
  ServingCluster cluster(3);
  start_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_started_after_bound(cluster, acknowledged), 0U);
}

// The same, and no peer reaches the owner either: it starts nothing from a view that is seconds
// old.
TEST_F(EndedJobTest, AnOwnerThatIsNotNotifiedOfTheEndStartsNothingFromAStaleView) {
  ServingCluster cluster(3);
  start_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.peers_answer = false;
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_started_after_bound(cluster, acknowledged), 0U);
}

// The node that writes the end notifies the owner before it answers the caller.
TEST_F(EndedJobTest, AnOwnerKnowsOfTheEndWhenItIsAcknowledged) {
  ServingCluster cluster(3);
  start_job(cluster);
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

// An owner that has crashed does not delay the answer to the caller.
TEST_F(EndedJobTest, AnEndIsAcknowledgedThoughTheOwnerCannotBeReached) {
  ServingCluster cluster(3);
  start_job(cluster);
  cluster.peers_answer = false;
  const MonotonicTime asked = cluster.clock.monotonic_now();
  EXPECT_LE(end_job(cluster, "n1") - asked, milliseconds(500));
}

// The owner is cut off from the store and from all peers, which may still reach the store and end
// the job.
TEST_F(EndedJobTest, AnIsolatedOwnerStartsNothingFromAStaleView) {
  ServingCluster cluster(3);
  start_job(cluster);
  cluster.nodes.at("n0")->store.set_cut(true);
  cluster.hub.cut.insert(cluster.nodes.at("n0")->address);
  cluster.peers_answer = false;
  cluster.clock.run_for(milliseconds(100));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_started_after_bound(cluster, acknowledged), 0U);
}

// The store answers all nodes, but over a second late.
TEST_F(EndedJobTest, AnOwnerWithASlowStoreStartsNoItemOfAnEndedJob) {
  ServingCluster cluster(60, 4);
  start_job(cluster);
  for (const auto& [name, node] : cluster.nodes) {
    node->store.set_delay(milliseconds(1200));
  }
  cluster.clock.run_for(milliseconds(1500));
  const MonotonicTime acknowledged = end_job(cluster, "n1");
  EXPECT_EQ(items_started_after_bound(cluster, acknowledged), 0U);
}

// The store delivers no changes to its followers but answers all other calls: a rejected checkpoint
// shows the owner that the record of its job has changed.
TEST_F(EndedJobTest, ARefusedCheckpointReportsTheEndToTheOwner) {
  ServingCluster cluster(3);
  cluster.answer_all(200, milliseconds(50));  // items that run for ten seconds
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 4), [&](const Expected<std::monostate>& result) { accepted = result; });
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

// A caller that got no answer to its submission ends the job. No node has the job yet, because the
// store applies the write later. The ended job must not run.
TEST_F(EndedJobTest, AJobThatIsStoredAfterItsEndDoesNotRun) {
  ServingCluster cluster(3);
  cluster.answer_all(5, milliseconds(50));
  cluster.shared.trouble.lose_commits = true;
  cluster.shared.trouble.late_commits = seconds(2);
  cluster.node("n0").jobs().submit(cluster.job("j1", 10), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(milliseconds(50));
  cluster.shared.trouble = StoreTrouble();
  std::optional<Expected<std::monostate>> ended;
  cluster.node("n1").jobs().end("j1",
                                [&](const Expected<std::monostate>& result) { ended = result; });
  cluster.clock.run_for(milliseconds(200));
  ASSERT_TRUE(ended);
  EXPECT_TRUE(*ended || ended->error().kind == ErrorKind::kNotFound);
  cluster.clock.run_for(seconds(12));
  EXPECT_EQ(cluster.workers.calls.size(), 0U);
}

// Batch jobs continue while the store answers no node: no node can have acknowledged an end.
TEST_F(EndedJobTest, ItemsStartWhileTheStoreIsDownForAll) {
  ServingCluster cluster(3);
  start_job(cluster);
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(5));
  const size_t before = cluster.workers.calls.size();
  cluster.clock.run_for(seconds(2));
  EXPECT_GT(cluster.workers.calls.size(), before);
}

// Without changes the store delays its answers (long polling): that alone must not stop a job.
TEST_F(EndedJobTest, ItemsStartWhileNothingElseHappens) {
  ServingCluster cluster(3);
  cluster.answer_all(40, milliseconds(100));  // four seconds an item
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 40), [&](const Expected<std::monostate>& result) { accepted = result; });
  cluster.clock.run_for(seconds(30));
  ASSERT_TRUE(accepted && *accepted);
  EXPECT_EQ(cluster.workers.calls.size(), 40U);
}

// All workers are busy and nothing changes, so that the store delays its answers. When a slot is
// freed, the owner's view of its jobs must still be recent enough to use it.
TEST_F(EndedJobTest, AnItemThatWaitedWithoutStoreChangesStartsAsSoonAsAWorkerIsFree) {
  ServingCluster cluster(3, 1);
  for (int number = 0; number < 4; ++number) {
    cluster.request("/fixed/x", "r" + std::to_string(number));
  }
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 1), [&](const Expected<std::monostate>& result) { accepted = result; });
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

// The record was removed, or the store was emptied while nodes run: the job has no owner any more.
TEST_F(EndedJobTest, AJobWhoseRecordWasRemovedDoesNoMoreWork) {
  ServingCluster cluster(3);
  cluster.answer_all(200, milliseconds(50));
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(
      cluster.job("j1", 4), [&](const Expected<std::monostate>& result) { accepted = result; });
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
