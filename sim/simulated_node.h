// The process of one node: the production Node over simulated time, network and platform.
#pragma once

#include <functional>
#include <memory>

#include "emulator/emulated_platform.h"
#include "sim/history_recorder.h"
#include "sim/simulated_engine.h"
#include "sim/simulated_http.h"
#include "src/node/node.h"
#include "src/transport/http_peer_transport.h"

namespace chalkshed {

struct SimulatedNodeKnobs {
  NodeKnobs roles;
  // Disabled only to test the safeguard: a planned stop then exits without finishing running
  // requests.
  bool drain_before_exit = true;
};

struct SimulatedNodeContext {
  SimulatedNetwork& network;
  SimulatedHost& host;
  EmulatedPlatform& platform;
  HistoryRecorder& recorder;
  RandomGenerator& random;
  // Called when a job was acknowledged, right after the response was written.
  std::function<void()> on_acknowledgement;
};

class SimulatedNode : public HttpHandler {
 public:
  SimulatedNode(const SimulatedNodeContext& context, uint64_t incarnation,
                const SimulatedNodeKnobs& knobs);
  ~SimulatedNode() override;
  SimulatedNode(const SimulatedNode&) = delete;
  SimulatedNode& operator=(const SimulatedNode&) = delete;

  void handle(HttpRequest request, ResponseWriterPtr writer) override;
  // Planned stop; `exited` is called when the process may end.
  void stop(std::function<void()> exited);
  void set_platform_reachable(bool reachable);
  // @return whether a configuration that an operator applied is in effect on the node.
  bool serves() const;
  Node& roles() { return *node_; }

 private:
  void record_configuration();

  SimulatedNodeContext context_;
  const bool drain_before_exit_;
  EmulatedTableStore table_store_;
  EmulatedObjectStore object_store_;
  EmulatedMachineList machine_list_;
  SimulatedEngineClient engine_client_;
  SimulatedHttpClient http_client_;
  SimulatedDatagramTransport datagrams_;
  HttpPeerClient peer_client_;
  HttpPeerServer peer_server_;
  NullLogger logger_;
  NullMetricsRegistry metrics_;
  NodeDependencies dependencies_;
  std::unique_ptr<Node> node_;
};

}  // namespace chalkshed
