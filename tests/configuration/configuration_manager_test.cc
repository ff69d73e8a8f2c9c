#include "src/configuration/configuration_manager.h"

#include <gtest/gtest.h>

#include "sim/configuration_cluster.h"
#include "src/configuration/configuration_status.h"
#include "src/configuration/redaction.h"

namespace chalkshed {
namespace {

std::string with_tenant(const std::string& name) {
  return std::string(kInitialText) + "[tenants." + name + "]\napi_key = \"key-" + name + "\"\n";
}

// Three nodes on which version 1 is active.
class ConfigurationManagerTest : public testing::Test {
 protected:
  void start(const ConfigurationKnobs& knobs = {}) {
    for (int node = 0; node < 3; ++node) {
      cluster_.add(knobs);
    }
    cluster_.run(500);
    ASSERT_EQ(cluster_.apply(cluster_[0], kInitialText, 0)->version, 1U);
    cluster_.run(1000);
  }

  ConfigurationCluster cluster_;
};

TEST_F(ConfigurationManagerTest, AcceptedVersionIsSoonInForceEverywhere) {
  start();
  const auto outcome = cluster_.apply(cluster_[2], with_tenant("beta"), 1);
  ASSERT_TRUE(outcome && outcome->accepted);
  EXPECT_EQ(outcome->difference,
            "[tenants.beta]\n+api_key = \"key-beta\"\n+requests_per_second = 0.0\n"
            "+request_burst = 0.0\n+batch_weight = 1.0\n");
  EXPECT_EQ(cluster_[2].version(), 2U) << "the acknowledging node applies it first";
  cluster_.run(500);
  for (const auto& node : cluster_.nodes) {
    EXPECT_EQ(node->version(), 2U);
    EXPECT_TRUE(node->manager.current()->tenants.contains("beta"));
  }
}

TEST_F(ConfigurationManagerTest, ContentComesFromPeersWhileTheyHaveIt) {
  start();
  const uint64_t served = cluster_.platform.object_service().counters.served;
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1));
  cluster_.run(1000);
  EXPECT_EQ(cluster_[2].version(), 2U);
  EXPECT_EQ(cluster_.platform.object_service().counters.served, served + 2)
      << "one changed block and the manifest are written, nothing is read";
}

TEST_F(ConfigurationManagerTest, ContentComesFromTheStoreWhenNoPeerHasIt) {
  start();
  cluster_.nodes.clear();  // all nodes are replaced
  ConfigurationNode& fresh = cluster_.add();
  cluster_.run(500);
  EXPECT_EQ(fresh.version(), 1U);
  EXPECT_TRUE(fresh.manager.current()->tenants.contains("alpha"));
}

TEST_F(ConfigurationManagerTest, EqualContentMakesNoNewVersionAndNoConflict) {
  start();
  // Like a resent apply: its base is the previous version.
  const auto outcome = cluster_.apply(cluster_[1], kInitialText, 0);
  EXPECT_TRUE(outcome->accepted);
  EXPECT_FALSE(outcome->changed);
  EXPECT_EQ(outcome->version, 1U);
}

// A configuration shown without keys is edited and applied.
TEST_F(ConfigurationManagerTest, KeptKeysAreThoseInForce) {
  start();
  Configuration shown = redacted(*cluster_[0].manager.current());
  const std::string text = format_configuration(shown);
  EXPECT_EQ(text.find("key-alpha"), std::string::npos);
  shown.tenants["alpha"].batch_weight = 3;
  shown.tenants["beta"] = {"beta", "key-beta", 0, 0, 1};
  shown.version = 0;
  ASSERT_TRUE(cluster_.apply(cluster_[1], format_configuration(shown), 1)->accepted);
  const ConfigurationPtr current = cluster_[1].manager.current();
  EXPECT_EQ(current->tenants.at("alpha").api_key, "key-alpha");
  EXPECT_EQ(current->tenants.at("alpha").batch_weight, 3);
  EXPECT_EQ(redacted_difference("[tenants.alpha]\n-api_key = \"a\"\n+api_key = \"b\""),
            "[tenants.alpha]\n-api_key = (not shown)\n+api_key = (not shown)");
}

