#include "sim/scenarios.h"

#include <algorithm>

namespace chalkshed {

namespace {

constexpr double kSlowFactor = 8.0;
constexpr uint32_t kJobs = 4;
constexpr uint32_t kJobItems = 250;
constexpr Duration kWarmUp = std::chrono::milliseconds(1500);
constexpr Duration kFreezeDuration =
    std::chrono::seconds(14);  // well over the lease duration and margin
constexpr Duration kRunDuration = std::chrono::seconds(10);

void run_until_accepted(SimulatedRun& run) {
  constexpr int kMaxSteps = 1000;
  for (int step = 0; step < kMaxSteps && !run.batch().all_accepted(); ++step) {
    run.cluster().run_for(std::chrono::milliseconds(10));
  }
}

void submit_jobs(SimulatedRun& run, uint32_t jobs, uint32_t items) {
  for (uint32_t job = 0; job < jobs; ++job) {
    run.batch().submit_new(items);
  }
  run_until_accepted(run);
}

RunResult run_with_paused_owners(uint64_t seed, const RunKnobs& knobs, bool cancel) {
  RunKnobs quiet = knobs;
  quiet.batch.cancel_share = 0;
  SimulatedRun run(seed, quiet);
  run.boot();
  for (const std::string& worker : run.cluster().workers()) {
    run.cluster().engine(worker)->model().faults().slow_factor = kSlowFactor;
  }
  submit_jobs(run, kJobs, kJobItems);
  run.cluster().run_for(kWarmUp);
  const std::vector<std::string>& nodes = run.cluster().nodes();
  const std::vector<std::string> paused(nodes.begin(), nodes.begin() + nodes.size() / 2);
  for (const std::string& node : paused) {
    run.cluster().freeze(node);
  }
  if (cancel) {
    run.batch().cancel_all();
  }
  run.cluster().run_for(kFreezeDuration);
  for (const std::string& node : paused) {
    run.cluster().thaw(node);
  }
  run.cluster().run_for(kRunDuration);
  run.settle();
  return run.check();
}

}  // namespace

RunResult run_paused_owners(uint64_t seed, const RunKnobs& knobs) {
  return run_with_paused_owners(seed, knobs, false);
}

RunResult run_cancel_with_paused_owners(uint64_t seed, const RunKnobs& knobs) {
  return run_with_paused_owners(seed, knobs, true);
}

RunResult run_batch_flood(uint64_t seed, const RunKnobs& knobs) {
  RunKnobs flood = knobs;
  flood.batch.max_answer_tokens = 400;  // the longest answers that the engines generate
  flood.batch.cancel_share = 0;
  flood.online.mean_interval = std::chrono::milliseconds(30);
  SimulatedRun run(seed, flood);
  run.boot();
  run.online().start();
  submit_jobs(run, 2 * kJobs, 2 * kJobItems);
  run.cluster().run_for(kRunDuration);
  run.settle();
  return run.check();
}

RunResult run_garbled_streams(uint64_t seed, const RunKnobs& knobs) {
  constexpr double kChunkFaultProbability = 0.02;
  SimulatedRun run(seed, knobs);
  run.boot();
  for (const std::string& worker : run.cluster().workers()) {
    run.cluster().engine(worker)->set_chunk_fault_probability(kChunkFaultProbability);
  }
  run.start_workloads();
  run.cluster().run_for(kRunDuration);
  for (const std::string& worker : run.cluster().workers()) {
    run.cluster().engine(worker)->set_chunk_fault_probability(0);
  }
  run.settle();
  return run.check();
}

}  // namespace chalkshed
