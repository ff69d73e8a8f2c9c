// chalkshedd: the node daemon.
#include <docopt/docopt.h>
#include <event2/event.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <random>

#include "src/adapters/http_engine_client.h"
#include "src/adapters/http_platform.h"
#include "src/event/event_datagram_transport.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/event_http_client.h"
#include "src/http/http_router.h"
#include "src/http/http_server.h"
#include "src/metrics/prometheus_metrics.h"
#include "src/node/node.h"
#include "src/settings/settings.h"
#include "src/transport/http_peer_transport.h"

namespace chalkshed {
namespace {

constexpr const char* kUsage = R"(chalkshedd: one node of chalkshed.

Usage:
  chalkshedd [options]

Options:
  --settings=<file>     TOML settings; see docs/operators/daemon.md. Flags override the file.
  --id=<name>           Name of this node, unique in the cluster.
  --zone=<name>         Zone of this node.
  --region=<name>       Region of this node.
  --http=<ip:port>      Address for callers, operators and peers.
  --peer=<ip:port>      UDP address for membership.
  --table=<ip:port>     Address of the platform's table service.
  --objects=<ip:port>   Address of the platform's object store.
  --machines=<ip:port>  Address of the platform's machine list.
  --log-level=<level>   debug, info, warning or error.
  --log-format=<form>   text or json.
  --check               Check the settings and exit.
  --version             Show the version.
  --help                Show this text.
)";

constexpr int kExitDrainTimedOut = 3;
constexpr int kExitSettings = 2;
constexpr int kExitSecondSignal = 4;

using Arguments = std::map<std::string, docopt::value>;

struct FlagField {
  const char* flag;
  const char* field;
};
constexpr std::array<FlagField, 10> kFlags = {{{"--id", "id"},
                                               {"--zone", "zone"},
                                               {"--region", "region"},
                                               {"--http", "listen.http"},
                                               {"--peer", "listen.peer"},
                                               {"--table", "platform.table"},
                                               {"--objects", "platform.objects"},
                                               {"--machines", "platform.machines"},
                                               {"--log-level", "log.level"},
                                               {"--log-format", "log.format"}}};

SettingsOverrides overrides_of(const Arguments& arguments) {
  SettingsOverrides overrides;
  for (const FlagField& entry : kFlags) {
    const docopt::value& value = arguments.at(entry.flag);
    if (value) {
      overrides[entry.field] = value.asString();
    }
  }
  return overrides;
}

NodeIdentity identity_of(const Settings& settings, const TimeSource& time_source) {
  NodeIdentity identity;
  identity.id = settings.id;
  identity.http_address = settings.listen.http;
  identity.peer_address = settings.listen.peer;
  identity.zone = settings.zone;
  identity.region = settings.region;
  identity.incarnation = static_cast<uint64_t>(time_source.wall_now().time_since_epoch().count());
  return identity;
}

NodeKnobs knobs_of(const Settings& settings) {
  NodeKnobs knobs;
  knobs.admin_key = settings.admin.key;
  return knobs;
}

uint64_t random_seed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

// Runs one node in a process: owns its sockets, adapters and signal handlers.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : settings_(settings),
        random_(random_seed()),
        logger_(settings.log.level, settings.log.format),
        platform_client_(dispatcher_),
        engine_http_client_(dispatcher_),
        backend_client_(dispatcher_),
        peer_http_client_(dispatcher_),
        table_(platform_client_, settings.platform.table),
        objects_(platform_client_, settings.platform.objects),
        machines_(platform_client_, settings.platform.machines),
        engines_(engine_http_client_),
        datagrams_(dispatcher_, settings.listen.peer),
        peer_client_(peer_http_client_),
        dependencies_{time_source_, dispatcher_, random_,         table_,     objects_,
                      machines_,    engines_,    backend_client_, datagrams_, peer_client_,
                      peer_server_, logger_,     metrics_},
        node_(identity_of(settings, time_source_), dependencies_, knobs_of(settings)),
        server_(dispatcher_, settings.listen.http, paths_,
                {.max_header_bytes = settings.limits.max_header_bytes,
                 .max_body_bytes = settings.limits.max_body_bytes,
                 .idle_timeout = settings.limits.idle_timeout}),
        exit_timer_(dispatcher_.create_timer([this] { exit_when_sent(); })),
        drain_timeout_(dispatcher_.create_timer([this] { abort_drain(); })) {
    paths_.add("", node_);
    paths_.add("/peer", peer_server_);
  }

