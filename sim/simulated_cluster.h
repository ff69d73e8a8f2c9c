// A complete cluster in virtual time: nodes, engines, plain back ends, the platform and callers,
// with operations that inject process and machine faults.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/emulated_platform.h"
#include "sim/history_recorder.h"
#include "sim/simulated_backend.h"
#include "sim/simulated_caller.h"
#include "sim/simulated_engine.h"
#include "sim/simulated_network.h"
#include "sim/simulated_node.h"

namespace chalkshed {

struct ClusterKnobs {
  uint32_t zones = 3;
  uint32_t nodes = 9;
  uint32_t workers = 18;
  uint32_t backends = 3;
  Duration machine_list_lag = std::chrono::seconds(2);
  // A planned stop of a worker or back end waits up to this long for its requests.
  Duration stop_timeout = std::chrono::seconds(60);
  EngineSettings engine;
  NetworkKnobs network;
  SimulatedNodeKnobs node;
};

inline constexpr const char* kModelService = "text";
inline constexpr const char* kModelName = "model-1";
inline constexpr const char* kPlainService = "lookup";

class SimulatedCluster {
 public:
  SimulatedCluster(uint64_t seed, const ClusterKnobs& knobs);
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  VirtualClock& clock() { return clock_; }
  SimulatedNetwork& network() { return network_; }
  EmulatedPlatform& platform() { return *platform_; }
  HistoryRecorder& recorder() { return recorder_; }
  SimulatedCaller& caller() { return *caller_; }
  const ClusterKnobs& knobs() const { return knobs_; }

  // Names of the hosts of each kind.
  const std::vector<std::string>& nodes() const { return nodes_; }
  const std::vector<std::string>& workers() const { return workers_; }
  const std::vector<std::string>& backends() const { return backends_; }
  // @return the hosts of one zone.
  std::vector<std::string> hosts_in_zone(const std::string& zone);
  std::vector<std::string> zone_names() const;

  bool running(const std::string& name);
  uint64_t incarnation(const std::string& name) { return process(name).incarnation; }
  // @return the node's process, or null while it is down.
  SimulatedNode* node(const std::string& name);
  SimulatedEngine* engine(const std::string& name);

  // Starts the process of a host with the next incarnation number and no state.
  void start(const std::string& name);
  // Kills the process immediately. `silently`: its machine fails too, so peers are not notified.
  void kill(const std::string& name, bool silently);
  // Planned stop: the process finishes its running requests and exits.
  void stop(const std::string& name);
  bool stopping(const std::string& name);
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  // Connects or disconnects a node and the platform services.
  void set_platform_reachable(const std::string& name, bool reachable);
  // Kills the next node that acknowledges a job, right after the acknowledgement.
  void kill_after_next_acknowledgement() { kill_after_acknowledgement_ = true; }
  void cancel_kill_after_acknowledgement() { kill_after_acknowledgement_ = false; }

  void run_for(Duration duration) { clock_.run_for(duration); }

 private:
  enum class HostKind { kNode, kWorker, kBackend };
  struct Process {
    HostKind kind = HostKind::kNode;
    SimulatedHost* host = nullptr;
    uint64_t incarnation = 0;
    bool stopping = false;
    std::unique_ptr<RandomGenerator> random;
    std::unique_ptr<SimulatedNode> node;
    std::unique_ptr<SimulatedEngine> engine;
    std::unique_ptr<SimulatedBackend> backend;
  };

  void add_host(HostKind kind, uint32_t index);
  Process& process(const std::string& name) { return processes_.at(name); }
  void destroy(Process& process, CloseReason reason, bool silently);
  void announce_leaving(const std::string& name);
  void exit_when_idle(const std::string& name, uint64_t generation, MonotonicTime deadline);
  void exit(const std::string& name, uint64_t generation);
  void on_acknowledgement(const std::string& node);
  void publish_machines();

  const ClusterKnobs knobs_;
  VirtualClock clock_;
  SeededRandomGenerator random_;
  HistoryRecorder recorder_;
  SimulatedNetwork network_;
  VirtualDispatcher platform_dispatcher_;
  std::unique_ptr<EmulatedPlatform> platform_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> nodes_;
  std::vector<std::string> workers_;
  std::vector<std::string> backends_;
  std::unique_ptr<SimulatedCaller> caller_;
  bool kill_after_acknowledgement_ = false;
  uint64_t acknowledgement_kills_ = 0;
};

}  // namespace chalkshed
