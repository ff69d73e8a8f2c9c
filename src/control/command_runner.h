// Executes the commands of chalkshedctl.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/control/node_caller.h"
#include "src/control/operator_command.h"
#include "src/control/terminal.h"

namespace chalkshed {

class CommandRunner {
 public:
  CommandRunner(NodeCaller& caller, Terminal& terminal) : caller_(caller), terminal_(terminal) {}

  ExitCode run(const OperatorCommand& command);

 private:
  // Progress of a wait.
  struct Progress {
    uint64_t done = 0;
    uint64_t total = 0;
    bool complete = false;
    std::string note;
  };
  using ReadProgress = std::function<Progress(const std::string& answer)>;

  ExitCode show_configuration(const OperatorCommand& command);
  ExitCode check_configuration(const OperatorCommand& command);
  ExitCode apply_configuration(const OperatorCommand& command);
  ExitCode configuration_status(const OperatorCommand& command);
  ExitCode change_worker_state(const OperatorCommand& command);
  ExitCode handle_job(const OperatorCommand& command);

  // Calls a node and prints its response as a table or as JSON.
  ExitCode list(const OperatorCommand& command, const HttpRequest& request);
  ExitCode print_answer(const OperatorCommand& command, const std::string& answer);
  ExitCode wait_for_version(const OperatorCommand& command,
                            std::optional<ConfigurationVersion> version);
  // Polls until the operation is complete or the wait limit is reached, and prints the last
  // response.
  ExitCode wait(const OperatorCommand& command, CommandKind output_kind, const HttpRequest& request,
                const std::string& label, const ReadProgress& read_progress);

  // @return the body of the node's response; on error, prints the error, sets `exit_code` and
  // returns nothing.
  std::optional<std::string> call_node(const HttpRequest& request, ExitCode& exit_code);
  ExitCode print_error(const Error& error);

  NodeCaller& caller_;
  Terminal& terminal_;
};

}  // namespace chalkshed
