// Removal of old versions during applies and faults, in virtual time.
#include "src/configuration/configuration_retention.h"

#include <gtest/gtest.h>

#include <sstream>

#include "sim/configuration_cluster.h"
#include "src/membership/rendezvous.h"

namespace chalkshed {
namespace {

using std::chrono::minutes;

// Reports the next removal as failed and executes it after `removal_delay`.
class DelayedRemovalStore : public ObjectStore {
 public:
  DelayedRemovalStore(ObjectStore& inner, VirtualDispatcher& dispatcher)
      : inner_(inner), dispatcher_(dispatcher) {}
  void put(std::string name, std::shared_ptr<const std::string> content,
           Callback<std::monostate> callback) override {
    inner_.put(std::move(name), std::move(content), std::move(callback));
  }
  void get(std::string name, Callback<std::shared_ptr<const std::string>> callback) override {
    inner_.get(std::move(name), std::move(callback));
  }
  void remove(std::string name, Callback<std::monostate> callback) override {
    if (removal_delay != Duration{0}) {
      delayed_object = name;
      dispatcher_.schedule(std::exchange(removal_delay, Duration{0}), [this, name] {
        inner_.remove(name, [](const Expected<std::monostate>&) {});
      });
      dispatcher_.post([callback] {
        callback(tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown, "answer lost", "")));
      });
      return;
    }
    inner_.remove(std::move(name), std::move(callback));
  }

  Duration removal_delay{0};
  std::string delayed_object;

 private:
  ObjectStore& inner_;
  VirtualDispatcher& dispatcher_;
};

struct RetainingNode {
  RetainingNode(ConfigurationNode& node, const ConfigurationKnobs& knobs)
      : objects(node.objects, node.dispatcher),
        dependencies{node.dependencies.time_source,
                     node.dependencies.dispatcher,
                     node.dependencies.random,
                     node.dependencies.table_store,
                     objects,
                     node.dependencies.machine_list,
                     node.dependencies.engine_client,
                     node.dependencies.backend_client,
                     node.dependencies.datagrams,
                     node.dependencies.peer_client,
                     node.dependencies.peer_server,
                     node.dependencies.logger,
                     node.dependencies.metrics},
        retention({node.self().id, {}, {}, "", "", 1}, dependencies, node, knobs) {
    retention.start();
  }

  DelayedRemovalStore objects;
  NodeDependencies dependencies;
  ConfigurationRetention retention;
};

// Uses a stream because chains of operator+ cause false overrun warnings in GCC 12.
std::string text_with(const std::string& tenant) {
  std::ostringstream text;
  text << kInitialText << "[tenants." << tenant << "]\napi_key = \"key-" << tenant << "\"\n";
  return text.str();
}

