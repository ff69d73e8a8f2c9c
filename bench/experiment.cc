#include "bench/experiment.h"

#include <atomic>
#include <iomanip>
#include <limits>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "bench/cluster_run.h"
#include "bench/upper_bound.h"

namespace chalkshed::bench {
namespace {

using nlohmann::json;

RunSummary summarise(const std::string& name, RunRecord record, const RunRecord& base) {
  const auto ratio = [&](const std::vector<double> RunRecord::*samples, double fraction) {
    return percentile(record.*samples, fraction) / percentile(base.*samples, fraction);
  };
  RunSummary summary;
  summary.name = name;
  summary.first_token_p50_ratio = ratio(&RunRecord::first_token_ms, 0.5);
  summary.first_token_p99_ratio = ratio(&RunRecord::first_token_ms, 0.99);
  summary.steady_p99_ratio = ratio(&RunRecord::steady_first_token_ms, 0.99);
  summary.inter_token_p95_ratio = ratio(&RunRecord::inter_token_ms, 0.95);
  summary.record = std::move(record);
  return summary;
}

// Latency percentiles as [fraction, milliseconds] pairs.
json curve(const std::vector<double>& samples) {
  json points = json::array();
  for (const double fraction : {0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98,
                                0.99, 0.995, 0.999, 1.0}) {
    points.push_back({fraction, percentile(samples, fraction)});
  }
  return points;
}

json run_json(const RunSummary& run) {
  const RunRecord& record = run.record;
  return {{"name", run.name},
          {"online_p50_ms", percentile(record.first_token_ms, 0.5)},
          {"online_p99_ms", percentile(record.first_token_ms, 0.99)},
          {"online_p50_ratio", run.first_token_p50_ratio},
          {"online_p99_ratio", run.first_token_p99_ratio},
          {"steady_p99_ratio", run.steady_p99_ratio},
          {"inter_token_p95_ratio", run.inter_token_p95_ratio},
          {"batch_fill", run.batch_fill},
          {"batch_capacity_fill", run.capacity_fill},
          {"batch_items", record.batch_completed},
          {"batch_revoked", record.batch_revoked},
          {"preemptions", record.engines.preemptions},
          {"online_refused", record.online_refused},
          {"online_failed", record.online_failed},
          {"first_token_ms", curve(record.first_token_ms)},
          {"inter_token_ms", curve(record.inter_token_ms)}};
}

json summary_json(const Experiment& experiment) {
  const RunSummary& product = experiment.runs.at(1);
  return {{"online_p99_ratio", product.first_token_p99_ratio},
          {"online_p50_ratio", product.first_token_p50_ratio},
          {"steady_p99_ratio", product.steady_p99_ratio},
          {"inter_token_p95_ratio", product.inter_token_p95_ratio},
          {"batch_fill", product.batch_fill},
          {"batch_capacity_fill", product.capacity_fill},
          {"informed_items", experiment.informed.items},
          {"capacity_items", experiment.capacity_items}};
}

// One run of one trace. The first task is the first variant on the first trace.
struct Task {
  size_t variant = 0;  // kBoundsRun: router-only run that the bounds are computed from
  size_t trace = 0;
};
constexpr size_t kBoundsRun = std::numeric_limits<size_t>::max();
constexpr size_t kMainRuns = 2;

std::vector<Task> make_tasks(size_t variants, size_t traces) {
  std::vector<Task> tasks;
  for (size_t trace = 0; trace < traces; ++trace) {
    const size_t count = trace == 0 ? variants : std::min(variants, kMainRuns);
    for (size_t variant = 0; variant < count; ++variant) {
      tasks.push_back({variant, trace});
    }
    tasks.push_back({kBoundsRun, trace});
  }
  return tasks;
}

void run_tasks(size_t count, const std::function<void(size_t)>& run) {
  const size_t threads_at_once = std::max(1U, std::thread::hardware_concurrency() / 2);
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> threads;
  for (size_t thread = 0; thread < std::min(threads_at_once, count); ++thread) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < count; index = next++) {
        run(index);
      }
    });
  }
}

RunRecord run_for_bounds(const Deployment& deployment, const Trace& trace, RunSettings settings) {
  settings.batch = false;
  return run_virtually(deployment, trace, settings);
}

}  // namespace

std::vector<RunSettings> run_variants(const RunSettings& base, bool brief) {
  std::vector<RunSettings> all;
  const auto add = [&](std::string name) -> RunSettings& {
    all.push_back(base);
    all.back().name = std::move(name);
    return all.back();
  };
  add("without batch").batch = false;
  add("with batch");
  if (brief) {
    return all;
  }
  add("batch never yields").routing.window.policy = BatchPolicy::kGreedy;
  add("fixed batch share").routing.window.policy = BatchPolicy::kFixedShare;
  add("random choice").routing.choice.policy = ChoicePolicy::kRandom;
  add("round robin").routing.choice.policy = ChoicePolicy::kRoundRobin;
  add("two choices").routing.choice.policy = ChoicePolicy::kTwoChoices;
  return all;
}