  int run() {
    for (const int signal_number : {SIGTERM, SIGINT}) {
      dispatcher_.handle_signal(signal_number, [this] { on_signal(); });
    }
    node_.start();
    logger_.write(LogLevel::kInfo, "node_started",
                  {{"id", settings_.id},
                   {"http", to_string(server_.local())},
                   {"peer", to_string(datagrams_.local())},
                   {"zone", settings_.zone},
                   {"region", settings_.region}});
    dispatcher_.run();
    logger_.write(LogLevel::kInfo, "node_stopped", {{"exit_code", std::to_string(exit_code_)}});
    return exit_code_;
  }

 private:
  // The first signal starts a graceful shutdown; a second one exits immediately.
  void on_signal() {
    if (std::exchange(signalled_, true)) {
      _exit(kExitSecondSignal);
    }
    drain_timeout_->enable(settings_.limits.drain_timeout);
    node_.begin_drain([this] { exit_when_sent(); });
  }

  // Waits until the last responses have been sent after the node has drained.
  void exit_when_sent() {
    if (server_.requests_in_progress() > 0) {
      exit_timer_->enable(kExitPollInterval);
      return;
    }
    dispatcher_.stop();
  }

  void abort_drain() {
    logger_.write(LogLevel::kError, "drain_timed_out",
                  {{"requests_in_progress", std::to_string(server_.requests_in_progress())},
                   {"remedy", "raise limits.drain_timeout_seconds"}});
    exit_code_ = kExitDrainTimedOut;
    dispatcher_.stop();
  }

  static constexpr Duration kExitPollInterval = std::chrono::milliseconds(10);

  Settings settings_;
  SystemTimeSource time_source_;
  EventDispatcher dispatcher_;
  SeededRandomGenerator random_;
  StructuredLogger logger_;
  PrometheusMetricsRegistry metrics_;
  EventHttpClient platform_client_;
  EventHttpClient engine_http_client_;
  EventHttpClient backend_client_;
  EventHttpClient peer_http_client_;
  HttpTableStore table_;
  HttpObjectStore objects_;
  HttpMachineList machines_;
  HttpEngineClient engines_;
  EventDatagramTransport datagrams_;
  HttpPeerClient peer_client_;
  HttpPeerServer peer_server_;
  NodeDependencies dependencies_;
  HttpRouter paths_;
  Node node_;
  HttpServer server_;
  TimerPtr exit_timer_;
  TimerPtr drain_timeout_;
  bool signalled_ = false;
  int exit_code_ = 0;
};

int main_with(const Arguments& arguments) {
  const docopt::value& file = arguments.at("--settings");
  const auto settings = load_settings(file ? file.asString() : "", overrides_of(arguments));
  if (!settings) {
    for (const SettingsProblem& problem : settings.error()) {
      std::cerr << "chalkshedd: " << to_string(problem) << '\n';
    }
    return kExitSettings;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  Daemon daemon(*settings);
  return daemon.run();
}

}  // namespace
}  // namespace chalkshed

int main(int argc, char** argv) {
  // Writing to a connection closed by the caller must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return chalkshed::main_with(docopt::docopt(chalkshed::kUsage, words, true, "chalkshedd 0.1.0"));
  } catch (const std::exception& exception) {
    std::cerr << "chalkshedd: " << exception.what() << '\n';
    return 1;
  }
}
