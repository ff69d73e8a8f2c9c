#include "sim/simulated_cluster.h"

#include <algorithm>

namespace chalkshed {

namespace {

constexpr uint16_t kHttpPort = 8080;
constexpr uint16_t kPeerPort = 7946;
// First number of the faults that the cluster records itself; FaultInjector counts from 0.
constexpr uint64_t kFirstAcknowledgementFault = 1'000'000;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(50);
// Stopping workers and back ends keep running for at least this long, so that nodes learn of it.
constexpr Duration kStopNotice = std::chrono::seconds(6);

}  // namespace

SimulatedCluster::SimulatedCluster(uint64_t seed, const ClusterKnobs& knobs)
    : knobs_(knobs),
      random_(seed),
      recorder_(clock_),
      network_(clock_, random_, knobs.network),
      platform_dispatcher_(clock_),
      platform_(std::make_unique<EmulatedPlatform>(clock_, platform_dispatcher_, random_)) {
  platform_->set_machine_list_lag(knobs.machine_list_lag);
  for (uint32_t index = 0; index < knobs.nodes; ++index) {
    add_host(HostKind::kNode, index);
  }
  for (uint32_t index = 0; index < knobs.workers; ++index) {
    add_host(HostKind::kWorker, index);
  }
  for (uint32_t index = 0; index < knobs.backends; ++index) {
    add_host(HostKind::kBackend, index);
  }
  SimulatedHost& callers =
      network_.add_host("callers", "", Address{"10.0.9.1", kHttpPort}, Address{"10.0.9.1", 0});
  network_.start_process(callers);
  caller_ = std::make_unique<SimulatedCaller>(network_, callers, recorder_);
  for (const auto* names : {&workers_, &backends_, &nodes_}) {
    for (const std::string& name : *names) {
      start(name);
    }
  }
}

SimulatedCluster::~SimulatedCluster() {
  caller_.reset();
  for (auto& [name, process] : processes_) {
    if (process.host->dispatcher) {
      destroy(process, CloseReason::kReset, true);
    }
  }
}

void SimulatedCluster::add_host(HostKind kind, uint32_t index) {
  constexpr std::array kPrefixes{"node-", "worker-", "backend-"};
  const auto kind_number = static_cast<size_t>(kind);
  const std::string name = kPrefixes[kind_number] + std::to_string(index);
  const std::string ip = "10.0." + std::to_string(kind_number) + "." + std::to_string(index + 1);
  const std::string zone = "zone-" + std::to_string(index % knobs_.zones);
  SimulatedHost& host =
      network_.add_host(name, zone, Address{ip, kHttpPort}, Address{ip, kPeerPort});
  processes_[name].kind = kind;
  processes_[name].host = &host;
  std::vector<std::string>& names = kind == HostKind::kNode     ? nodes_
                                    : kind == HostKind::kWorker ? workers_
                                                                : backends_;
  names.push_back(name);
}

std::vector<std::string> SimulatedCluster::hosts_in_zone(const std::string& zone) {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (process.host->zone == zone) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> SimulatedCluster::zone_names() const {
  std::vector<std::string> names;
  for (uint32_t index = 0; index < knobs_.zones; ++index) {
    names.push_back("zone-" + std::to_string(index));
  }
  return names;
}

bool SimulatedCluster::running(const std::string& name) {
  return process(name).host->dispatcher != nullptr;
}

bool SimulatedCluster::stopping(const std::string& name) { return process(name).stopping; }

SimulatedNode* SimulatedCluster::node(const std::string& name) { return process(name).node.get(); }

SimulatedEngine* SimulatedCluster::engine(const std::string& name) {
  return process(name).engine.get();
}

void SimulatedCluster::start(const std::string& name) {
  Process& started = process(name);
  if (started.host->dispatcher) {
    return;
  }
  ++started.incarnation;
  started.stopping = false;
  started.random = std::make_unique<SeededRandomGenerator>(random_.next());
  network_.start_process(*started.host);
  recorder_.record(ProcessStarted{name, started.incarnation});
  recorder_.record(LeavingChanged{name, false, ""});
  switch (started.kind) {
    case HostKind::kNode: {
      const SimulatedNodeContext context{
          network_,  *started.host,   *platform_,
          recorder_, *started.random, [this, name] { on_acknowledgement(name); }};
      started.node = std::make_unique<SimulatedNode>(context, started.incarnation, knobs_.node);
      break;
    }
    case HostKind::kWorker:
      started.engine = std::make_unique<SimulatedEngine>(
          network_, *started.host, recorder_, *started.random, knobs_.engine, started.incarnation);
      break;
    case HostKind::kBackend:
      started.backend = std::make_unique<SimulatedBackend>(network_, *started.host, recorder_,
                                                           started.incarnation);
      break;
  }
  publish_machines();
}

void SimulatedCluster::destroy(Process& ended, CloseReason reason, bool silently) {
  network_.end_process(*ended.host, reason, silently);
  ended.node.reset();
  ended.engine.reset();
  ended.backend.reset();
  SimulatedNetwork::destroy_dispatcher(*ended.host);
  ended.stopping = false;
  recorder_.record(ProcessEnded{ended.host->name});
}

void SimulatedCluster::kill(const std::string& name, bool silently) {
  Process& killed = process(name);
  if (!killed.host->dispatcher) {
    return;
  }
  if (killed.stopping) {
    recorder_.record(PlannedStop{name, true});
  }
  destroy(killed, CloseReason::kReset, silently);
  publish_machines();
}

void SimulatedCluster::stop(const std::string& name) {
  Process& stopped = process(name);
  if (!stopped.host->dispatcher || stopped.stopping) {
    return;
  }
  stopped.stopping = true;
  recorder_.record(PlannedStop{name, false});
  const uint64_t generation = stopped.host->generation;
  if (stopped.node) {
    stopped.node->stop([this, name, generation] { exit(name, generation); });
  } else {
    stopped.host->dispatcher->post([this, name] { announce_leaving(name); });
    exit_when_idle(name, generation, clock_.monotonic_now() + knobs_.stop_timeout);
  }
  publish_machines();
}

void SimulatedCluster::announce_leaving(const std::string& name) {
  recorder_.record(LeavingChanged{name, true, ""});
  if (SimulatedEngine* leaving = engine(name)) {
    leaving->model().set_leaving(true);
  }
}

void SimulatedCluster::exit_when_idle(const std::string& name, uint64_t generation,
                                      MonotonicTime deadline) {
  clock_.schedule(kIdleCheckInterval, [this, name, generation, deadline] {
    Process& stopped = process(name);
    if (stopped.host->generation != generation) {
      return;
    }
    const size_t requests =
        stopped.engine ? stopped.engine->streams() : stopped.backend->requests();
    const bool notice_elapsed =
        clock_.monotonic_now() > deadline - knobs_.stop_timeout + kStopNotice;
    const bool frozen = stopped.host->dispatcher->frozen();
    if ((requests == 0 && notice_elapsed && !frozen) || clock_.monotonic_now() >= deadline) {
      exit(name, generation);
    } else {
      exit_when_idle(name, generation, deadline);
    }
  });
}

void SimulatedCluster::exit(const std::string& name, uint64_t generation) {
  // Scheduled on the clock, because the process's own event loop is destroyed with it.
  clock_.schedule(Duration::zero(), [this, name, generation] {
    Process& exiting = process(name);
    if (exiting.host->generation != generation) {
      return;
    }
    if (exiting.engine) {
      exiting.engine->set_exit_outcome(RunOutcome::kCutOffByExit);
    }
    if (exiting.backend) {
      exiting.backend->set_exit_outcome(RunOutcome::kCutOffByExit);
    }
    destroy(exiting, CloseReason::kExited, false);
    recorder_.record(PlannedStop{name, true});
    publish_machines();
  });
}

void SimulatedCluster::freeze(const std::string& name) {
  if (running(name)) {
    process(name).host->dispatcher->freeze();
  }
}

void SimulatedCluster::thaw(const std::string& name) {
  if (running(name) && process(name).host->dispatcher->frozen()) {
    process(name).host->dispatcher->thaw();
  }
}

void SimulatedCluster::set_platform_reachable(const std::string& name, bool reachable) {
  if (SimulatedNode* found = node(name)) {
    found->set_platform_reachable(reachable);
  }
}

void SimulatedCluster::on_acknowledgement(const std::string& name) {
  if (!kill_after_acknowledgement_) {
    return;
  }
  kill_after_acknowledgement_ = false;
  const uint64_t generation = process(name).host->generation;
  clock_.schedule(Duration::zero(), [this, name, generation] {
    if (process(name).host->generation == generation) {
      const uint64_t fault = kFirstAcknowledgementFault + acknowledgement_kills_++;
      recorder_.record(FaultBegan{fault, "kill_node", {name}});
      kill(name, false);
      recorder_.record(FaultEnded{fault});
    }
  });
}

void SimulatedCluster::publish_machines() {
  std::vector<Machine> machines;
  for (const auto& [name, process] : processes_) {
    if (!process.host->dispatcher) {
      continue;
    }
    Machine machine;
    machine.id = name;
    machine.role = process.kind == HostKind::kNode     ? MachineRole::kNode
                   : process.kind == HostKind::kWorker ? MachineRole::kWorker
                                                       : MachineRole::kBackend;
    machine.state = process.stopping ? MachineState::kLeaving : MachineState::kLive;
    machine.service = process.kind == HostKind::kWorker    ? kModelService
                      : process.kind == HostKind::kBackend ? kPlainService
                                                           : "";
    machine.address = process.host->http_address;
    machine.peer_address = process.host->peer_address;
    machine.zone = process.host->zone;
    machine.region = "region-0";
    machine.incarnation = process.incarnation;
    machines.push_back(std::move(machine));
  }
  platform_->set_machines(std::move(machines));
}

}  // namespace chalkshed
