// chalkshed-configuration-bench: measurements cited in docs/design/configuration.md and
// policies.md.
#include <docopt/docopt.h>

#include <chrono>
#include <fstream>
#include <iostream>

#include "bench/configuration_traffic.h"
#include "src/policy/lua_policy.h"

namespace chalkshed {
namespace {

constexpr const char* kUsage = R"(chalkshed-configuration-bench: measures configuration traffic and
policies.

Usage:
  chalkshed-configuration-bench traffic [--buckets=<n>] [--nodes=<n>] [--changes=<n>]
                                        [--tenant-changes=<percent>] [--seed=<n>]
  chalkshed-configuration-bench policy <file> [--decisions=<n>]

Options:
  --buckets=<n>               Buckets that the tenants are divided into [default: 64].
  --nodes=<n>                 Nodes of the simulated cluster [default: 9].
  --changes=<n>               Changes per day [default: 2300].
  --tenant-changes=<percent>  Percentage of changes to a single tenant; 10 percent change a
                              service and the rest a policy [default: 85].
  --seed=<n>                  Random seed of the changes [default: 1].
  --decisions=<n>             Decisions to time [default: 200000].
)";

using Arguments = std::map<std::string, docopt::value>;

uint32_t number_of(const Arguments& arguments, const std::string& option) {
  return static_cast<uint32_t>(arguments.at(option).asLong());
}

int run_traffic(const Arguments& arguments) {
  ConfigurationTrafficSettings settings;
  settings.tenant_buckets = number_of(arguments, "--buckets");
  settings.nodes = number_of(arguments, "--nodes");
  settings.changes = number_of(arguments, "--changes");
  settings.tenant_changes = number_of(arguments, "--tenant-changes");
  settings.seed = number_of(arguments, "--seed");
  const ConfigurationTraffic traffic = measure_configuration_traffic(settings);
  std::cout << "{\"snapshot_bytes\": " << traffic.snapshot_bytes
            << ", \"whole_snapshots\": " << traffic.whole_snapshots
            << ", \"one_level_manifest\": " << traffic.one_level_manifest
            << ", \"two_level_manifest\": " << traffic.two_level_manifest
            << ", \"manifest_delta\": " << traffic.manifest_delta
            << ", \"calls_per_change\": " << traffic.calls_per_change
            << ", \"exchanges\": " << traffic.exchanges << ", \"installs\": " << traffic.installs
            << "}\n";
  return 0;
}

int run_policy(const Arguments& arguments) {
  std::ifstream file(arguments.at("<file>").asString());
  std::ostringstream source;
  source << file.rdbuf();
  auto policy = LuaPolicy::load("bench", source.str(), {});
  if (!policy) {
    std::cerr << policy.error().message << "\n";
    return 1;
  }
  const uint32_t decisions = number_of(arguments, "--decisions");
  RequestAttributes request;
  request.service = "service";
  request.tenant = "tenant";
  request.path = "/v1/chat/completions";
  uint32_t failures = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (uint32_t number = 0; number < decisions; ++number) {
    request.prompt_tokens = number % 1000;
    failures += (*policy)->decide(request) ? 0 : 1;
  }
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  std::cout << "{\"decisions\": " << decisions << ", \"failures\": " << failures
            << ", \"microseconds_each\": " << taken.count() * 1e6 / decisions
            << ", \"decisions_per_second\": " << decisions / taken.count() << "}\n";
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const auto arguments = docopt::docopt(chalkshed::kUsage, words);
  return arguments.at("traffic").asBool() ? chalkshed::run_traffic(arguments)
                                          : chalkshed::run_policy(arguments);
}