Experiment run_experiment(const Deployment& deployment, const std::vector<Trace>& traces,
                          const std::vector<RunSettings>& variants) {
  const std::vector<Task> tasks = make_tasks(variants.size(), traces.size());
  std::vector<RunRecord> records(tasks.size());
  run_tasks(tasks.size(), [&](size_t index) {
    const Task& task = tasks[index];
    records[index] = task.variant == kBoundsRun
                         ? run_for_bounds(deployment, traces[task.trace], variants.front())
                         : run_on_cluster(deployment, traces[task.trace], variants[task.variant]);
  });

  Experiment experiment;
  experiment.deployment = deployment;
  double first_informed_items = 0;
  double first_capacity_items = 0;
  std::vector<RunRecord> merged(variants.size());
  RunRecord first_base;
  const EngineSettings& engine = variants.front().engine;
  for (size_t index = 0; index < tasks.size(); ++index) {
    const Trace& trace = traces[tasks[index].trace];
    if (tasks[index].variant != kBoundsRun) {
      merge(merged[tasks[index].variant], records[index]);
      if (index == 0) {
        first_base = records[index];
      }
      continue;
    }
    const InformedFill fill = fill_informed(deployment, trace, records[index], engine);
    const double capacity = capacity_bound(deployment, trace, records[index], engine);
    experiment.informed.items += fill.items;
    experiment.informed.first_token_p99_ms =
        std::max(experiment.informed.first_token_p99_ms, fill.first_token_p99_ms);
    experiment.capacity_items += capacity;
    if (tasks[index].trace == 0) {
      first_informed_items = fill.items;
      first_capacity_items = capacity;
    }
    experiment.online_requests += trace.online.size();
    experiment.batch_items += trace.batch_submissions.size() * deployment.heap_items;
  }
  for (size_t variant = 0; variant < variants.size(); ++variant) {
    const bool main = variant < kMainRuns;
    const auto items = static_cast<double>(merged[variant].batch_completed);
    RunSummary run =
        summarise(variants[variant].name, merged[variant], main ? merged.front() : first_base);
    run.batch_fill = items / (main ? experiment.informed.items : first_informed_items);
    run.capacity_fill = items / (main ? experiment.capacity_items : first_capacity_items);
    experiment.runs.push_back(std::move(run));
  }
  return experiment;
}

void print_table(const Experiment& experiment, std::ostream& output) {
  output << experiment.deployment.name << ": " << experiment.online_requests << " online requests, "
         << experiment.batch_items << " batch items; informed filler "
         << std::llround(experiment.informed.items) << " items (p99 " << std::fixed
         << std::setprecision(2) << experiment.informed.first_token_p99_ms << " ms), capacity "
         << std::llround(experiment.capacity_items) << " items\n";
  output << std::left << std::setw(20) << "run" << std::right;
  for (const char* column : {"p50 ms", "p99 ms", "gap95", "p50 x", "p99 x", "st99 x", "gap95 x",
                             "items", "fill", "of cap.", "revoked", "preempt", "refused"}) {
    output << std::setw(9) << column;
  }
  output << '\n';
  for (const RunSummary& run : experiment.runs) {
    const RunRecord& record = run.record;
    output << std::left << std::setw(20) << run.name << std::right << std::setprecision(2)
           << std::setw(9) << percentile(record.first_token_ms, 0.5) << std::setw(9)
           << percentile(record.first_token_ms, 0.99) << std::setw(9)
           << percentile(record.inter_token_ms, 0.95) << std::setprecision(3) << std::setw(9)
           << run.first_token_p50_ratio << std::setw(9) << run.first_token_p99_ratio << std::setw(9)
           << run.steady_p99_ratio << std::setw(9) << run.inter_token_p95_ratio << std::setw(9)
           << record.batch_completed << std::setw(9) << run.batch_fill << std::setw(9)
           << run.capacity_fill << std::setw(9) << record.batch_revoked << std::setw(9)
           << record.engines.preemptions << std::setw(9)
           << record.online_refused + record.online_failed << '\n';
  }
}

std::string results_json(const std::vector<Experiment>& experiments) {
  json deployments;
  for (const Experiment& experiment : experiments) {
    json runs = json::array();
    for (const RunSummary& run : experiment.runs) {
      runs.push_back(run_json(run));
    }
    deployments[experiment.deployment.name] = {{"summary", summary_json(experiment)},
                                               {"runs", std::move(runs)}};
  }
  return json{{"deployments", std::move(deployments)}}.dump();
}

}  // namespace chalkshed::bench
