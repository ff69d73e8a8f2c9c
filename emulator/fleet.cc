#include "emulator/fleet.h"

#include <nlohmann/json.hpp>

#include "src/adapters/error_codec.h"
#include "src/adapters/platform_codec.h"

namespace chalkshed {
namespace {

using nlohmann::json;

Error invalid(std::string message) {
  return not_run(ErrorKind::kInvalidRequest, std::move(message),
                 "see docs/operators/emulator.md for the list of faults");
}

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

void read_milliseconds(const json& value, Duration& duration) {
  duration = Duration(static_cast<int64_t>(value.get<double>() * 1000));
}

void apply_service_fault(ServiceFaults& faults, const std::string& name, const json& value) {
  if (name == "outage") {
    faults.outage = value.get<bool>();
  } else if (name == "slowness") {
    faults.slowness = value.get<double>();
  } else if (name == "lost_answer_probability") {
    faults.lost_answer_probability = value.get<double>();
  } else if (name == "operations_per_second") {
    faults.operations_per_second = value.get<double>();
  } else if (name == "operation_burst") {
    faults.operation_burst = value.get<double>();
  } else if (name == "latency_ms") {
    read_milliseconds(value, faults.base_latency);
  } else if (name == "latency_jitter_ms") {
    read_milliseconds(value, faults.latency_jitter);
  } else if (name == "answer_timeout_ms") {
    read_milliseconds(value, faults.answer_timeout);
  } else {
    throw std::invalid_argument("unknown fault " + name);
  }
}

void apply_engine_fault(EngineFaults& faults, const std::string& name, const json& value) {
  if (name == "slow_factor") {
    faults.slow_factor = value.get<double>();
  } else if (name == "truncate_probability") {
    faults.truncate_probability = value.get<double>();
  } else if (name == "late_probability") {
    faults.late_probability = value.get<double>();
  } else if (name == "late_delay_ms") {
    read_milliseconds(value, faults.late_delay);
  } else {
    throw std::invalid_argument("unknown fault " + name);
  }
}

json service_faults_json(const ServiceFaults& faults) {
  return {{"outage", faults.outage},
          {"slowness", faults.slowness},
          {"lost_answer_probability", faults.lost_answer_probability},
          {"operations_per_second", faults.operations_per_second},
          {"operation_burst", faults.operation_burst},
          {"latency_ms", milliseconds(faults.base_latency)},
          {"latency_jitter_ms", milliseconds(faults.latency_jitter)},
          {"answer_timeout_ms", milliseconds(faults.answer_timeout)}};
}

void respond(ResponseWriter& writer, const std::optional<Error>& error, std::string body) {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  writer.respond(error ? encode_error(*error) : response);
}

}  // namespace

HttpHandler& Fleet::Host::handler() const {
  if (engine_handler) {
    return *engine_handler;
  }
  return *backend;
}

Fleet::Fleet(FleetSettings settings, const TimeSource& time_source, EventDispatcher& dispatcher)
    : settings_(std::move(settings)),
      time_source_(time_source),
      dispatcher_(dispatcher),
      random_(settings_.seed),
      run_log_(settings_.run_log.empty()
                   ? nullptr
                   : std::make_unique<RunLog>(settings_.run_log, time_source)),
      platform_(time_source, dispatcher, random_),
      platform_handler_(platform_, dispatcher),
      nodes_(settings_.nodes) {
  platform_.table_service().faults = settings_.table;
  platform_.object_service().faults = settings_.objects;
  platform_.machine_service().faults = settings_.machine_list;
  for (const MachineGroup& group : settings_.groups) {
    add_group(group);
  }
  publish_machines();
  platform_.forget_machine_history();  // the initial list is visible without lag
  platform_.set_machine_list_lag(settings_.machine_list_lag);
  control_server_ = std::make_unique<HttpServer>(dispatcher_, settings_.control, *this);
}

void Fleet::add_group(const MachineGroup& group) {
  for (uint32_t number = 0; number < group.count; ++number) {
    std::unique_ptr<Host> host = make_host(group, number);
    host->server =
        std::make_unique<HttpServer>(dispatcher_, host->machine.address, host->handler());
    hosts_.push_back(std::move(host));
  }
}

std::unique_ptr<Fleet::Host> Fleet::make_host(const MachineGroup& group, uint32_t number) {
  auto host = std::make_unique<Host>();
  Machine& machine = host->machine;
  const std::string prefix = group.id_prefix.empty() ? group.service : group.id_prefix;
  machine.id = prefix + "-" + std::to_string(number + 1);
  machine.role = group.role;
  machine.service = group.service;
  machine.address = group.first_address;
  machine.address.port = static_cast<uint16_t>(machine.address.port + number);
  machine.zone = group.zones.empty() ? "zone-1" : group.zones[number % group.zones.size()];
  machine.region = group.region;
  machine.incarnation = 1;
  if (group.role == MachineRole::kWorker) {
    host->engine =
        std::make_unique<EngineModel>(settings_.engine, time_source_, dispatcher_, random_);
    host->engine_handler = std::make_unique<EngineHandler>(*host->engine, dispatcher_,
                                                           RunRecorder(run_log_.get(), machine.id));
  } else {
    host->backend =
        std::make_unique<BackendHandler>(BackendSettings{machine.id, group.latency}, time_source_,
                                         dispatcher_, RunRecorder(run_log_.get(), machine.id));
  }
  return host;
}

Fleet::Host* Fleet::find_host(const std::string& id) {
  for (const std::unique_ptr<Host>& host : hosts_) {
    if (host->machine.id == id) {
      return host.get();
    }
  }
  return nullptr;
}

void Fleet::publish_machines() {
  std::vector<Machine> machines = nodes_;
  for (const std::unique_ptr<Host>& host : hosts_) {
    if (host->server) {
      machines.push_back(host->machine);
    }
  }
  platform_.set_machines(std::move(machines));
}

void Fleet::kill(Host& host) {
  if (host.engine_handler) {
    host.engine_handler->kill();
  }
  host.server.reset();
}

void Fleet::restart_host(Host& host) {
  if (host.engine) {
    host.engine->restart();
  }
  ++host.machine.incarnation;
  host.server = std::make_unique<HttpServer>(dispatcher_, host.machine.address, host.handler());
}

void Fleet::set_state(Host& host, const std::string& state) {
  const std::array<std::string_view, 4> states = {"live", "leaving", "dead", "frozen"};
  if (std::ranges::find(states, state) == states.end()) {
    throw std::invalid_argument("unknown state " + state);
  }
  if (state == "dead") {
    kill(host);
  } else if (!host.server) {
    restart_host(host);
  }
  const bool leaving = state == "leaving";
  host.machine.state = leaving ? MachineState::kLeaving : MachineState::kLive;
  if (host.engine && state != "dead") {
    host.engine->set_leaving(leaving);
    host.engine_handler->set_frozen(state == "frozen");
  }
  if (host.backend) {
    host.backend->set_leaving(leaving);
  }
  publish_machines();
}

std::optional<Error> Fleet::apply_faults(const std::string& body) {
  const std::map<std::string, EmulatedService*> services = {
      {"table", &platform_.table_service()},
      {"objects", &platform_.object_service()},
      {"machine_list", &platform_.machine_service()}};
  try {
    const json faults = json::parse(body);
    for (const auto& [target, changes] : faults.items()) {
      Host* host = find_host(target);
      const auto service = services.find(target);
      if (host == nullptr && service == services.end()) {
        return invalid("no service or machine named " + target);
      }
      for (const auto& [name, value] : changes.items()) {
        if (target == "machine_list" && name == "lag_ms") {
          read_milliseconds(value, settings_.machine_list_lag);
          platform_.set_machine_list_lag(settings_.machine_list_lag);
        } else if (service != services.end()) {
          apply_service_fault(service->second->faults, name, value);
        } else if (name == "state") {
          set_state(*host, value.get<std::string>());
        } else if (host->backend && name == "latency_ms") {
          Duration latency{0};
          read_milliseconds(value, latency);
          host->backend->set_latency(latency);
        } else if (host->engine) {
          apply_engine_fault(host->engine->faults(), name, value);
        } else {
          return invalid("unknown fault " + name);
        }
      }
    }
  } catch (const std::exception& exception) {  // JSON error or invalid fault value
    return invalid(exception.what());
  }
  return std::nullopt;
}

std::optional<Error> Fleet::add_machines(const std::string& body) {
  const Expected<MachineListSnapshot> snapshot = decode_machine_list(body);
  if (!snapshot) {
    return snapshot.error();
  }
  for (const Machine& machine : snapshot->machines) {
    std::erase_if(nodes_, [&](const Machine& node) { return node.id == machine.id; });
    nodes_.push_back(machine);
  }
  publish_machines();
  return std::nullopt;
}

std::string Fleet::faults_text() const {
  json faults = {{"table", service_faults_json(platform_.table_service().faults)},
                 {"objects", service_faults_json(platform_.object_service().faults)},
                 {"machine_list", service_faults_json(platform_.machine_service().faults)}};
  faults["machine_list"]["lag_ms"] = milliseconds(settings_.machine_list_lag);
  return faults.dump();
}

std::string Fleet::status_text() const {
  json machines = json::array();
  for (const std::unique_ptr<Host>& host : hosts_) {
    const bool frozen = host->engine && host->engine->frozen();
    const bool leaving = host->machine.state == MachineState::kLeaving;
    const char* state = !host->server ? "dead" : frozen ? "frozen" : leaving ? "leaving" : "live";
    machines.push_back({{"id", host->machine.id},
                        {"service", host->machine.service},
                        {"address", to_string(host->machine.address)},
                        {"zone", host->machine.zone},
                        {"state", state}});
  }
  return json{{"machines", std::move(machines)}}.dump();
}

void Fleet::handle(HttpRequest request, ResponseWriterPtr writer) {
  const std::string route = request.method + " " + request.path;
  if (route == "POST /faults") {
    const std::optional<Error> error = apply_faults(request.body);
    respond(*writer, error, faults_text());
  } else if (route == "GET /faults") {
    respond(*writer, std::nullopt, faults_text());
  } else if (route == "GET /status") {
    respond(*writer, std::nullopt, status_text());
  } else if (route == "POST /machines") {
    const std::optional<Error> error = add_machines(request.body);
    respond(*writer, error, "{}");
  } else {
    platform_handler_.handle(std::move(request), std::move(writer));
  }
}

}  // namespace chalkshed
