// Runs many seeds in parallel, and checks that each guarantee is violated when its safeguard is
// disabled.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "sim/safeguards.h"

namespace chalkshed {

// Result of one run without its history, which is too large to keep for every seed.
struct SeedSummary {
  uint64_t seed = 0;
  uint64_t faults = 0;
  uint64_t operations = 0;
  CheckResult check;
};

struct CampaignOptions {
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  uint32_t threads = 0;  // 0: one for each core
  const SafeguardProof* disabled = nullptr;
};

// Runs each seed once; results are ordered by seed.
std::vector<SeedSummary> run_seeds(const CampaignOptions& options);

struct ProofResult {
  const SafeguardProof* proof = nullptr;
  bool clean_when_enabled = false;   // the same seed violates nothing with the safeguard enabled
  bool fails_when_disabled = false;  // some seed violates the guarantee with it disabled
  uint64_t failing_seed = 0;
};

// Runs the scenario of each safeguard with the safeguard disabled, seed after seed until the
// guarantee is violated, and then the violating seed with the safeguard enabled.
std::vector<ProofResult> run_proofs(uint32_t threads);

// @return whether two runs of a seed give the same history.
bool replays(uint64_t seed);

}  // namespace chalkshed
