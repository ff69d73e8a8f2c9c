// EngineClient of one node in virtual time: engine models behind a network with fixed one-way
// latencies.
#pragma once

#include <map>
#include <memory>

#include "emulator/engine_model.h"
#include "sim/virtual_time.h"
#include "src/engine/engine_client.h"

namespace chalkshed::bench {

class VirtualEngineClient : public EngineClient {
 public:
  struct Target {
    EngineModel* engine = nullptr;
    Duration one_way{0};
    uint32_t worker = 0;  // index of the worker
  };

  explicit VirtualEngineClient(VirtualDispatcher& dispatcher) : dispatcher_(dispatcher) {}
  void add(const Address& address, Target target) { targets_[address] = target; }

  const Target& target(const Address& address) const { return targets_.at(address); }

  GenerateStreamPtr generate(const Address& worker, GenerateRequest request,
                             GenerateCallbacks& callbacks) override;
  void fetch_load(const Address& worker, Callback<EngineLoad> callback) override;

 private:
  VirtualDispatcher& dispatcher_;
  std::map<Address, Target> targets_;
};

}  // namespace chalkshed::bench
