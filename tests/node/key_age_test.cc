// A revoked key has to be refused within `max_unconfirmed_time` even if the node cannot learn of
// the revocation. Guards against counting any response of the store as a confirmation of the keys.
#include <gtest/gtest.h>

#include "tests/serving/changes_blocked_node.h"

namespace chalkshed {
namespace {

// The store fails in part: the node's watch gets no responses, but its transactions do. Each such
// response used to count as a confirmation of the configuration, which it does not contain.
TEST(KeyAgeTest, ResponseAboutAnotherTableConfirmsNoKey) {
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
  EXPECT_FALSE(allowed("k1")) << "revoked 20 s ago";
}

}  // namespace
}  // namespace chalkshed
