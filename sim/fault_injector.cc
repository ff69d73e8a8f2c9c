#include "sim/fault_injector.h"

#include <algorithm>

namespace chalkshed {

namespace {

constexpr Duration kMinFaultDuration = std::chrono::seconds(2);
constexpr Duration kWorkerRestart = std::chrono::seconds(3);
// A node stays frozen for at least this multiple of the shortest fault, so that its leases expire.
constexpr int kMinFreezeFactor = 4;
constexpr double kSlowFactor = 8.0;
constexpr double kTruncationProbability = 0.3;
constexpr double kChunkFaultProbability = 0.02;
constexpr double kStoreLatencyFactor = 100.0;  // a round trip of 2 ms takes 200 ms
constexpr double kLostAnswerProbability = 0.3;

}  // namespace

std::string_view fault_name(FaultKind kind) {
  constexpr std::array<std::string_view, kFaultKindCount> kNames{"kill_node",
                                                                 "kill_after_acknowledgement",
                                                                 "freeze_node",
                                                                 "cut_node",
                                                                 "cut_node_from_platform",
                                                                 "one_way_loss",
                                                                 "split_nodes",
                                                                 "datagram_faults",
                                                                 "store_down",
                                                                 "store_slow",
                                                                 "store_loses_answers",
                                                                 "zone_loss",
                                                                 "kill_worker",
                                                                 "freeze_worker",
                                                                 "slow_worker",
                                                                 "truncated_streams",
                                                                 "garbled_streams",
                                                                 "stop_node",
                                                                 "stop_worker",
                                                                 "drain_worker",
                                                                 "drain_backend",
                                                                 "kill_backend"};
  return kNames[static_cast<size_t>(kind)];
}

Duration FaultInjector::random_duration(Duration min_duration, Duration max_duration) {
  const auto range =
      static_cast<uint64_t>(std::max<int64_t>(1, (max_duration - min_duration).count()));
  return min_duration + Duration(static_cast<int64_t>(random_.below(range)));
}

std::string FaultInjector::pick_running(const std::vector<std::string>& names) {
  std::vector<std::string> running;
  for (const std::string& name : names) {
    if (cluster_.running(name) && !cluster_.stopping(name)) {
      running.push_back(name);
    }
  }
  return running.empty() ? "" : running[random_.below(running.size())];
}

size_t FaultInjector::running_nodes() {
  return static_cast<size_t>(
      std::count_if(cluster_.nodes().begin(), cluster_.nodes().end(),
                    [this](const std::string& name) { return cluster_.running(name); }));
}

void FaultInjector::begin_fault(FaultKind kind, std::vector<std::string> processes,
                                Duration duration, std::function<void()> heal) {
  const uint64_t fault = next_fault_++;
  ++active_faults_;
  cluster_.recorder().record(
      FaultBegan{fault, std::string(fault_name(kind)), std::move(processes)});
  cluster_.clock().schedule(duration, [this, fault, heal = std::move(heal)] {
    heal();
    --active_faults_;
    cluster_.recorder().record(FaultEnded{fault});
  });
}

void FaultInjector::inject_random(Duration max_duration) {
  inject(static_cast<FaultKind>(random_.below(kFaultKindCount)), max_duration);
}

void FaultInjector::inject(FaultKind kind, Duration max_duration) {
  const Duration duration = random_duration(kMinFaultDuration, max_duration);
  const size_t max_down = cluster_.nodes().size() / 2;
  const bool enough_nodes = running_nodes() > max_down;
  const std::string node = pick_running(cluster_.nodes());
  const std::string worker = pick_running(cluster_.workers());
  const std::string backend = pick_running(cluster_.backends());
  if (node.empty() || worker.empty() || backend.empty() || !enough_nodes) {
    return;
  }
  switch (kind) {
    case FaultKind::kKillNode:
      kill_and_restart(kind, {node}, random_.below(2) == 0, duration);
      break;
    case FaultKind::kKillAfterAcknowledgement:
      kill_after_acknowledgement(duration);
      break;
    case FaultKind::kFreezeNode:
      freeze(kind, node, std::max(duration, kMinFreezeFactor * kMinFaultDuration));
      break;
    case FaultKind::kFreezeWorker:
      freeze(kind, worker, duration);
      break;
    case FaultKind::kCutNode: {
      std::vector<std::string> others = cluster_.nodes();
      others.insert(others.end(), cluster_.workers().begin(), cluster_.workers().end());
      cut_between(kind, {node}, others, false, duration);
      break;
    }
    case FaultKind::kOneWayLoss:
      cut_between(kind, {node}, cluster_.nodes(), true, duration);
      break;
    case FaultKind::kSplitNodes: {
      const size_t half = 1 + random_.below(cluster_.nodes().size() - 1);
      const auto middle = cluster_.nodes().begin() + static_cast<std::ptrdiff_t>(half);
      cut_between(kind, {cluster_.nodes().begin(), middle}, {middle, cluster_.nodes().end()}, false,
                  duration);
      break;
    }
    case FaultKind::kCutNodeFromPlatform:
      cut_from_platform(duration);
      break;
    case FaultKind::kDatagramFaults:
      inject_datagram_faults(duration);
      break;
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
      inject_store_fault(kind, duration);
      break;
    case FaultKind::kZoneLoss: {
      const std::vector<std::string> zones = cluster_.zone_names();
      kill_and_restart(kind, cluster_.hosts_in_zone(zones[random_.below(zones.size())]), true,
                       duration);
      break;
    }
    case FaultKind::kKillWorker:
      kill_and_restart(kind, {worker}, random_.below(2) == 0, duration);
      break;
    case FaultKind::kKillBackend:
      kill_and_restart(kind, {backend}, false, duration);
      break;
    case FaultKind::kSlowWorker:
    case FaultKind::kTruncatedStreams:
    case FaultKind::kGarbledStreams:
      inject_engine_fault(kind, duration);
      break;
    case FaultKind::kStopNode:
      stop(node, duration);
      break;
    case FaultKind::kStopWorker:
      stop(worker, duration);
      break;
    case FaultKind::kDrainWorker:
      drain(worker, duration);
      break;
    case FaultKind::kDrainBackend:
      drain(backend, duration);
      break;
  }
}

void FaultInjector::kill_and_restart(FaultKind kind, const std::vector<std::string>& names,
                                     bool silently, Duration duration) {
  std::vector<std::string> killed;
  for (const std::string& name : names) {
    if (cluster_.running(name)) {
      cluster_.kill(name, silently);
      killed.push_back(name);
    }
  }
  begin_fault(kind, killed, duration, [this, killed] {
    for (const std::string& name : killed) {
      cluster_.start(name);
    }
  });
}

void FaultInjector::kill_after_acknowledgement(Duration duration) {
  cluster_.kill_after_next_acknowledgement();
  // The cluster records which node it kills when that happens.
  begin_fault(FaultKind::kKillAfterAcknowledgement, {"acknowledging-node"}, duration, [this] {
    cluster_.cancel_kill_after_acknowledgement();
    for (const std::string& name : cluster_.nodes()) {
      cluster_.start(name);
    }
  });
}

void FaultInjector::freeze(FaultKind kind, const std::string& name, Duration duration) {
  cluster_.freeze(name);
  begin_fault(kind, {name}, duration, [this, name] { cluster_.thaw(name); });
}

void FaultInjector::cut_between(FaultKind kind, const std::vector<std::string>& group,
                                const std::vector<std::string>& others, bool one_way,
                                Duration duration) {
  SimulatedNetwork& network = cluster_.network();
  std::vector<std::pair<std::string, std::string>> pairs;
  for (const std::string& one : group) {
    for (const std::string& other : others) {
      if (one == other) {
        continue;
      }
      pairs.emplace_back(one, other);
      if (!one_way) {
        pairs.emplace_back(other, one);
      }
    }
  }
  for (const auto& [from, to] : pairs) {
    network.cut_one_way(from, to);
  }
  std::vector<std::string> affected = group;
  if (kind == FaultKind::kSplitNodes) {
    affected.insert(affected.end(), others.begin(), others.end());
  }
  begin_fault(kind, affected, duration, [&network, pairs] {
    for (const auto& [from, to] : pairs) {
      network.heal_one_way(from, to);
    }
  });
}

void FaultInjector::cut_from_platform(Duration duration) {
  const std::string node = pick_running(cluster_.nodes());
  cluster_.set_platform_reachable(node, false);
  begin_fault(FaultKind::kCutNodeFromPlatform, {node}, duration,
              [this, node] { cluster_.set_platform_reachable(node, true); });
}

void FaultInjector::inject_datagram_faults(Duration duration) {
  DatagramFaults& faults = cluster_.network().datagram_faults();
  faults = {0.2, 0.2, 0.3, std::chrono::milliseconds(500)};
  begin_fault(FaultKind::kDatagramFaults, cluster_.nodes(), duration,
              [&faults] { faults = DatagramFaults(); });
}

void FaultInjector::inject_store_fault(FaultKind kind, Duration duration) {
  EmulatedPlatform& platform = cluster_.platform();
  for (EmulatedService* service : {&platform.table_service(), &platform.object_service()}) {
    service->faults.outage = service->faults.outage || kind == FaultKind::kStoreDown;
    if (kind == FaultKind::kStoreSlow) {
      service->faults.slowness = kStoreLatencyFactor;
    }
    if (kind == FaultKind::kStoreLosesAnswers) {
      service->faults.lost_answer_probability = kLostAnswerProbability;
    }
  }
  begin_fault(kind, {}, duration, [&platform, kind] {
    for (EmulatedService* service : {&platform.table_service(), &platform.object_service()}) {
      if (kind == FaultKind::kStoreDown) {
        service->faults.outage = false;
      } else if (kind == FaultKind::kStoreSlow) {
        service->faults.slowness = 1.0;
      } else {
        service->faults.lost_answer_probability = 0;
      }
    }
  });
}

void FaultInjector::inject_engine_fault(FaultKind kind, Duration duration) {
  const std::string worker = pick_running(cluster_.workers());
  EngineFaults& faults = cluster_.engine(worker)->model().faults();
  if (kind == FaultKind::kGarbledStreams) {
    cluster_.engine(worker)->set_chunk_fault_probability(kChunkFaultProbability);
  } else if (kind == FaultKind::kSlowWorker) {
    faults.slow_factor = kSlowFactor;
  } else {
    faults.truncate_probability = kTruncationProbability;
  }
  begin_fault(kind, {worker}, duration, [this, worker] {
    if (SimulatedEngine* engine = cluster_.engine(worker)) {
      engine->model().faults() = EngineFaults();
      engine->set_chunk_fault_probability(0);
    }
  });
}

void FaultInjector::restart_later(const std::string& name, Duration delay) {
  cluster_.clock().schedule(delay, [this, name, delay] {
    if (cluster_.stopping(name)) {
      restart_later(name, delay);
    } else {
      cluster_.start(name);
      --active_faults_;
    }
  });
}

void FaultInjector::stop(const std::string& name, Duration duration) {
  // Not recorded as a fault: the checker allows no failures because of a planned stop.
  ++next_fault_;
  ++active_faults_;
  cluster_.stop(name);
  restart_later(name, std::max(duration, kWorkerRestart));
}

void FaultInjector::drain(const std::string& name, Duration duration) {
  ++next_fault_;
  ++active_faults_;
  operators_.drain(pick_running(cluster_.nodes()), name);
  cluster_.clock().schedule(duration + kWorkerRestart, [this, name] {
    --active_faults_;
    const std::string node = pick_running(cluster_.nodes());
    if (!node.empty()) {
      operators_.restore(node, name);
    }
  });
}

}  // namespace chalkshed