TEST_F(ConfigurationManagerTest, KeysThatCannotBeKeptAreRefused) {
  start();
  Configuration shown = redacted(*cluster_[0].manager.current());
  shown.version = 0;
  const std::string text = format_configuration(shown);
  // A node with an older version than the base would restore an older key.
  cluster_[2].side = 1;
  cluster_.set_store_disconnected(cluster_[2], true);
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1)->accepted);
  const auto behind = cluster_.apply(cluster_[2], text, 2);
  ASSERT_FALSE(behind);
  EXPECT_EQ(behind.error().kind, ErrorKind::kUnavailable);
  EXPECT_EQ(behind.error().ran, Ran::kNo);
  shown.tenants["gamma"] = {"gamma", kept_key("gamma"), 0, 0, 1};
  EXPECT_EQ(cluster_.apply(cluster_[0], format_configuration(shown), 2).error().kind,
            ErrorKind::kInvalidRequest);
  shown.tenants["gamma"].api_key = "key-alpha";
  EXPECT_EQ(cluster_.apply(cluster_[0], format_configuration(shown), 2).error().kind,
            ErrorKind::kInvalidRequest)
      << "no two tenants share a key";
}

struct Race {
  std::optional<ApplyOutcome> first;
  std::optional<ApplyOutcome> second;
};

Race race(ConfigurationCluster& cluster) {
  Race race;
  cluster[0].manager.apply(apply_request(with_tenant("beta"), 1),
                           [&](Expected<ApplyOutcome> outcome) { race.first = outcome.value(); });
  cluster[1].manager.apply(apply_request(with_tenant("gamma"), 1),
                           [&](Expected<ApplyOutcome> outcome) { race.second = outcome.value(); });
  cluster.run(2000);
  return race;
}

TEST_F(ConfigurationManagerTest, RacingOperatorsGetAConflictWithTheDifference) {
  start();
  const Race outcome = race(cluster_);
  ASSERT_TRUE(outcome.first && outcome.second);
  ASSERT_NE(outcome.first->accepted, outcome.second->accepted);
  const ApplyOutcome& loser = outcome.first->accepted ? *outcome.second : *outcome.first;
  const std::string winner = outcome.first->accepted ? "beta" : "gamma";
  EXPECT_EQ(loser.version, 2U);
  EXPECT_TRUE(loser.difference.starts_with("[tenants." + winner + "]\n+")) << loser.difference;
  for (const auto& node : cluster_.nodes) {
    EXPECT_TRUE(node->manager.current()->tenants.contains(winner));
  }
}

TEST_F(ConfigurationManagerTest, WithoutCompareAndSwapAnUpdateIsLost) {
  ConfigurationKnobs knobs;
  knobs.safeguards.compare_and_swap_head = false;
  start(knobs);
  const Race outcome = race(cluster_);
  EXPECT_TRUE(outcome.first->accepted && outcome.second->accepted);
}

TEST_F(ConfigurationManagerTest, StaleBaseIsAConflictAndChangesNothing) {
  start();
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1)->accepted);
  const auto outcome = cluster_.apply(cluster_[1], with_tenant("gamma"), 1);
  ASSERT_TRUE(outcome);
  EXPECT_FALSE(outcome->accepted);
  EXPECT_EQ(outcome->version, 2U);
  EXPECT_TRUE(outcome->difference.starts_with("[tenants.beta]\n+")) << outcome->difference;
  cluster_.run(1000);
  EXPECT_FALSE(cluster_[1].manager.current()->tenants.contains("gamma"));
}

TEST_F(ConfigurationManagerTest, NodeStartingDuringAnOutageLearnsFromPeers) {
  start();
  cluster_.set_outage(true);
  ConfigurationNode& fresh = cluster_.add();
  EXPECT_EQ(fresh.manager.current(), nullptr);
  cluster_.run(3000);
  EXPECT_EQ(fresh.version(), 1U);
  EXPECT_TRUE(fresh.manager.ready());
}

