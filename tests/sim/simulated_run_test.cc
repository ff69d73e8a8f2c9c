// Complete clusters under random faults. scripts/sim runs more seeds.
#include "sim/simulated_run.h"

#include <gtest/gtest.h>

#include "sim/campaign.h"

namespace chalkshed {
namespace {

std::string violations_of(const CheckResult& check) {
  std::string text;
  for (size_t index = 0; index < kGuaranteeCount; ++index) {
    for (const std::string& violation : check.guarantees[index].violations) {
      text += std::string(guarantee_name(static_cast<Guarantee>(index))) + ": " + violation + "\n";
    }
  }
  return text;
}

class SeedTest : public testing::TestWithParam<uint64_t> {};

TEST_P(SeedTest, KeepsAllGuarantees) {
  const RunResult result = run_seed(GetParam(), RunKnobs());
  EXPECT_EQ(violations_of(result.check), "");
  EXPECT_GE(result.faults, 10U);
  EXPECT_GT(result.operations, 100U);
}

INSTANTIATE_TEST_SUITE_P(Quick, SeedTest, testing::Values(1, 2, 3, 4));

TEST(SimulatedRun, ReplaysIdentically) { EXPECT_TRUE(replays(7)); }

TEST(SimulatedRun, DifferentSeedsDiffer) {
  EXPECT_NE(history_digest(run_seed(1, RunKnobs()).history),
            history_digest(run_seed(2, RunKnobs()).history));
}

}  // namespace
}  // namespace chalkshed
