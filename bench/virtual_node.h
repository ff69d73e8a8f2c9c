// One node in a virtual run: the production router and batch windows, with a minimal driver that
// sends online requests and batch items as the gateway and the batch runner do.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "bench/bench_environment.h"
#include "bench/run_record.h"
#include "bench/trace.h"
#include "bench/virtual_engine_client.h"
#include "src/node/node_dependencies.h"
#include "src/routing/router_impl.h"

namespace chalkshed::bench {

inline constexpr const char* kServiceName = "lm";
inline constexpr const char* kModelName = "model";

// A batch item that waits for a slot, with the tokens that earlier attempts generated.
struct BatchItem {
  uint64_t number = 0;
  std::string prompt;
  std::vector<std::string> tokens;
};
// Items of all submissions, shared by the nodes.
using BatchBacklog = std::deque<BatchItem>;

class VirtualNode {
 public:
  VirtualNode(const NodeIdentity& identity, const NodeDependencies& dependencies,
              const VirtualEngineClient& engines, FixedMembership membership,
              ConfigurationPtr configuration, double batch_fill, const RoutingKnobs& knobs,
              BatchBacklog& backlog, RunRecord& record);
  ~VirtualNode();

  // An online request arrives at the node. `request` must outlive the run.
  void arrive(const OnlineRequest& request, size_t number);
  // Starts batch items while batch windows are open.
  void start_batch_items();

 private:
  class Online;
  class Batch;

  GenerateRequest make_request(const std::string& prompt, EnginePriority priority);
  void end_online(uint64_t attempt);
  void end_batch(uint64_t attempt);

  NodeIdentity identity_;
  NodeDependencies dependencies_;
  const VirtualEngineClient& engines_;
  FixedMembership membership_;
  NullGossip gossip_;
  FixedConfiguration configuration_;
  FixedPolicy policy_;
  RouterImpl router_;
  BatchBacklog& backlog_;
  RunRecord& record_;
  uint64_t next_attempt_ = 0;
  std::map<uint64_t, std::unique_ptr<Online>> online_;
  std::map<uint64_t, std::unique_ptr<Batch>> batch_;
  Lifetime lifetime_;
};

}  // namespace chalkshed::bench
