// Parses the command line of chalkshedctl.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/configuration/configuration.h"
#include "src/control/exit_code.h"
#include "src/core/address.h"
#include "src/core/time.h"

namespace chalkshed {

enum class CommandKind {
  kListServices,
  kListPolicies,
  kListNodes,
  kShowConfiguration,
  kCheckConfiguration,
  kApplyConfiguration,
  kConfigurationStatus,
  kConfigurationHistory,
  kListWorkers,
  kDrainWorker,
  kRestoreWorker,
  kListJobs,
  kShowJob,
  kCancelJob,
  kListQuarantine,
  kReleaseContent,
  kListItems,
};

struct OperatorCommand {
  CommandKind kind = CommandKind::kListNodes;
  std::vector<Address> nodes;                   // tried in this order until one can be reached
  std::vector<std::string> paths;               // configuration files and folders
  std::string name;                             // worker, job or content
  std::optional<ConfigurationVersion> version;  // of a configuration; for apply: the base
  std::optional<uint64_t> limit;                // entries of a history
  std::string author;
  std::string comment;
  std::string key;       // operators' key; may be empty
  bool secrets = false;  // show API keys
  bool wait = false;
  Duration wait_limit = std::chrono::seconds(60);
  bool json = false;
};

// Either a command, or the text to print instead and the exit code.
struct CommandLine {
  std::optional<OperatorCommand> command;
  std::string text;
  ExitCode exit_code = ExitCode::kSuccess;
};

// @param arguments command line arguments without the program name.
// @param default_nodes node addresses used without --node; empty for the built-in default.
// @param default_key operators' key used without --key.
CommandLine parse_command_line(const std::vector<std::string>& arguments,
                               const std::string& default_nodes,
                               const std::string& default_key = "");

}  // namespace chalkshed
