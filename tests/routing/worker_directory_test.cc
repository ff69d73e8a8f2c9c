// Which workers exist and which are leaving: stale machine lists, drain marks and their races.
#include "tests/routing/routing_fixture.h"

namespace chalkshed {
namespace {

class WorkerDirectoryTest : public testing::Test {
 protected:
  void SetUp() override {
    world_.add_workers(4);
    for (const char* id : {"n1", "n2"}) {
      nodes_.push_back(std::make_unique<RoutingNode>(world_, id, knobs_, nodes_.size() + 1));
    }
    for (auto& node : nodes_) {
      node->router->start();
    }
    world_.clock.run_for(seconds(2));
  }
  bool leaving(size_t node, const WorkerId& id) {
    const WorkerHandle worker = nodes_[node]->router->directory().find(id);
    return worker == nullptr || worker->leaving();
  }
  EngineLoad report(uint64_t incarnation, bool is_leaving) {
    EngineLoad load;
    load.incarnation = incarnation;
    load.leaving = is_leaving;
    load.step_number = ++step_;
    return load;
  }
  void route_and_report(size_t node, const WorkerId& id, const EngineLoad& load) {
    std::vector<RoutedRequestPtr> open;
    for (int tries = 0; tries < 50; ++tries) {
      auto routed = nodes_[node]->route();
      ASSERT_TRUE(routed);
      if ((*routed)->worker() == id) {
        (*routed)->report_load(load);
        return;
      }
      open.push_back(std::move(*routed));
    }
    FAIL() << id << " was never chosen";
  }

