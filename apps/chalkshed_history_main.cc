// chalkshed-history: checks recorded histories (JSON Lines files) against the serving guarantees.
#include <docopt.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "emulator/answer_model.h"
#include "src/history/checker.h"
#include "src/history/json_lines.h"

namespace chalkshed {
namespace {

constexpr char kUsage[] = R"(Checks recorded histories against the serving guarantees.

All files together form one history, sorted by time. Prints one violation per line, and the
counts as a JSON object on the last line. Exit status: 0 no violation, 1 violations, 2 unreadable
input.

With --answers, reads JSON objects {"model", "prompt", "max_tokens"} from standard input, one per
line, and prints the complete answer of the emulated engines to each as a JSON string.

Usage:
  chalkshed-history <file>...
  chalkshed-history --answers
  chalkshed-history (-h | --help)
)";

int check_files(const std::vector<std::string>& files) {
  std::string content;
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream) {
      std::cerr << "cannot read " << file << "; pass an existing JSON Lines file\n";
      return 2;
    }
    content += std::string(std::istreambuf_iterator<char>(stream), {});
  }
  const Expected<History> history = parse_history(content);
  if (!history) {
    std::cerr << history.error().message << ": " << history.error().remedy << "\n";
    return 2;
  }
  const CheckResult result = check_history(*history);
  nlohmann::json summary = {{"events", history->size()}, {"violations", result.violation_count()}};
  for (size_t index = 0; index < kGuaranteeCount; ++index) {
    const GuaranteeResult& guarantee = result.guarantees[index];
    const std::string name(guarantee_name(static_cast<Guarantee>(index)));
    summary["guarantees"][name] = {{"checked", guarantee.checked},
                                   {"violations", guarantee.violations.size()}};
    for (const std::string& violation : guarantee.violations) {
      std::cout << name << ": " << violation << "\n";
    }
  }
  std::cout << summary.dump() << "\n";
  return result.violation_count() == 0 ? 0 : 1;
}

int print_answers() {
  for (std::string line; std::getline(std::cin, line);) {
    const nlohmann::json request = nlohmann::json::parse(line, nullptr, false);
    if (!request.is_object()) {
      std::cerr << "not a JSON object: " << line << "\n";
      return 2;
    }
    std::string text;
    for (const std::string& token :
         expected_answer_tokens(request.value("model", ""), request.value("prompt", ""),
                                request.value("max_tokens", 0U))) {
      text += token;
    }
    std::cout << nlohmann::json(text).dump() << std::endl;
  }
  return 0;
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(chalkshed::kUsage, {argv + 1, argv + argc}, true);
  if (arguments.at("--answers").asBool()) {
    return chalkshed::print_answers();
  }
  return chalkshed::check_files(arguments.at("<file>").asStringList());
}
