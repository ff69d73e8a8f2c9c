// How a node responds to a key that is not in its configuration, or that it cannot confirm.
#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class KeyRevocationTest : public testing::Test {
 protected:
  void configure(uint64_t version, const nlohmann::json& keys) {
    cluster.write_configuration(version, [&](nlohmann::json& configuration) {
      configuration["tenants"] = {{{"name", "ann"}, {"api_keys", keys}}};
    });
    cluster.clock.run_for(milliseconds(50));
  }
  // @return the tenant that n0 finds for the key, or the kind of its error.
  std::string tenant_of(const std::string& key) {
    ServingNode& node = cluster.node("n0");
    const RouteTablePtr table = node.routes();
    const Expected<caller_identity> caller =
        node.identify(*table, table->find("a.example", "/plain/x"), "r1", "Bearer " + key);
    return caller ? caller->tenant : std::string(error_kind_name(caller.error().kind));
  }
  void disconnect_all_nodes_from_store() {
    for (auto& [name, node] : cluster.nodes) {
      node->store.set_cut(true);
    }
  }

  ServingCluster cluster{3};
};

TEST_F(KeyRevocationTest, UnknownKeyIsRejectedPermanentlyOnlyByAnUpToDateNode) {
  configure(2, {"k1"});
  EXPECT_EQ(tenant_of("k1"), "ann");
  EXPECT_EQ(tenant_of("k2"), "unauthenticated");
  disconnect_all_nodes_from_store();
  cluster.clock.run_for(seconds(8));
  EXPECT_EQ(tenant_of("k1"), "ann");
  EXPECT_EQ(tenant_of("k2"), "unavailable");
  EXPECT_EQ(cluster.node("n0").reject_unknown_route("r1", "a.example/new/x").kind,
            ErrorKind::kUnavailable);
}

TEST_F(KeyRevocationTest, RevokedKeyIsRejectedEvenByANodeWithoutTheStore) {
  configure(2, {"k1", "k2"});
  cluster.clock.run_for(seconds(3));
  cluster.nodes.at("n0")->store.set_cut(true);
  configure(3, {"k2"});
  cluster.clock.run_for(seconds(1));
  EXPECT_NE(tenant_of("k1"), "ann");
  EXPECT_EQ(tenant_of("k2"), "ann");
}

}  // namespace
}  // namespace chalkshed
