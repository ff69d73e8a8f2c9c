/** \file
 * chalkshed-soak: runs the randomized fault soak of real processes and prints one JSON object last.
 */

#include <docopt/docopt.h>

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/soak/fleet/fleet_main.h"
#include "tests/soak/soak.h"

namespace {

constexpr const char *kUsage = R"(chalkshed-soak: random faults on real chalkshed-serve processes.

Usage:
  chalkshed-soak --program=<file> --folder=<folder> [options]

Options:
  --program=<file>    chalkshed-serve.
  --production=<file>  An older chalkshed-serve, which a deployment with upgrades starts with.
  --folder=<folder>   For settings and logs; created if it doesn't exist.
  --seed=<n>          Seed of the faults and the load [default: 1].
  --seconds=<n>       How long faults are injected, 60 if not given; 40 more follow for all to settle.
  --nodes=<n>         Number of node processes [default: 5].
  --workers=<n>       Number of workers, emulated by this program [default: 6].
  --network=<n>       Nodes listen on 127.0.<n>.1 and the addresses after it; by default derived
                      from the process id, because runs on the same addresses interfere.
  --deployment=<file>  Run the deployment of this file as processes of their own, in place of the
                      soak above: see docs/operators/soak.md. --seconds takes the place of the
                      file's length only where it is given.
  --log-level=<level>  Of the nodes of a deployment [default: info].
  --role=<role>       Of a process that such a run has started.
  --number=<n>        Of that process among those of its role [default: 0].
  --help              Show this text.
)";

unsigned network_of_process() {
    constexpr unsigned kFirst = 10;
    constexpr unsigned kNetworks = 240;
    return kFirst + static_cast<unsigned>(getpid()) % kNetworks;
}

using arguments_map = std::map<std::string, docopt::value>;

std::optional<chalkshed::Duration> length_of(const arguments_map &arguments) {
    const docopt::value &given = arguments.at("--seconds");
    return given ? std::optional<chalkshed::Duration>(std::chrono::seconds(given.asLong()))
                 : std::nullopt;
}

unsigned network_of(const arguments_map &arguments) {
    const docopt::value &network = arguments.at("--network");
    return network ? static_cast<unsigned>(network.asLong()) : network_of_process();
}

int run_deployment(const arguments_map &arguments) {
    const docopt::value &role = arguments.at("--role");
    chalkshed::soak::fleet_arguments fleet;
    fleet.file = arguments.at("--deployment").asString();
    fleet.program = arguments.at("--program").asString();
    const docopt::value &production = arguments.at("--production");
    fleet.production = production ? production.asString() : "";
    fleet.folder = arguments.at("--folder").asString();
    fleet.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    fleet.network = network_of(arguments);
    fleet.log_level = arguments.at("--log-level").asString();
    fleet.length = length_of(arguments);
    fleet.role = role ? role.asString() : "";
    fleet.number = static_cast<uint64_t>(arguments.at("--number").asLong());
    return chalkshed::soak::run_fleet(fleet);
}

} // namespace

int main(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    if (arguments.at("--deployment")) {
        return run_deployment(arguments);
    }
    chalkshed::soak::soak_options options;
    options.program = arguments.at("--program").asString();
    options.folder = arguments.at("--folder").asString();
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    options.length = length_of(arguments).value_or(std::chrono::seconds(60));
    options.nodes = static_cast<size_t>(arguments.at("--nodes").asLong());
    options.workers = static_cast<size_t>(arguments.at("--workers").asLong());
    options.network = network_of(arguments);
    std::filesystem::create_directories(options.folder);
    const chalkshed::soak::soak_result result = chalkshed::soak::soak_run(options).run();
    for (const std::string &violation : result.violations) {
        std::cout << "violation at " << violation << '\n';
    }
    chalkshed::soak::print_report(result.report, std::cout);
    const uint64_t violations = result.violations.size() + result.report.violations();
    std::cout << nlohmann::json{{"seed", options.seed},
                                {"faults", result.faults},
                                {"requests", result.requests},
                                {"answered", result.answered},
                                {"jobs", result.jobs},
                                {"items_listed", result.items_listed},
                                {"items_failed", result.items_failed},
                                {"over_limit", result.over_limit},
                                {"unknown_keys", result.unknown_keys},
                                {"violations", violations}}
                     .dump()
              << '\n';
    return violations == 0 ? 0 : 1;
}
