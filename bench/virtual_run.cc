#include "bench/virtual_run.h"

#include <memory>

#include "bench/virtual_node.h"
#include "emulator/emulated_platform.h"
#include "src/core/random.h"

namespace chalkshed::bench {
namespace {

// Time for the nodes to discover the workers before the trace begins.
constexpr Duration kWarmUp = std::chrono::seconds(2);
// Time for online requests in flight at the end of the trace; batch items that finish in it are not
// counted.
constexpr Duration kDrain = std::chrono::seconds(10);

class VirtualRun {
 public:
  VirtualRun(const Deployment& deployment, const Trace& trace, const RunSettings& settings)
      : deployment_(deployment),
        trace_(trace),
        settings_(settings),
        dispatcher_(clock_),
        random_(settings.seed),
        platform_(clock_, dispatcher_, random_),
        table_store_(platform_, dispatcher_),
        object_store_(platform_, dispatcher_),
        machine_list_(platform_, dispatcher_) {
    record_.client_latency = deployment.client_latency;
    record_.trace_start = clock_.monotonic_now() + kWarmUp;
    add_engines();
    add_nodes();
  }

  RunRecord run() {
    clock_.run_for(kWarmUp);
    schedule_trace();
    clock_.run_for(trace_.length);
    const RunRecord at_end = record_;
    backlog_.clear();
    for (const std::unique_ptr<EngineModel>& engine : engines_) {
      add_counters(record_, engine->counters());
    }
    clock_.run_for(kDrain);
    record_.batch_completed = at_end.batch_completed;
    record_.batch_completed_tokens = at_end.batch_completed_tokens;
    return std::move(record_);
  }

 private:
  void add_engines() {
    std::vector<Machine> machines;
    for (uint32_t number = 0; number < deployment_.workers; ++number) {
      engines_.push_back(
          std::make_unique<EngineModel>(settings_.engine, clock_, dispatcher_, random_));
      Machine machine;
      machine.id = "worker-" + std::to_string(number + 1);
      machine.role = MachineRole::kWorker;
      machine.service = kServiceName;
      machine.address = {"10.0.1.1", static_cast<uint16_t>(number + 1)};
      machine.zone = deployment_.zones[number % deployment_.zones.size()];
      machine.incarnation = 1;
      machines.push_back(machine);
    }
    platform_.set_machines(machines);
    machines_ = std::move(machines);
  }

  ConfigurationPtr make_configuration() const {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    ServiceConfiguration service;
    service.name = kServiceName;
    service.models = {kModelName};
    service.max_sequences_per_worker = settings_.engine.max_running_sequences;
    service.batch_enabled = settings_.batch;
    configuration->services[service.name] = service;
    return configuration;
  }

  void add_nodes() {
    std::vector<Member> members;
    for (uint32_t number = 0; number < deployment_.nodes; ++number) {
      Member member;
      member.id = "node-" + std::to_string(number + 1);
      member.zone = deployment_.zones[number % deployment_.zones.size()];
      members.push_back(member);
    }
    const ConfigurationPtr configuration = make_configuration();
    for (uint32_t number = 0; number < deployment_.nodes; ++number) {
      clients_.push_back(make_client(members[number].zone));
      const NodeDependencies dependencies{
          clock_,        dispatcher_,      random_,    table_store_, object_store_,
          machine_list_, *clients_.back(), transport_, transport_,   transport_,
          transport_,    logger_,          metrics_};
      NodeIdentity identity;
      identity.id = members[number].id;
      identity.zone = members[number].zone;
      nodes_.push_back(std::make_unique<VirtualNode>(
          identity, dependencies, *clients_.back(), FixedMembership(members, number), configuration,
          deployment_.batch_fill, settings_.routing, backlog_, record_));
    }
  }

  std::unique_ptr<VirtualEngineClient> make_client(const std::string& zone) {
    auto client = std::make_unique<VirtualEngineClient>(dispatcher_);
    for (size_t index = 0; index < engines_.size(); ++index) {
      const bool local = machines_[index].zone == zone;
      client->add(
          machines_[index].address,
          {engines_[index].get(), local ? deployment_.local_latency : deployment_.zone_latency,
           static_cast<uint32_t>(index)});
    }
    return client;
  }

  void schedule_trace() {
    for (size_t number = 0; number < trace_.online.size(); ++number) {
      const OnlineRequest& request = trace_.online[number];
      dispatcher_.schedule(request.send_at + deployment_.client_latency, [this, &request, number] {
        nodes_[request.node]->arrive(request, number);
      });
    }
    if (!settings_.batch) {
      return;
    }
    for (const BatchSubmission& submission : trace_.batch_submissions) {
      dispatcher_.schedule(submission.send_at, [this, &submission] { add_submission(submission); });
    }
  }

  void add_submission(const BatchSubmission& submission) {
    for (const std::string& prompt : submission.prompts) {
      backlog_.push_back(BatchItem{next_item_++, prompt, {}});
    }
    for (const std::unique_ptr<VirtualNode>& node : nodes_) {
      node->start_batch_items();
    }
  }

  const Deployment& deployment_;
  const Trace& trace_;
  const RunSettings& settings_;
  VirtualClock clock_;
  VirtualDispatcher dispatcher_;
  SeededRandomGenerator random_;
  EmulatedPlatform platform_;
  EmulatedTableStore table_store_;
  EmulatedObjectStore object_store_;
  EmulatedMachineList machine_list_;
  UnusedTransport transport_;
  NullLogger logger_;
  NullMetricsRegistry metrics_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<std::unique_ptr<VirtualEngineClient>> clients_;
  BatchBacklog backlog_;
  uint64_t next_item_ = 0;
  RunRecord record_;
  std::vector<std::unique_ptr<VirtualNode>> nodes_;
};

}  // namespace

RunRecord run_virtually(const Deployment& deployment, const Trace& trace,
                        const RunSettings& settings) {
  return VirtualRun(deployment, trace, settings).run();
}

}  // namespace chalkshed::bench
