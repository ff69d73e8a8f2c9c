// chalkshed-scale: runs many hollow nodes in one process, for scripts/scale.
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include "scale/hollow_process.h"
#include "src/event/socket_address.h"

namespace chalkshed {
namespace {

constexpr const char* kUsage =
    R"(chalkshed-scale: runs many hollow nodes in one process. Each performs all
roles of a node over real sockets, on its own loopback address. Controlled by scripts/scale.

Usage:
  chalkshed-scale --platform=<ip:port> --control=<ip:port> [--first=<index>] [--count=<count>]
                  [--regions=<count>] [--zones=<count>] [--port=<port>]
  chalkshed-scale --help

Options:
  --platform=<ip:port>  Address of the platform services.
  --control=<ip:port>   Address of the control interface of this process.
  --first=<index>       Index of the first node, unique across processes [default: 0].
  --count=<count>       Number of nodes in this process [default: 60].
  --regions=<count>     Number of regions, assigned round-robin [default: 8].
  --zones=<count>       Number of zones, assigned round-robin [default: 17].
  --port=<port>         UDP and TCP port of every node [default: 7600].
  --help                Show this text.
)";

using Arguments = std::map<std::string, docopt::value>;

Address parse_address_flag(const Arguments& arguments, const std::string& flag) {
  const std::string text = arguments.at(flag).asString();
  const std::optional<Address> address = parse_numeric_address(text);
  if (!address) {
    throw std::runtime_error(flag + " is not ip:port: " + text);
  }
  return *address;
}

uint32_t number_of(const Arguments& arguments, const std::string& flag) {
  return static_cast<uint32_t>(arguments.at(flag).asLong());
}

int run(const Arguments& arguments) {
  HollowSettings settings;
  settings.platform = parse_address_flag(arguments, "--platform");
  settings.control = parse_address_flag(arguments, "--control");
  settings.first_index = number_of(arguments, "--first");
  settings.count = number_of(arguments, "--count");
  settings.regions = std::max(1U, number_of(arguments, "--regions"));
  settings.zones = std::max(1U, number_of(arguments, "--zones"));
  settings.port = static_cast<uint16_t>(number_of(arguments, "--port"));
  EventDispatcher dispatcher;
  const HollowProcess process(settings, dispatcher);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    dispatcher.handle_signal(signal_number, [&] { dispatcher.stop(); });
  }
  dispatcher.run();
  return 0;
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return chalkshed::run(docopt::docopt(chalkshed::kUsage, words, true));
  } catch (const std::exception& exception) {
    std::cerr << "chalkshed-scale: " << exception.what() << '\n';
    return 1;
  }
}
