// A revoked key has to be refused within `max_unconfirmed_time` even if the node cannot learn of
// the revocation. Guards against counting any response of the store as a confirmation of the keys.
#include <gtest/gtest.h>

#include "tests/serving/changes_blocked_node.h"

namespace chalkshed {
namespace {

class KeyAgeTest : public testing::Test {
 protected:
  KeyAgeTest() {
    with_keys(2, {"k1", "k2"});
    cluster.clock.run_for(seconds(1));
    node = std::make_unique<ChangesBlockedNode>(cluster, "n8", knobs());
    cluster.clock.run_for(seconds(1));
  }
  static ServingNodeKnobs knobs() {
    ServingNodeKnobs knobs;
    knobs.max_unconfirmed_time = kMaxUnconfirmed;
    return knobs;
  }
  void with_keys(uint64_t version, const std::vector<std::string>& keys) {
    cluster.write_configuration(version, [&](nlohmann::json& configuration) {
      configuration["tenants"] = {{{"name", "ann"}, {"api_keys", keys}}};
    });
  }
  bool allowed(const std::string& key) {
    const RouteTablePtr table = node->node.routes();
    return node->node.identify(*table, table->find("a.example", "/plain/x"), "r1", "Bearer " + key)
        .has_value();
  }

  static constexpr Duration kMaxUnconfirmed = seconds(4);
  ServingCluster cluster{0};
  std::unique_ptr<ChangesBlockedNode> node;
};

// The store fails in part: the node's watch gets no responses, but its transactions do. Each such
// response used to count as a confirmation of the configuration, which it does not contain.
TEST_F(KeyAgeTest, ResponseAboutAnotherTableConfirmsNoKey) {
  ASSERT_TRUE(allowed("k1"));
  node->store.block_changes = true;
  with_keys(3, {"k2"});
  for (int second = 0; second < 20; ++second) {
    cluster.clock.run_for(seconds(1));
    node->node.jobs().end("no-" + std::to_string(second), [](const Expected<std::monostate>&) {});
  }
  EXPECT_FALSE(allowed("k1")) << "revoked 20 s ago";
}

// Guards against: an answer that the node read long after the store had sent it confirmed the keys.
TEST_F(KeyAgeTest, AResponseThatWaitedToBeReadConfirmsNoKeyForLonger) {
  ASSERT_TRUE(allowed("k1"));
  node->store.answers_wait = seconds(6);
  cluster.clock.run_for(seconds(2));
  node->store.block_changes = true;
  with_keys(3, {"k2"});
  for (int step = 0; step < 200; ++step) {
    cluster.clock.run_for(milliseconds(100));
    const bool late = milliseconds(100) * (step + 1) > kMaxUnconfirmed;
    EXPECT_FALSE(late && allowed("k1")) << step;
  }
}

TEST_F(KeyAgeTest, KeysStayConfirmedWhileTheStoreIsSlow) {
  node->inner.set_delay(milliseconds(900));
  for (int step = 0; step < 600; ++step) {
    cluster.clock.run_for(milliseconds(50));
    EXPECT_TRUE(allowed("k1")) << step;
  }
}

TEST_F(KeyAgeTest, KeysStayConfirmedWhileNothingChanges) {
  for (int step = 0; step < 600; ++step) {
    cluster.clock.run_for(milliseconds(50));
    EXPECT_TRUE(allowed("k1")) << step;
  }
}

}  // namespace
}  // namespace chalkshed