  World world_;
  RoutingKnobs knobs_;
  std::vector<std::unique_ptr<RoutingNode>> nodes_;
  uint64_t step_ = 0;
};

TEST_F(WorkerDirectoryTest, AnOperatorsDrainReachesAllNodesAtOnceAndStopsNewWork) {
  EXPECT_GT(nodes_[1]->count_routed_to("w100"), 0);
  ASSERT_TRUE(nodes_[0]->router->drain("w100"));
  EXPECT_EQ(nodes_[0]->count_routed_to("w100"), 0);
  world_.clock.run_for(world_.hub.delay);
  EXPECT_EQ(nodes_[1]->count_routed_to("w100"), 0);
  world_.clock.run_for(seconds(10));  // the list still shows it as live
  EXPECT_EQ(nodes_[1]->count_routed_to("w100"), 0);
}

TEST_F(WorkerDirectoryTest, WithoutMarksADrainedWorkerStillGetsWork) {
  RoutingKnobs knobs;
  knobs.safeguards.drain_marks_respected = false;
  RoutingNode unguarded(world_, "n3", knobs);
  unguarded.router->start();
  world_.clock.run_for(seconds(2));
  ASSERT_TRUE(unguarded.router->drain("w100"));
  world_.clock.run_for(seconds(4));
  EXPECT_GT(unguarded.count_routed_to("w100"), 0);
}

TEST_F(WorkerDirectoryTest, OwnReportStopsNewWorkOnAllNodes) {
  route_and_report(0, "w101", report(1, true));
  EXPECT_EQ(nodes_[0]->count_routed_to("w101"), 0);
  world_.clock.run_for(world_.hub.delay);
  EXPECT_EQ(nodes_[1]->count_routed_to("w101"), 0);
}

TEST_F(WorkerDirectoryTest, LeavingInTheListAppliesWithinThreeSecondsAndAStaleListDoesNotClearIt) {
  world_.machines.at(2).state = MachineState::kLeaving;
  world_.clock.run_for(seconds(3));
  EXPECT_TRUE(leaving(0, "w102"));
  EXPECT_TRUE(leaving(1, "w102"));
  world_.machines.at(2).state = MachineState::kLive;  // a stale replica of the list
  world_.clock.run_for(seconds(5));
  EXPECT_TRUE(leaving(0, "w102"));
}

TEST_F(WorkerDirectoryTest, AMarkIsClearedByANewIncarnationOnly) {
  nodes_[0]->router->drain("w100");
  world_.clock.run_for(knobs_.directory.list_lag + seconds(1));
  EXPECT_TRUE(leaving(1, "w100"));
  world_.machines.at(0).incarnation = 2;
  world_.clock.run_for(seconds(3));
  EXPECT_FALSE(leaving(0, "w100"));
  EXPECT_FALSE(leaving(1, "w100"));
  world_.machines.at(0).incarnation = 1;  // stale again
  world_.clock.run_for(seconds(3));
  EXPECT_EQ(nodes_[0]->router->directory().find("w100")->incarnation, 2);
  EXPECT_FALSE(leaving(0, "w100"));
}

TEST_F(WorkerDirectoryTest, RestoreOverridesTheListUntilItShowsTheWorkerAsLive) {
  world_.machines.at(0).state = MachineState::kLeaving;
  world_.clock.run_for(seconds(3));
  ASSERT_TRUE(leaving(1, "w100"));
  nodes_[1]->router->restore("w100");
  world_.clock.run_for(seconds(5));
  EXPECT_FALSE(leaving(0, "w100"));
  EXPECT_FALSE(leaving(1, "w100"));
  world_.machines.at(0).state = MachineState::kLive;
  world_.clock.run_for(seconds(3));
  world_.machines.at(0).state = MachineState::kLeaving;
  world_.clock.run_for(seconds(3));
  EXPECT_TRUE(leaving(0, "w100"));
}

TEST_F(WorkerDirectoryTest, ALaterOwnReportOverridesARestore) {
  nodes_[0]->router->drain("w100");
  nodes_[0]->router->restore("w100");
  EXPECT_FALSE(leaving(0, "w100"));
  route_and_report(0, "w100", report(1, true));
  world_.clock.run_for(seconds(1));
  EXPECT_TRUE(leaving(1, "w100"));
}

TEST_F(WorkerDirectoryTest, ConcurrentCommandsConvergeOnAllNodes) {
  nodes_[0]->router->drain("w100");
  world_.clock.run_for(milliseconds(1));
  nodes_[1]->router->restore("w100");  // the other command has not arrived yet
  world_.clock.run_for(seconds(2));
  EXPECT_EQ(leaving(0, "w100"), leaving(1, "w100"));
  EXPECT_FALSE(leaving(0, "w100"));
}

TEST_F(WorkerDirectoryTest, ALateMarkOfAnOldIncarnationDoesNotApplyToTheNewOne) {
  world_.hub.cut = true;
  nodes_[0]->router->drain("w100");
  world_.hub.cut = false;
  const GossipEntry late = *nodes_[0]->gossip.find("drain_mark", "w100");
  world_.clock.run_for(knobs_.directory.list_lag + seconds(1));
  route_and_report(1, "w100", report(2, false));
  world_.hub.nodes[1]->deliver(late);
  EXPECT_FALSE(leaving(1, "w100"));
}

// The node that receives the command does not know of the worker's restart yet. The command applies
// to the restarted worker, in whichever order other nodes learn of the command and the restart.
TEST_F(WorkerDirectoryTest, ACommandBasedOnALaggingListAppliesToTheRestartedWorker) {
  route_and_report(1, "w100", report(2, false));
  nodes_[0]->router->drain("w100");
  world_.clock.run_for(seconds(1));
  EXPECT_TRUE(leaving(1, "w100"));
  world_.machines.at(0).incarnation = 2;
  world_.clock.run_for(seconds(2));
  EXPECT_TRUE(leaving(0, "w100"));
  EXPECT_TRUE(leaving(1, "w100"));
  world_.machines.at(0).incarnation = 3;
  world_.clock.run_for(knobs_.directory.list_lag);
  EXPECT_TRUE(leaving(0, "w100"));  // discovered within list_lag: may be the one meant
  world_.machines.at(0).incarnation = 4;
  world_.clock.run_for(seconds(2));
  EXPECT_FALSE(leaving(0, "w100"));
  EXPECT_FALSE(leaving(1, "w100"));
}

TEST_F(WorkerDirectoryTest, OneIncompleteOrFailedListDropsNoWorker) {
  const MachineListSnapshot full = world_.machines.snapshot;
  world_.machines.snapshot.machines.pop_back();
  world_.clock.run_for(seconds(2));
  EXPECT_NE(nodes_[0]->router->directory().find("w103"), nullptr);
  world_.machines.snapshot = full;
  world_.machines.failing = true;
  world_.clock.run_for(seconds(60));
  EXPECT_EQ(nodes_[0]->router->directory().all().size(), 4);
}

TEST_F(WorkerDirectoryTest, AStaleListDoesNotBringBackADroppedWorker) {
  const MachineListSnapshot full = world_.machines.snapshot;
  world_.machines.snapshot.machines.pop_back();
  world_.clock.run_for(seconds(15));
  ASSERT_EQ(nodes_[0]->router->directory().find("w103"), nullptr);
  world_.machines.snapshot = full;
  world_.clock.run_for(seconds(1));
  EXPECT_EQ(nodes_[0]->router->directory().find("w103"), nullptr);
  world_.clock.run_for(seconds(4));  // listed often enough in a row
  EXPECT_NE(nodes_[0]->router->directory().find("w103"), nullptr);
}

}  // namespace
}  // namespace chalkshed
