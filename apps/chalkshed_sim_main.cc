// chalkshed-sim: checks the serving guarantees on simulated clusters under random faults.
#include <docopt.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "sim/campaign.h"
#include "src/history/json_lines.h"

namespace chalkshed {
namespace {

constexpr char kUsage[] =
    R"(Runs simulated clusters under random faults and checks the serving guarantees.

Usage:
  chalkshed-sim --seeds <n> [--first-seed <k>] [--threads <t>] [--disable <safeguard>] [--no-proofs]
  chalkshed-sim --seed <k> [--print-history] [--disable <safeguard>]
  chalkshed-sim --list-safeguards
  chalkshed-sim (-h | --help)

Options:
  --seeds <n>            Number of seeds to run; afterwards verify that each guarantee fails
                         when its safeguard is disabled.
  --first-seed <k>       First seed [default: 1].
  --threads <t>          Number of seeds to run in parallel; 0: one per core [default: 0].
  --no-proofs            Skip the runs with disabled safeguards.
  --seed <k>             Run a single seed.
  --print-history        Print the history of the run as JSON Lines.
  --disable <safeguard>  Disable this safeguard.
  --list-safeguards      Print the names of the safeguards and their guarantees.

The last line is a JSON object. Exit status: 0 if there was no violation and every guarantee
failed without its safeguard, else 1.
)";

constexpr size_t kShownViolations = 5;

void print_violations(uint64_t seed, const CheckResult& check) {
  for (size_t index = 0; index < kGuaranteeCount; ++index) {
    const std::vector<std::string>& violations = check.guarantees[index].violations;
    for (size_t shown = 0; shown < std::min(violations.size(), kShownViolations); ++shown) {
      std::cout << "seed " << seed << ": " << guarantee_name(static_cast<Guarantee>(index)) << ": "
                << violations[shown] << "\n";
    }
    if (violations.size() > kShownViolations) {
      std::cout << "seed " << seed << ": and " << violations.size() - kShownViolations
                << " more of this kind\n";
    }
  }
}

int run_one(uint64_t seed, const SafeguardProof* disabled, bool print_history) {
  RunKnobs knobs;
  if (disabled != nullptr) {
    disabled->disable(knobs);
  }
  const RunResult result =
      disabled != nullptr ? disabled->scenario(seed, knobs) : run_seed(seed, knobs);
  if (print_history) {
    for (const Event& event : result.history) {
      std::cout << format_event(event) << "\n";
    }
  }
  print_violations(seed, result.check);
  std::cout << nlohmann::json{{"seed", seed},
                              {"faults", result.faults},
                              {"operations", result.operations},
                              {"events", result.history.size()},
                              {"history_digest", history_digest(result.history)},
                              {"violations", result.check.violation_count()}}
                   .dump()
            << "\n";
  return result.check.violation_count() == 0 ? 0 : 1;
}

// Runs the proofs and adds the outcome of each guarantee to `guarantees`.
// @return whether every proof succeeded.
bool add_proofs(uint32_t threads, nlohmann::json& guarantees) {
  bool all = true;
  std::array<bool, kGuaranteeCount> fails{};
  std::array<bool, kGuaranteeCount> seen{};
  for (const ProofResult& result : run_proofs(threads)) {
    const auto index = static_cast<size_t>(result.proof->guarantee);
    const bool proved = result.fails_when_disabled && result.clean_when_enabled;
    fails[index] = (!seen[index] || fails[index]) && proved;
    seen[index] = true;
    std::cout << "without " << result.proof->name << ": " << guarantee_name(result.proof->guarantee)
              << (result.fails_when_disabled
                      ? " fails at seed " + std::to_string(result.failing_seed) +
                            (result.clean_when_enabled ? "" : ", but so it does with it")
                      : " was not seen to fail")
              << "\n";
  }
  for (size_t index = 0; index < kGuaranteeCount; ++index) {
    const std::string name(guarantee_name(static_cast<Guarantee>(index)));
    guarantees[name]["fails_when_disabled"] = fails[index];
    all = all && fails[index];
  }
  return all;
}

int run_many(const CampaignOptions& options, bool proofs) {
  nlohmann::json guarantees;
  CheckResult total;
  uint64_t faults = 0;
  uint64_t operations = 0;
  for (const SeedSummary& summary : run_seeds(options)) {
    faults += summary.faults;
    operations += summary.operations;
    print_violations(summary.seed, summary.check);
    for (size_t index = 0; index < kGuaranteeCount; ++index) {
      const GuaranteeResult& result = summary.check.guarantees[index];
      total.guarantees[index].checked += result.checked;
      std::vector<std::string>& violations = total.guarantees[index].violations;
      violations.insert(violations.end(), result.violations.begin(), result.violations.end());
    }
  }
  for (size_t index = 0; index < kGuaranteeCount; ++index) {
    const std::string name(guarantee_name(static_cast<Guarantee>(index)));
    guarantees[name] = {{"checked", total.guarantees[index].checked},
                        {"violations", total.guarantees[index].violations.size()}};
  }
  const bool same = replays(options.first_seed);
  if (!same) {
    std::cout << "seed " << options.first_seed << " gave two different histories\n";
  }
  const bool proved = !proofs || add_proofs(options.threads, guarantees);
  std::cout << nlohmann::json{{"seeds", options.seeds},
                              {"faults", faults},
                              {"operations", operations},
                              {"violations", total.violation_count()},
                              {"replays_identically", same},
                              {"guarantees", guarantees}}
                   .dump()
            << "\n";
  return total.violation_count() == 0 && proved && same ? 0 : 1;
}

int list_safeguards() {
  for (const SafeguardProof& proof : safeguard_proofs()) {
    std::cout << proof.name << " " << guarantee_name(proof.guarantee) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  using chalkshed::SafeguardProof;
  const auto arguments = docopt::docopt(chalkshed::kUsage, {argv + 1, argv + argc}, true);
  if (arguments.at("--list-safeguards").asBool()) {
    return chalkshed::list_safeguards();
  }
  const SafeguardProof* disabled = nullptr;
  if (arguments.at("--disable")) {
    const std::string name = arguments.at("--disable").asString();
    disabled = chalkshed::find_safeguard(name);
    if (disabled == nullptr) {
      std::cerr << "unknown safeguard '" << name << "': see chalkshed-sim --list-safeguards\n";
      return 2;
    }
  }
  if (arguments.at("--seed")) {
    return chalkshed::run_one(std::stoull(arguments.at("--seed").asString()), disabled,
                              arguments.at("--print-history").asBool());
  }
  chalkshed::CampaignOptions options;
  options.seeds = std::stoull(arguments.at("--seeds").asString());
  options.first_seed = std::stoull(arguments.at("--first-seed").asString());
  options.threads = static_cast<uint32_t>(std::stoul(arguments.at("--threads").asString()));
  options.disabled = disabled;
  const bool proofs = !arguments.at("--no-proofs").asBool() && disabled == nullptr;
  return chalkshed::run_many(options, proofs);
}
