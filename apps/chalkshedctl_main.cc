// chalkshedctl: the command-line tool for operators.
#include <pwd.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <thread>

#include "src/control/command_runner.h"
#include "src/event/system_time_source.h"
#include "src/http/event_http_client.h"

namespace chalkshed {
namespace {

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

std::string user_name() {
  const passwd* entry = getpwuid(getuid());
  return entry != nullptr ? entry->pw_name : environment("USER");
}

ExitCode run(OperatorCommand command) {
  if (command.author.empty()) {
    command.author = user_name();
  }
  EventDispatcher dispatcher;
  EventHttpClient client(dispatcher);
  HttpNodeCaller caller(dispatcher, client, command.nodes, command.key);
  const SystemTimeSource time_source;
  Terminal terminal{std::cout, std::cerr, isatty(STDERR_FILENO) == 1,
                    [](Duration pause) { std::this_thread::sleep_for(pause); }, time_source};
  return CommandRunner(caller, terminal).run(command);
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const chalkshed::CommandLine line = chalkshed::parse_command_line(
      words, chalkshed::environment("CHALKSHED_NODE"), chalkshed::environment("CHALKSHED_KEY"));
  if (line.command) {
    return static_cast<int>(chalkshed::run(*line.command));
  }
  (line.exit_code == chalkshed::ExitCode::kSuccess ? std::cout : std::cerr) << line.text;
  return static_cast<int>(line.exit_code);
}
