#include "sim/campaign.h"

#include <atomic>
#include <thread>

namespace chalkshed {

namespace {

constexpr uint64_t kMaxSeedsPerProof = 60;

// Calls `work` for each index below `count`, on several threads. The calls must not share mutable
// state.
void parallel_for(uint32_t threads, size_t count, const std::function<void(size_t)>& work) {
  std::atomic<size_t> next{0};
  std::vector<std::thread> workers;
  const uint32_t used = threads != 0 ? threads : std::max(1U, std::thread::hardware_concurrency());
  for (uint32_t index = 0; index < used; ++index) {
    workers.emplace_back([&] {
      for (size_t item = next++; item < count; item = next++) {
        work(item);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

bool violates(const SafeguardProof& proof, const RunResult& result) {
  return !result.check[proof.guarantee].violations.empty();
}

ProofResult prove(const SafeguardProof& proof) {
  ProofResult result;
  result.proof = &proof;
  RunKnobs disabled;
  proof.disable(disabled);
  for (uint64_t seed = 1; seed <= kMaxSeedsPerProof && !result.fails_when_disabled; ++seed) {
    result.fails_when_disabled = violates(proof, proof.scenario(seed, disabled));
    result.failing_seed = seed;
  }
  if (result.fails_when_disabled) {
    result.clean_when_enabled = !violates(proof, proof.scenario(result.failing_seed, RunKnobs()));
  }
  return result;
}

}  // namespace

std::vector<SeedSummary> run_seeds(const CampaignOptions& options) {
  std::vector<SeedSummary> summaries(options.seeds);
  parallel_for(options.threads, options.seeds, [&](size_t index) {
    RunKnobs knobs;
    if (options.disabled != nullptr) {
      options.disabled->disable(knobs);
    }
    const uint64_t seed = options.first_seed + index;
    const auto scenario = options.disabled != nullptr ? options.disabled->scenario : run_seed;
    RunResult result = scenario(seed, knobs);
    summaries[index] = {seed, result.faults, result.operations, std::move(result.check)};
  });
  return summaries;
}

std::vector<ProofResult> run_proofs(uint32_t threads) {
  const std::vector<SafeguardProof>& proofs = safeguard_proofs();
  std::vector<ProofResult> results(proofs.size());
  parallel_for(threads, proofs.size(),
               [&](size_t index) { results[index] = prove(proofs[index]); });
  return results;
}

bool replays(uint64_t seed) {
  const RunKnobs knobs;
  return history_digest(run_seed(seed, knobs).history) ==
         history_digest(run_seed(seed, knobs).history);
}

}  // namespace chalkshed
