// The safeguards behind the guarantees, and how to run a simulation with one of them disabled.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sim/simulated_run.h"
#include "src/history/checker.h"

namespace chalkshed {

// A safeguard and the guarantee that must be violated when it is disabled.
struct SafeguardProof {
  std::string_view name;
  Guarantee guarantee;
  void (*disable)(RunKnobs& knobs);
  // A run in which the guarantee depends on the safeguard.
  RunResult (*scenario)(uint64_t seed, const RunKnobs& knobs);
};

const std::vector<SafeguardProof>& safeguard_proofs();

// @return the entry with that name, or null.
const SafeguardProof* find_safeguard(std::string_view name);

}  // namespace chalkshed
