// Runs the variants of an experiment on one deployment, compares them and formats the results.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "bench/informed_filler.h"
#include "bench/virtual_run.h"

namespace chalkshed::bench {

// One run with its ratios to the run without batch.
struct RunSummary {
  std::string name;
  RunRecord record;
  double first_token_p50_ratio = 0;
  double first_token_p99_ratio = 0;
  double steady_p99_ratio = 0;  // first token of requests outside of bursts
  double inter_token_p95_ratio = 0;
  double batch_fill = 0;     // fraction of the items of the informed filler
  double capacity_fill = 0;  // fraction of the upper bound for any scheduler
};

struct Experiment {
  Deployment deployment;
  size_t online_requests = 0;
  size_t batch_items = 0;
  // The first is without batch, the second uses the production scheduler; both cover all traces.
  // The others cover the first trace only.
  std::vector<RunSummary> runs;
  InformedFill informed;
  double capacity_items = 0;
};

// The runs of an experiment: without batch, with batch and, unless `brief`, with simpler policies.
std::vector<RunSettings> run_variants(const RunSettings& base, bool brief);

// Runs all variants, several in parallel. The slowest requests of a burst are few and vary
// randomly, so the two main runs cover all traces and their samples are merged.
Experiment run_experiment(const Deployment& deployment, const std::vector<Trace>& traces,
                          const std::vector<RunSettings>& variants);

void print_table(const Experiment& experiment, std::ostream& output);
// @return {"deployments": {name: {"summary", "runs"}}}.
std::string results_json(const std::vector<Experiment>& experiments);

}  // namespace chalkshed::bench
