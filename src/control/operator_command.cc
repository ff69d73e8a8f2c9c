#include "src/control/operator_command.h"

#include <docopt/docopt.h>

#include <charconv>
#include <sstream>

namespace chalkshed {
namespace {

constexpr const char* kDefaultNode = "127.0.0.1:8080";

constexpr const char* kUsage = R"(chalkshedctl: operate a chalkshed cluster.

Usage:
  chalkshedctl services [options]
  chalkshedctl policies [options]
  chalkshedctl nodes [options]
  chalkshedctl configuration show [--version=<n>] [--secrets] [options]
  chalkshedctl configuration check <path>... [options]
  chalkshedctl configuration apply <path>... [--base-version=<n>] [--comment=<text>]
                                   [--author=<name>] [--wait] [options]
  chalkshedctl configuration status [--version=<n>] [--wait] [options]
  chalkshedctl configuration history [--limit=<n>] [options]
  chalkshedctl workers list [options]
  chalkshedctl workers drain <name> [--wait] [options]
  chalkshedctl workers restore <name> [options]
  chalkshedctl jobs list [options]
  chalkshedctl jobs show <name> [--wait] [options]
  chalkshedctl jobs cancel <name> [--wait] [options]
  chalkshedctl quarantine list [options]
  chalkshedctl quarantine release <name> [options]
  chalkshedctl items [options]
  chalkshedctl --help

Options:
  --node=<addresses>    ip:port of a node, or several separated by commas, tried in this order until
                        one can be reached. Default: $CHALKSHED_NODE, or 127.0.0.1:8080.
  --key=<key>           The operators' key, [admin] key of the nodes' settings. Flags are
                        visible to other users in the process list; $CHALKSHED_KEY, the default, is
                        not.
  --json                Print the node's JSON response instead of a table.
  --wait                Wait until the change is complete, with a progress bar on a terminal.
  --timeout=<seconds>   Time limit of --wait [default: 60].
  --version=<n>         Version to show or to wait for; the newest unless given.
  --secrets             Show API keys; otherwise they are replaced by (kept:<tenant>), which keeps
                        the key when it is applied.
  --base-version=<n>    Version that the text was edited from; the text's own `version` unless given.
  --comment=<text>      Reason for the change; stored in the history.
  --author=<name>       Author of the change; stored in the history. Default: the user's name.
  --limit=<n>           Entries of the history [default: 20].
  --help                Show this text.

Exit codes: 0 done, 1 refused (nothing changed), 2 wrong usage or file, 3 conflict with another
operator, 4 no node reachable, 5 wait timed out, 6 outcome unknown.
)";

using Arguments = std::map<std::string, docopt::value>;

struct Pattern {
  const char* group;
  const char* verb;
  CommandKind kind;
};

constexpr std::array<Pattern, 17> kPatterns = {{
    {"services", "", CommandKind::kListServices},
    {"policies", "", CommandKind::kListPolicies},
    {"nodes", "", CommandKind::kListNodes},
    {"configuration", "show", CommandKind::kShowConfiguration},
    {"configuration", "check", CommandKind::kCheckConfiguration},
    {"configuration", "apply", CommandKind::kApplyConfiguration},
    {"configuration", "status", CommandKind::kConfigurationStatus},
    {"configuration", "history", CommandKind::kConfigurationHistory},
    {"workers", "list", CommandKind::kListWorkers},
    {"workers", "drain", CommandKind::kDrainWorker},
    {"workers", "restore", CommandKind::kRestoreWorker},
    {"jobs", "list", CommandKind::kListJobs},
    {"jobs", "show", CommandKind::kShowJob},
    {"jobs", "cancel", CommandKind::kCancelJob},
    {"quarantine", "list", CommandKind::kListQuarantine},
    {"quarantine", "release", CommandKind::kReleaseContent},
    {"items", "", CommandKind::kListItems},
}};

bool is_set(const Arguments& arguments, const std::string& word) {
  const auto found = arguments.find(word);
  return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

std::string text_of(const Arguments& arguments, const std::string& word) {
  const auto found = arguments.find(word);
  return found != arguments.end() && found->second.isString() ? found->second.asString() : "";
}

CommandLine usage_error(const std::string& problem) {
  return {std::nullopt, "chalkshedctl: " + problem + "\n", ExitCode::kUsage};
}

std::optional<uint64_t> parse_integer(const std::string& text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, code] = std::from_chars(text.data(), end, number);
  return code == std::errc() && parsed_end == end ? std::optional(number) : std::nullopt;
}

std::optional<Address> address_of(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = parse_integer(text.substr(colon + 1));
  if (!port || *port == 0 || *port > 65535) {
    return std::nullopt;
  }
  return Address{text.substr(0, colon), static_cast<uint16_t>(*port)};
}

std::optional<CommandKind> kind_of(const Arguments& arguments) {
  for (const Pattern& pattern : kPatterns) {
    const bool verb = *pattern.verb == '\0' || is_set(arguments, pattern.verb);
    if (is_set(arguments, pattern.group) && verb) {
      return pattern.kind;
    }
  }
  return std::nullopt;
}

// Reads an integer option. @return the problem if it is invalid.
std::optional<std::string> read_number(const Arguments& arguments, const std::string& option,
                                       std::optional<uint64_t>& target) {
  const std::string text = text_of(arguments, option);
  if (text.empty()) {
    return std::nullopt;
  }
  target = parse_integer(text);
  if (!target) {
    return option + " is \"" + text + "\"; write an integer";
  }
  return std::nullopt;
}

std::optional<std::string> read_nodes(const std::string& text, std::vector<Address>& nodes) {
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    const auto address = address_of(part);
    if (!address) {
      return "\"" + part + "\" is not the address of a node; write ip:port, e.g. " + kDefaultNode;
    }
    nodes.push_back(*address);
  }
  return std::nullopt;
}

