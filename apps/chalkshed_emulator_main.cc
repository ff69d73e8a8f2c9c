// chalkshed-emulator: runs emulated workers, back ends and platform services in one process.
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include "emulator/fleet.h"
#include "src/adapters/platform_codec.h"
#include "src/event/system_time_source.h"

namespace chalkshed {
namespace {

constexpr const char* kUsage = R"(chalkshed-emulator: emulates model workers, plain back ends and
platform services (table, objects, machine list) for development and tests.

Usage:
  chalkshed-emulator --settings=<file> [--check]
  chalkshed-emulator [--control=<ip:port>] [--workers=<count>] [--first-port=<port>]
                     [--service=<name>] [--models=<names>] [--backends=<count>]
                     [--backend-service=<name>] [--zones=<names>] [--seed=<number>]
  chalkshed-emulator --help

Options:
  --settings=<file>         TOML settings; see docs/operators/emulator.md.
  --check                   Check the settings and exit.
  --control=<ip:port>       Address of the platform services and of /faults
                            [default: 127.0.0.1:7300].
  --workers=<count>         Number of model workers [default: 3].
  --first-port=<port>       Port of the first worker; the back ends use the ports after
                            those of the workers [default: 7400].
  --service=<name>          Service of the workers [default: lm].
  --models=<names>          Comma-separated loaded models; empty: accept any name
                            [default: ].
  --backends=<count>        Number of plain back ends [default: 0].
  --backend-service=<name>  Service of the back ends [default: plain].
  --zones=<names>           Comma-separated zones [default: zone-1,zone-2,zone-3].
  --seed=<number>           Random seed [default: 1].
  --help                    Show this text.
)";

std::vector<std::string> split_commas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

using Arguments = std::map<std::string, docopt::value>;

FleetSettings settings_from_flags(const Arguments& arguments) {
  FleetSettings settings;
  settings.control = decode_address(arguments.at("--control").asString());
  settings.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
  settings.engine.models = split_commas(arguments.at("--models").asString());
  MachineGroup workers;
  workers.service = arguments.at("--service").asString();
  workers.count = static_cast<uint32_t>(arguments.at("--workers").asLong());
  workers.zones = split_commas(arguments.at("--zones").asString());
  workers.first_address = {settings.control.ip,
                           static_cast<uint16_t>(arguments.at("--first-port").asLong())};
  MachineGroup backends = workers;
  backends.role = MachineRole::kBackend;
  backends.service = arguments.at("--backend-service").asString();
  backends.count = static_cast<uint32_t>(arguments.at("--backends").asLong());
  backends.first_address.port = static_cast<uint16_t>(workers.first_address.port + workers.count);
  settings.groups = {workers, backends};
  return settings;
}

int run(const FleetSettings& settings) {
  SystemTimeSource time_source;
  EventDispatcher dispatcher;
  const Fleet fleet(settings, time_source, dispatcher);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    dispatcher.handle_signal(signal_number, [&] { dispatcher.stop(); });
  }
  std::cout << "chalkshed-emulator: control on " << to_string(settings.control) << std::endl;
  dispatcher.run();
  return 0;
}

int main_with(const Arguments& arguments) {
  Expected<FleetSettings> settings;
  if (arguments.at("--settings")) {
    settings = load_fleet_settings(arguments.at("--settings").asString());
  } else {
    settings = settings_from_flags(arguments);
  }
  if (!settings) {
    std::cerr << "chalkshed-emulator: " << settings.error().message << "; "
              << settings.error().remedy << '\n';
    return 2;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return run(*settings);
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return chalkshed::main_with(docopt::docopt(chalkshed::kUsage, words));
  } catch (const std::exception& exception) {
    std::cerr << "chalkshed-emulator: " << exception.what() << '\n';
    return 1;
  }
}
