// chalkshed-bench: replays seeded traces with and without batch work and prints the measurements.
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>

#include "bench/experiment.h"
#include "bench/knob_overrides.h"
#include "bench/live_bench.h"
#include "src/adapters/platform_codec.h"

namespace chalkshed::bench {
namespace {

constexpr const char* kUsage = R"(chalkshed-bench: replays seeded traces of the two reference
deployments with and without batch work, and with simpler algorithms for comparison.

Usage:
  chalkshed-bench [--seed=<number>] [--traces=<count>] [--seconds=<number>]
                  [--deployment=<name>] [--brief] [--json=<file>] [--set=<assignment>]...
  chalkshed-bench live --node=<ip:port> --worker=<ip:port> --model=<name> --service=<name>
                  --online-key=<key> --batch-key=<key> [--node-process=<pid>]
  chalkshed-bench --help

Options:
  --seed=<number>      Seed of the trace and of all random choices [default: 1].
  --traces=<count>     Number of traces whose results are merged [default: 4].
  --seconds=<number>   Length of the trace in virtual time [default: 60].
  --deployment=<name>  Run only this deployment, by its number of workers: 12 or 18.
  --brief              Run only the variants without and with batch work.
  --json=<file>        Write the results to this file.
  --set=<assignment>   Override a parameter of all runs, as name=number; see
                       bench/knob_overrides.cc.
  live                 Measure running processes and print one JSON object.
  --node=<ip:port>     Node to measure.
  --worker=<ip:port>   Engine to send requests to directly.
  --model=<name>       Model to request.
  --service=<name>     Plain service whose latency is measured.
  --online-key=<key>   API key of a tenant without limits.
  --batch-key=<key>    API key of the tenant that submits batches.
  --node-process=<pid> Process id of the node, for its CPU time [default: 0].
  --help               Show this text.
)";

// Trace i of a run has the seed kSeedStride * (seed of the run) + i.
constexpr uint64_t kSeedStride = 1000;

struct Options {
  uint64_t seed = 1;
  uint64_t traces = 1;
  TraceKnobs trace;
  bool brief = false;
  std::vector<std::string> overrides;
};

Experiment run_deployment(Deployment deployment, const Options& options) {
  RunSettings base;
  base.seed = options.seed;
  for (const std::string& assignment : options.overrides) {
    if (const std::optional<Error> error = apply_override(assignment, base, deployment)) {
      throw std::invalid_argument(error->message + "; " + error->remedy);
    }
  }
  std::vector<Trace> traces;
  for (uint64_t number = 0; number < options.traces; ++number) {
    traces.push_back(make_trace(deployment, options.trace, options.seed * kSeedStride + number));
  }
  Experiment experiment = run_experiment(deployment, traces, run_variants(base, options.brief));
  print_table(experiment, std::cout);
  return experiment;
}

int run_live_with(const std::map<std::string, docopt::value>& arguments) {
  LiveSettings settings;
  settings.node = decode_address(arguments.at("--node").asString());
  settings.worker = decode_address(arguments.at("--worker").asString());
  settings.model = arguments.at("--model").asString();
  settings.plain_service = arguments.at("--service").asString();
  settings.online_key = arguments.at("--online-key").asString();
  settings.batch_key = arguments.at("--batch-key").asString();
  settings.node_process = static_cast<int>(arguments.at("--node-process").asLong());
  std::cout << run_live(settings) << '\n';
  return 0;
}

int main_with(const std::map<std::string, docopt::value>& arguments) {
  if (arguments.at("live").asBool()) {
    return run_live_with(arguments);
  }
  Options options;
  options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
  options.traces = static_cast<uint64_t>(arguments.at("--traces").asLong());
  options.trace.length = std::chrono::seconds(arguments.at("--seconds").asLong());
  options.brief = arguments.at("--brief").asBool();
  options.overrides = arguments.at("--set").asStringList();
  const docopt::value& only = arguments.at("--deployment");
  std::vector<Experiment> experiments;
  for (const Deployment& deployment : {throughput_deployment(), tail_deployment()}) {
    if (!only || only.asString() == std::to_string(deployment.workers)) {
      experiments.push_back(run_deployment(deployment, options));
    }
  }
  if (const docopt::value& path = arguments.at("--json")) {
    std::ofstream(path.asString()) << results_json(experiments) << '\n';
  }
  return 0;
}

}  // namespace
}  // namespace chalkshed::bench

int main(int argc, char** argv) {
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return chalkshed::bench::main_with(docopt::docopt(chalkshed::bench::kUsage, words));
  } catch (const std::exception& exception) {
    std::cerr << "chalkshed-bench: " << exception.what() << '\n';
    return 1;
  }
}