TEST_F(ConfigurationManagerTest, NodeStartingDuringAnOutageWithoutPeersIsNotReady) {
  start();
  cluster_.set_outage(true);
  ConfigurationNode& fresh = cluster_.add();
  fresh.side = 1;
  cluster_.run(60'000);
  EXPECT_EQ(fresh.manager.current(), nullptr);
  EXPECT_FALSE(fresh.manager.ready());
  cluster_.set_outage(false);
  cluster_.run(3000);
  EXPECT_EQ(fresh.versions, std::vector<ConfigurationVersion>{1U});
}

TEST_F(ConfigurationManagerTest, WithoutLearningANodeServesAnOldVersion) {
  start();
  cluster_.set_outage(true);
  ConfigurationKnobs knobs;
  knobs.safeguards.learn_before_serving = false;
  ConfigurationNode& fresh = cluster_.add(knobs);
  ASSERT_NE(fresh.manager.current(), nullptr);
  EXPECT_EQ(fresh.version(), 0U) << "it serves version 0 while 1 is in force";
}

TEST_F(ConfigurationManagerTest, PeerThatIsItselfLearningTeachesNothing) {
  cluster_.set_outage(true);
  for (int node = 0; node < 3; ++node) {
    cluster_.add();
  }
  cluster_.run(20'000);
  for (const auto& node : cluster_.nodes) {
    EXPECT_EQ(node->manager.current(), nullptr);
  }
}

// Delays the response to a node's next poll until version 2 is active.
void deliver_stale_read(ConfigurationCluster& cluster, ConfigurationNode& node) {
  node.table.hold_reads = true;
  while (node.table.held.empty()) {
    cluster.run(100);
  }
  ASSERT_TRUE(cluster.apply(cluster[0], with_tenant("beta"), 1)->accepted);
  cluster.run(1000);
  ASSERT_EQ(node.version(), 2U);
  node.table.release_reads();
  cluster.run(1000);
}

TEST_F(ConfigurationManagerTest, DelayedReadOfAnOldVersionIsIgnored) {
  start();
  deliver_stale_read(cluster_, cluster_[1]);
  EXPECT_EQ(cluster_[1].versions, (std::vector<ConfigurationVersion>{0, 1, 2}));
}

TEST_F(ConfigurationManagerTest, WithoutTheUpwardRuleADelayedReadReverts) {
  ConfigurationKnobs knobs;
  knobs.safeguards.versions_only_upwards = false;
  start(knobs);
  deliver_stale_read(cluster_, cluster_[1]);
  const auto& versions = cluster_[1].versions;
  EXPECT_FALSE(std::is_sorted(versions.begin(), versions.end()));
}

TEST_F(ConfigurationManagerTest, LostCommitAnswerIsResolvedByReadingBack) {
  start();
  cluster_[0].table.commit_fault = CommitFault::kAnswerLost;
  const auto outcome = cluster_.apply(cluster_[0], with_tenant("beta"), 1);
  ASSERT_TRUE(outcome);
  EXPECT_TRUE(outcome->accepted);
  EXPECT_EQ(outcome->version, 2U);
}

TEST_F(ConfigurationManagerTest, WithoutReadingBackAnAcceptedChangeIsCalledRefused) {
  ConfigurationKnobs knobs;
  knobs.safeguards.read_back_lost_commits = false;
  start(knobs);
  cluster_[0].table.commit_fault = CommitFault::kAnswerLost;
  const auto outcome = cluster_.apply(cluster_[0], with_tenant("beta"), 1);
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.error().ran, Ran::kNo);
  cluster_.run(30'000);
  EXPECT_EQ(cluster_[0].version(), 2U) << "although it reported that nothing has changed";
}

TEST_F(ConfigurationManagerTest, CommitThatArrivesLateIsAppliedOnce) {
  start();
  cluster_[0].table.commit_fault = CommitFault::kArrivesLate;
  const auto outcome = cluster_.apply(cluster_[0], with_tenant("beta"), 1);
  ASSERT_TRUE(outcome && outcome->accepted);
  ASSERT_TRUE(cluster_.apply(cluster_[1], with_tenant("gamma"), 2)->accepted);
  cluster_[0].table.deliver_late_commits();
  cluster_.run(60'000);
  for (const auto& node : cluster_.nodes) {
    EXPECT_EQ(node->version(), 3U);
    EXPECT_TRUE(node->manager.current()->tenants.contains("gamma"));
  }
}

TEST_F(ConfigurationManagerTest, UnresolvedCommitIsCalledUnknown) {
  start();
  cluster_[0].table.commit_fault = CommitFault::kAnswerLost;
  std::optional<Expected<ApplyOutcome>> result;
  cluster_[0].manager.apply(apply_request(with_tenant("beta"), 1),
                            [&](Expected<ApplyOutcome> outcome) { result = std::move(outcome); });
  while (cluster_[0].table.commit_fault != CommitFault::kNone) {
    cluster_.run(1);
  }
  cluster_.run(1);
  cluster_.set_outage(true);
  cluster_.run(30'000);
  ASSERT_TRUE(result.has_value());
  ASSERT_FALSE(result->has_value());
  EXPECT_EQ(result->error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(result->error().ran, Ran::kUnknown);
}

TEST_F(ConfigurationManagerTest, OutageRefusesTheChangeAndTouchesNothing) {
  start();
  cluster_.set_outage(true);
  const auto outcome = cluster_.apply(cluster_[0], with_tenant("beta"), 1);
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.error().kind, ErrorKind::kStoreUnavailable);
  EXPECT_EQ(outcome.error().ran, Ran::kNo);
  cluster_.run(120'000);
  for (const auto& node : cluster_.nodes) {
    EXPECT_EQ(node->version(), 1U);
    EXPECT_TRUE(node->manager.ready()) << "a store outage alone makes no node unready";
  }
}

TEST_F(ConfigurationManagerTest, CutOffNodeServesOnButLeavesTheRotationUntilItHeals) {
  start();
  ConfigurationNode& isolated = cluster_[2];
  isolated.side = 1;
  cluster_.set_store_disconnected(isolated, true);
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1)->accepted);
  cluster_.run(10'000);
  EXPECT_TRUE(isolated.manager.ready());
  cluster_.run(10'000);
  EXPECT_EQ(isolated.version(), 1U);
  EXPECT_FALSE(isolated.manager.ready());
  isolated.side = 0;
  cluster_.run(7000);
  EXPECT_EQ(isolated.version(), 2U) << "peers suffice, the store is still unreachable";
  EXPECT_TRUE(isolated.manager.ready());
  EXPECT_EQ(isolated.versions, (std::vector<ConfigurationVersion>{0, 1, 2}));
}

TEST_F(ConfigurationManagerTest, NodeThatMissedTheGossipCatchesUpByExchange) {
  start();
  cluster_[1].receives_gossip = false;
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1)->accepted);
  cluster_.run(7000);
  EXPECT_EQ(cluster_[1].version(), 2U);
}

TEST_F(ConfigurationManagerTest, NodeWithoutContentAsksLessAndLessOftenUntilItComes) {
  start();
  cluster_.nodes.clear();
  cluster_.platform.object_service().faults.outage = true;
  ConfigurationNode& fresh = cluster_.add();
  cluster_.run(60'000);
  EXPECT_EQ(fresh.manager.current(), nullptr);
  const uint64_t refused = cluster_.platform.object_service().counters.refused;
  EXPECT_GE(refused, 10U);
  EXPECT_LE(refused, 30U);
  cluster_.platform.object_service().faults.outage = false;
  cluster_.run(6000);
  EXPECT_EQ(fresh.version(), 1U);
}

TEST_F(ConfigurationManagerTest, OverlongBundleIsRefused) {
  start();
  const auto outcome = cluster_.apply(cluster_[0], std::string(3 * 1024 * 1024, '#'), 1);
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.error().kind, ErrorKind::kTooLarge);
}

TEST_F(ConfigurationManagerTest, HistoryKeepsEveryVersion) {
  start();
  ASSERT_TRUE(cluster_.apply(cluster_[0], with_tenant("beta"), 1)->accepted);
  std::vector<ConfigurationHead> heads;
  cluster_[0].manager.history(
      10, [&](Expected<std::vector<ConfigurationHead>> found) { heads = found.value(); });
  ConfigurationPtr first;
  cluster_[0].manager.load_version(
      1, [&](Expected<ConfigurationPtr> loaded) { first = loaded.value(); });
  cluster_.run(500);
  ASSERT_EQ(heads.size(), 2U);
  EXPECT_EQ(heads[0].version, 2U);
  EXPECT_EQ(heads[0].author, "tester");
  ASSERT_NE(first, nullptr);
  EXPECT_FALSE(first->tenants.contains("beta"));
}

TEST_F(ConfigurationManagerTest, StatusNamesWhoLagsAndAsksOnlyThemAgain) {
  ConfigurationKnobs knobs;
  knobs.exchange_interval = std::chrono::hours(1);
  start(knobs);
  ConfigurationNode& queried = cluster_[0];
  ConfigurationStatusCollector collector(queried.manager, queried.dependencies, queried);
  cluster_[2].receives_gossip = false;
  ASSERT_TRUE(cluster_.apply(queried, with_tenant("beta"), 1)->accepted);
  cluster_.run(500);
  ConfigurationStatus status;
  const auto collect = [&] {
    const int before = queried.calls[kConfigurationHeadMethod];
    collector.collect(2, [&](ConfigurationStatus found) { status = std::move(found); });
    cluster_.run(100);
    return queried.calls[kConfigurationHeadMethod] - before;
  };
  EXPECT_EQ(collect(), 2);
  EXPECT_EQ(status.lagging, std::vector<std::string>{"node-2"});
  // The status request itself informed the lagging node of the new head.
  EXPECT_EQ(collect(), 1);
  EXPECT_TRUE(status.in_force_everywhere());
}

}  // namespace
}  // namespace chalkshed
