/** \file
 * chalkshed-soak: runs the randomized fault soak of real processes and prints one JSON object last.
 */

#include <docopt/docopt.h>

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/soak/soak.h"

namespace {

constexpr const char *kUsage = R"(chalkshed-soak: random faults on real chalkshed-serve processes.

Usage:
  chalkshed-soak --program=<file> --folder=<folder> [options]

Options:
  --program=<file>    chalkshed-serve.
  --folder=<folder>   For settings and logs; made if it isn't there.
  --seed=<n>          Of the faults and the load [default: 1].
  --seconds=<n>       How long faults come; 40 more follow in which all must settle [default: 60].
  --nodes=<n>         Processes [default: 5].
  --workers=<n>       Workers, served by this program [default: 6].
  --network=<n>       Nodes listen on 127.0.<n>.1 and on; by default chosen by the process id,
                      because two runs on the same addresses disturb each other.
  --help              Show this text.
)";

unsigned network_of_process() {
    constexpr unsigned kFirst = 10;
    constexpr unsigned kNetworks = 240;
    return kFirst + static_cast<unsigned>(getpid()) % kNetworks;
}

} // namespace

int main(int argc, char **argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    chalkshed::soak::soak_options options;
    options.program = arguments.at("--program").asString();
    options.folder = arguments.at("--folder").asString();
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    options.length = std::chrono::seconds(arguments.at("--seconds").asLong());
    options.nodes = static_cast<size_t>(arguments.at("--nodes").asLong());
    options.workers = static_cast<size_t>(arguments.at("--workers").asLong());
    const docopt::value &network = arguments.at("--network");
    options.network = network ? static_cast<unsigned>(network.asLong()) : network_of_process();
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
