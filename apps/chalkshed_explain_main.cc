// chalkshed-explain: builds a timeline of a request, a job or a worker from the logs of several
// nodes.
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>

#include "chalkshed/request_runs.h"
#include "src/explain/timeline.h"

namespace chalkshed {
namespace {

constexpr const char* kUsage =
    R"(chalkshed-explain: shows what happened to a request, a job or a worker.

Reads the structured logs of any number of nodes (from files, or from standard input if none is
given). Prints, in order of time, the lines that contain the id (marked *) and the surrounding log
lines of the same nodes about the store, the configuration, other nodes and the workers involved.
The first line names the sender of the request that a back end received under the id.
With --runs: each send of the request or item to a worker instead, with what its node concluded of
it (answered, not run and on what proof, may have run), and how many may have run.
See docs/OPERATIONS.md.

Usage:
  chalkshed-explain [--json] <id> [<log>...]
  chalkshed-explain --runs <id> [<log>...]
  chalkshed-explain --help
  chalkshed-explain --version

Options:
  --json     Print one JSON object per line.
  --runs     Print the runs of a request or item.
  --version  Show the version.
  --help     Show this text.
)";

constexpr int kExitNothingFound = 1;
constexpr int kExitUnreadable = 2;

void read_lines(std::istream& input, std::vector<LogLine>& lines) {
  std::string text;
  while (std::getline(input, text)) {
    if (std::optional<LogLine> line = parse_log_line(text)) {
      lines.push_back(std::move(*line));
    }
  }
}

int main_with(const std::map<std::string, docopt::value>& arguments) {
  std::vector<LogLine> lines;
  for (const std::string& path : arguments.at("<log>").asStringList()) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "chalkshed-explain: cannot read " << path
                << "; check its name and permissions\n";
      return kExitUnreadable;
    }
    read_lines(file, lines);
  }
  if (arguments.at("<log>").asStringList().empty()) {
    read_lines(std::cin, lines);
  }
  const std::string id = arguments.at("<id>").asString();
  if (arguments.at("--runs").asBool()) {
    std::cout << describe_origin(lines, id) << '\n';
    const std::vector<request_run> runs = find_runs(std::move(lines), id);
    print_runs(runs, std::cout);
    return runs.empty() ? kExitNothingFound : 0;
  }
  const std::vector<LogLine> timeline = make_timeline(lines, id);
  if (timeline.empty()) {
    std::cerr << "chalkshed-explain: " << describe_origin(lines, id)
              << "; pass the logs of all nodes, starting before the request was sent\n";
    return kExitNothingFound;
  }
  if (arguments.at("--json").asBool()) {
    print_timeline_json(timeline, std::cout);
  } else {
    std::cout << describe_origin(lines, id) << '\n';
    print_timeline(timeline, std::cout);
  }
  return 0;
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return chalkshed::main_with(
        docopt::docopt(chalkshed::kUsage, words, true, "chalkshed-explain 0.1.0"));
  } catch (const std::exception& exception) {
    std::cerr << "chalkshed-explain: " << exception.what() << '\n';
    return 1;
  }
}