CommandLine command_of(const Arguments& arguments, const std::string& default_nodes,
                       const std::string& default_key) {
  OperatorCommand command;
  command.kind = kind_of(arguments).value_or(CommandKind::kListNodes);
  std::string nodes = text_of(arguments, "--node");
  if (nodes.empty()) {
    nodes = default_nodes.empty() ? kDefaultNode : default_nodes;
  }
  if (const auto problem = read_nodes(nodes, command.nodes)) {
    return usage_error(*problem);
  }
  std::optional<uint64_t> seconds;
  for (const auto& [option, target] :
       {std::pair{"--version", &command.version}, std::pair{"--base-version", &command.version},
        std::pair{"--limit", &command.limit}, std::pair{"--timeout", &seconds}}) {
    if (const auto problem = read_number(arguments, option, *target)) {
      return usage_error(*problem);
    }
  }
  command.wait_limit = std::chrono::seconds(seconds.value_or(60));
  if (const auto paths = arguments.find("<path>");
      paths != arguments.end() && paths->second.isStringList()) {
    command.paths = paths->second.asStringList();
  }
  command.name = text_of(arguments, "<name>");
  command.author = text_of(arguments, "--author");
  command.comment = text_of(arguments, "--comment");
  command.key = text_of(arguments, "--key");
  if (command.key.empty()) {
    command.key = default_key;
  }
  command.secrets = is_set(arguments, "--secrets");
  command.wait = is_set(arguments, "--wait");
  command.json = is_set(arguments, "--json");
  return {command, "", ExitCode::kSuccess};
}

}  // namespace

CommandLine parse_command_line(const std::vector<std::string>& arguments,
                               const std::string& default_nodes, const std::string& default_key) {
  try {
    return command_of(docopt::docopt_parse(kUsage, arguments, true, false), default_nodes,
                      default_key);
  } catch (const docopt::DocoptExitHelp&) {
    return {std::nullopt, kUsage, ExitCode::kSuccess};
  } catch (const docopt::DocoptArgumentError& failure) {
    return usage_error(std::string(failure.what()) + "\nTry chalkshedctl --help");
  }
}

}  // namespace chalkshed
