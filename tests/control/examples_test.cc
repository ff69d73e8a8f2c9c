// Checks that the example deployments are valid: their settings load, their policies pass their
// samples, and their fleets have the sizes of the deployments they represent.
#include <gtest/gtest.h>

#include <filesystem>

#include "emulator/fleet_settings.h"
#include "src/configuration/configuration_text.h"
#include "src/control/bundle_loader.h"
#include "src/policy/policy_check.h"
#include "src/settings/settings.h"

namespace chalkshed {
namespace {

// The tests run in the build folder or in a folder below the sources.
std::string examples_folder() {
  std::filesystem::path folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / "examples") && folder.has_relative_path()) {
    folder = folder.parent_path();
  }
  return (folder / "examples").string();
}

struct Deployment {
  std::string name;
  std::string model_service;
  uint32_t workers;
  std::string plain_service;
  std::vector<std::string> zones;
};

class ExampleTest : public testing::TestWithParam<Deployment> {
 protected:
  const std::string folder_ = examples_folder() + "/" + GetParam().name;
};

TEST_P(ExampleTest, ConfigurationIsValidAndItsSamplesHold) {
  const auto bundle = load_bundle({folder_ + "/configuration"});
  ASSERT_TRUE(bundle) << bundle.error().message;
  const auto parsed = parse_configuration(*bundle);
  ASSERT_TRUE(parsed) << parsed.error().message;
  const Configuration& configuration = parsed->configuration;
  EXPECT_EQ(configuration.services.at(GetParam().model_service).kind, ServiceKind::kModel);
  EXPECT_EQ(configuration.services.at(GetParam().plain_service).kind, ServiceKind::kPlain);
  for (const auto& [name, policy] : configuration.policies) {
    EXPECT_FALSE(policy.samples.empty()) << name;
    const auto checked = check_policy(policy, {});
    EXPECT_TRUE(checked) << checked.error().message;
  }
}

TEST_P(ExampleTest, FleetHasTheSizeOfToday) {
  const auto fleet = load_fleet_settings(folder_ + "/emulator.toml");
  ASSERT_TRUE(fleet) << fleet.error().message;
  ASSERT_EQ(fleet->groups.size(), 2U);
  EXPECT_EQ(fleet->groups[0].service, GetParam().model_service);
  EXPECT_EQ(fleet->groups[0].count, GetParam().workers);
  EXPECT_EQ(fleet->groups[0].zones, GetParam().zones);
  EXPECT_EQ(fleet->groups[1].service, GetParam().plain_service);
  EXPECT_EQ(fleet->groups[1].count, 3U);
}

TEST_P(ExampleTest, NodesAreThoseOfTheMachineList) {
  const auto fleet = load_fleet_settings(folder_ + "/emulator.toml");
  ASSERT_TRUE(fleet);
  ASSERT_EQ(fleet->nodes.size(), 3U);
  for (const Machine& node : fleet->nodes) {
    const auto settings = load_settings(folder_ + "/nodes/" + node.id + ".toml", {});
    ASSERT_TRUE(settings) << to_string(settings.error().front());
    EXPECT_EQ(settings->id, node.id);
    EXPECT_EQ(settings->zone, node.zone);
    EXPECT_EQ(settings->region, node.region);
    EXPECT_EQ(settings->listen.http, node.address);
    EXPECT_EQ(settings->listen.peer, node.peer_address);
    EXPECT_EQ(settings->platform.table, fleet->control);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Examples, ExampleTest,
    testing::Values(
        Deployment{"seat-desk",
                   "sprak-tjenere",
                   12,
                   "setekart-tjeneste",
                   {"hall-lillestrom", "hall-drammen", "hall-hamar"}},
        Deployment{
            "sesvete-cold-room", "lm-pool", 18, "depot-api", {"sesvete", "jankomir", "zitnjak"}}),
    [](const auto& test) { return test.param.name == "seat-desk" ? "seat_desk" : "cold_room"; });

}  // namespace
}  // namespace chalkshed