// Starts with versions 1 to 6, of which only the newest two are retained; neither contains "beta"
// of version 2.
class ConfigurationRetentionTest : public testing::Test {
 protected:
  void start(ConfigurationKnobs knobs = {}) {
    knobs.retained_versions = 2;
    knobs.retained_age = minutes(1);
    for (size_t index = 0; index < 2; ++index) {
      retaining_.push_back(std::make_unique<RetainingNode>(cluster_.add(knobs), knobs));
    }
    cluster_.run(500);
    const std::vector<std::string> texts = {kInitialText,       text_with("beta"),
                                            text_with("gamma"), text_with("delta"),
                                            kInitialText,       text_with("zeta")};
    for (size_t index = 0; index < texts.size(); ++index) {
      ASSERT_TRUE(cluster_.apply(cluster_[0], texts[index], index)->accepted);
    }
  }
  // Runs until the first object has been removed, so that the fence is set.
  void run_until_removal() {
    const size_t objects = cluster_.platform.objects().size();
    for (int turn = 0; turn < 40 * 60'000 && cluster_.platform.objects().size() == objects;
         ++turn) {
      cluster_.run(1);
    }
    ASSERT_LT(cluster_.platform.objects().size(), objects);
  }
  // @return whether a new cluster can load the newest version from the store.
  bool store_is_complete(ConfigurationVersion newest) {
    retaining_.clear();
    cluster_.nodes.clear();
    ConfigurationNode& fresh = cluster_.add();
    cluster_.run(30'000);
    return fresh.version() == newest;
  }
  // Applies version 2's text and pauses the apply after it has written its objects, until the
  // retention round has ended. @return whether it was accepted.
  bool apply_paused_during_round(const ConfigurationKnobs& knobs) {
    start(knobs);
    cluster_.clock.run_for(minutes(29));
    std::optional<Expected<ApplyOutcome>> outcome;
    const uint64_t served = cluster_.platform.object_service().counters.served;
    // Not the node that runs the retention rounds.
    const auto owner = rendezvous_owner("configuration/retention", cluster_[0].members());
    ConfigurationNode& applying = cluster_[owner == "node-0" ? 1 : 0];
    applying.manager.apply(apply_request(text_with("beta"), 6),
                           [&](Expected<ApplyOutcome> answer) { outcome = std::move(answer); });
    while (cluster_.platform.object_service().counters.served < served + 2) {
      cluster_.run(1);
    }
    applying.dispatcher.freeze();
    const size_t objects = cluster_.platform.objects().size();
    cluster_.clock.run_for(minutes(20));
    EXPECT_LT(cluster_.platform.objects().size(), objects) << "the round took place";
    applying.dispatcher.thaw();
    cluster_.run(5000);
    return outcome && *outcome && (*outcome)->accepted;
  }

  ConfigurationCluster cluster_;
  std::vector<std::unique_ptr<RetainingNode>> retaining_;
};

TEST_F(ConfigurationRetentionTest, KeepsTheNewestVersionsAndWhatTheyNeed) {
  start();
  const size_t before = cluster_.platform.objects().size();
  cluster_.clock.run_for(minutes(60));
  // Removes four manifests and the blocks of beta, gamma and delta; versions 1 and 5 share a
  // manifest.
  EXPECT_EQ(cluster_.platform.objects().size(), before - 6);
  std::vector<ConfigurationVersion> kept;
  cluster_[0].manager.history(10, [&](const Expected<std::vector<ConfigurationHead>>& heads) {
    for (const ConfigurationHead& head : *heads) {
      kept.push_back(head.version);
    }
  });
  cluster_.run(100);
  EXPECT_EQ(kept, (std::vector<ConfigurationVersion>{6, 5}));
  ASSERT_TRUE(cluster_.apply(cluster_[1], text_with("beta"), 6)->accepted);
  EXPECT_TRUE(store_is_complete(7));
}

TEST_F(ConfigurationRetentionTest, AnApplyThatNeedsWhatIsBeingRemovedIsRefused) {
  start();
  run_until_removal();
  const auto refused = cluster_.apply(cluster_[1], text_with("beta"), 6);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().ran, Ran::kNo);
  EXPECT_TRUE(refused.error().retry_after);
  EXPECT_TRUE(cluster_.apply(cluster_[1], text_with("eta"), 6)->accepted)
      << "unaffected applies succeed";
  cluster_.clock.run_for(minutes(20));
  EXPECT_TRUE(cluster_.apply(cluster_[1], text_with("beta"), 7)->accepted);
  EXPECT_TRUE(store_is_complete(8));
}

TEST_F(ConfigurationRetentionTest, AnApplyPausedOverARoundWritesItsContentAnew) {
  EXPECT_TRUE(apply_paused_during_round({}));
  EXPECT_TRUE(store_is_complete(7));
}

TEST_F(ConfigurationRetentionTest, WithoutTheFenceAnAcceptedVersionLosesItsContent) {
  ConfigurationKnobs knobs;
  knobs.safeguards.fence_removed_content = false;
  EXPECT_TRUE(apply_paused_during_round(knobs));
  EXPECT_FALSE(store_is_complete(7));
}

// A removal whose response was lost is executed nine minutes later. In the meantime the next round
// repeats it, and an operator keeps applying the content that it removes.
class LateRemovalTest : public ConfigurationRetentionTest {
 protected:
  // @return whether the object that was written again still exists at the end.
  bool object_survives(Duration grace) {
    ConfigurationKnobs knobs;
    knobs.removal_grace = grace;
    knobs.retention_interval = minutes(2);
    start(knobs);
    for (const auto& node : retaining_) {
      node->objects.removal_delay = minutes(9);
    }
    cluster_.clock.run_for(minutes(5));
    const auto& first = retaining_[0]->objects.delayed_object;
    const std::string name = first.empty() ? retaining_[1]->objects.delayed_object : first;
    EXPECT_FALSE(name.empty());
    EXPECT_FALSE(cluster_.platform.objects().contains(name));
    ConfigurationVersion newest = 6;
    for (int turn = 0; turn < 90 && !cluster_.platform.objects().contains(name); ++turn) {
      const std::vector<std::string> tenants = {"beta", "gamma", "delta"};
      const auto outcome =
          cluster_.apply(cluster_[1], text_with(tenants[turn % tenants.size()]), newest);
      newest += outcome && outcome->accepted ? 1 : 0;
      cluster_.run(10'000);
    }
    EXPECT_TRUE(cluster_.platform.objects().contains(name));
    cluster_.clock.run_for(minutes(10));
    return cluster_.platform.objects().contains(name);
  }
};

TEST_F(LateRemovalTest, ComesBeforeItsObjectMayBeWrittenAnew) {
  EXPECT_TRUE(object_survives(minutes(10)));
}

TEST_F(LateRemovalTest, WithoutTheGraceDestroysWhatAnAcceptedVersionNeeds) {
  EXPECT_FALSE(object_survives(Duration{0}));
}

}  // namespace
}  // namespace chalkshed
