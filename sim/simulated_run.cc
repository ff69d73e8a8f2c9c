#include "sim/simulated_run.h"

#include "src/core/digest.h"
#include "src/history/json_lines.h"

namespace chalkshed {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kBootLimit = std::chrono::seconds(60);
constexpr Duration kHealLimit = std::chrono::seconds(200);
constexpr Duration kFinalReadLimit = std::chrono::seconds(60);
constexpr Duration kRestartPause = std::chrono::seconds(1);
constexpr Duration kConfigurationSpread = std::chrono::seconds(15);

}  // namespace

RunKnobs::RunKnobs() {
  cluster.engine.max_running_sequences = 8;
  BatchKnobs& batch_role = cluster.node.roles.batch;
  batch_role.lease_duration = std::chrono::seconds(5);
  batch_role.lease_renewal_interval = std::chrono::seconds(1);
  batch_role.lease_margin = std::chrono::seconds(1);
  batch_role.idle_chunk_release = std::chrono::seconds(5);
  batch_role.min_chunk_items = 4;
}

SimulatedRun::SimulatedRun(uint64_t seed, const RunKnobs& knobs)
    : knobs_(knobs),
      random_(seed),
      cluster_(random_.next(), knobs.cluster),
      online_(cluster_, random_.next(), knobs.online),
      batch_(cluster_, random_.next(), knobs.batch),
      operators_(cluster_, random_.next(), knobs.operators),
      faults_(cluster_, operators_, random_.next()) {}

bool SimulatedRun::run_until(Duration limit, const std::function<bool()>& condition) {
  for (Duration waited{0}; waited < limit && !condition(); waited += kPollInterval) {
    cluster_.run_for(kPollInterval);
  }
  return condition();
}

void SimulatedRun::boot() {
  bool accepted = false;
  operators_.apply_initial_configuration([&accepted] { accepted = true; });
  run_until(kBootLimit, [&] {
    return accepted &&
           std::all_of(cluster_.nodes().begin(), cluster_.nodes().end(),
                       [this](const std::string& name) { return cluster_.node(name)->serves(); });
  });
}

void SimulatedRun::start_workloads() {
  online_.start();
  batch_.start();
  operators_.start();
}

void SimulatedRun::inject_faults() {
  const Duration range = knobs_.max_fault_gap - knobs_.min_fault_gap;
  while (faults_.injected() < knobs_.faults) {
    const auto extra = random_.below(static_cast<uint64_t>(range.count()));
    cluster_.run_for(knobs_.min_fault_gap + Duration(static_cast<int64_t>(extra)));
    faults_.inject_random(knobs_.max_fault_duration);
    if (random_.unit() < knobs_.double_fault_share) {
      faults_.inject_random(knobs_.max_fault_duration);
    }
  }
}

void SimulatedRun::rolling_restart() {
  run_until(kHealLimit, [this] { return faults_.healed(); });
  const auto restart = [this](const std::vector<std::string>& names, uint64_t first) {
    const std::string& name = names[first % names.size()];
    cluster_.stop(name);
    run_until(kHealLimit, [&] { return !cluster_.running(name); });
    cluster_.start(name);
    cluster_.run_for(kRestartPause);
  };
  const uint64_t first = random_.next();
  for (uint32_t index = 0; index < knobs_.restarted_nodes; ++index) {
    restart(cluster_.nodes(), first % cluster_.nodes().size() + index);
  }
  for (uint32_t index = 0; index < knobs_.restarted_workers; ++index) {
    restart(cluster_.workers(), first % cluster_.workers().size() + index);
  }
}

void SimulatedRun::settle() {
  run_until(kHealLimit, [this] { return faults_.healed(); });
  online_.stop();
  batch_.stop();
  operators_.stop();
  run_until(knobs_.settle_limit, [this] { return online_.settled() && batch_.settled(); });
  cluster_.run_for(kConfigurationSpread);
  cluster_.recorder().record(Quiescent{});
  batch_.read_all_outputs();
  run_until(kFinalReadLimit, [this] { return batch_.all_outputs_read(); });
}

RunResult SimulatedRun::check() {
  RunResult result;
  result.history = cluster_.recorder().history();
  result.check = check_history(result.history);
  result.faults = faults_.injected();
  result.operations = online_.operations() + batch_.operations() + operators_.operations();
  return result;
}

RunResult run_seed(uint64_t seed, const RunKnobs& knobs) {
  SimulatedRun run(seed, knobs);
  run.boot();
  run.start_workloads();
  run.inject_faults();
  run.rolling_restart();
  run.settle();
  return run.check();
}

std::string history_digest(const History& history) {
  std::string content;
  for (const Event& event : history) {
    content += format_event(event);
    content += '\n';
  }
  return content_digest(content);
}

}  // namespace chalkshed
