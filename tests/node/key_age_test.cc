// A key is refused within its bound although the node cannot learn that it was taken away; the
// sign for that is that the store answers anything at all.
#include <gtest/gtest.h>

#include "tests/serving/changes_blocked_node.h"

namespace chalkshed {
namespace {

// The store's feed is down for the node (the store may be down in part), its transactions are
// answered: each answer counts as a confirmation of a configuration that no answer tells of.
TEST(KeyAgeTest, AnAnswerAboutSomethingElseConfirmsNoKey) {
  ServingCluster cluster(0);
  const auto with_keys = [&](uint64_t version, const std::vector<std::string>& keys) {
    cluster.write_configuration(version, [&](nlohmann::json& configuration) {
      configuration["tenants"] = {{{"name", "ann"}, {"api_keys", keys}}};
    });
  };
  with_keys(2, {"k1", "k2"});
  ServingNodeKnobs knobs;
  knobs.max_unconfirmed_time = seconds(4);
  ChangesBlockedNode node(cluster, "n8", knobs);
  cluster.clock.run_for(seconds(1));
  const auto allowed = [&](const std::string& key) {
    const RouteTablePtr table = node.node.routes();
    return node.node.identify(*table, table->find("a.example", "/plain/x"), "r1", "Bearer " + key)
        .has_value();
  };
  ASSERT_TRUE(allowed("k1"));
  node.store.block_changes = true;
  with_keys(3, {"k2"});
  for (int second = 0; second < 20; ++second) {
    cluster.clock.run_for(seconds(1));
    node.node.jobs().end("no-" + std::to_string(second), [](const Expected<std::monostate>&) {});
  }
  EXPECT_FALSE(allowed("k1")) << "taken away 20 s ago";
}

}  // namespace
}  // namespace chalkshed
