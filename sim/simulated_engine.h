// Simulated processes of model engines, and the client that nodes use to reach them.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "emulator/engine_model.h"
#include "sim/history_recorder.h"
#include "sim/simulated_network.h"

namespace chalkshed {

// Batch items are identified by their prompts, because a run with a disabled safeguard may send
// them with the wrong priority.
inline constexpr std::string_view kBatchPromptPrefix = "batch of ";
inline bool is_batch_prompt(std::string_view prompt) {
  return prompt.starts_with(kBatchPromptPrefix);
}

// The process of one engine; destroyed when the process ends.
class SimulatedEngine {
 public:
  SimulatedEngine(SimulatedNetwork& network, SimulatedHost& host, HistoryRecorder& recorder,
                  RandomGenerator& random, const EngineSettings& settings, uint64_t incarnation);
  ~SimulatedEngine();
  SimulatedEngine(const SimulatedEngine&) = delete;
  SimulatedEngine& operator=(const SimulatedEngine&) = delete;

  // Hands an event to the client's callbacks, on the client's event loop.
  using Deliver = std::function<void(const std::function<void(GenerateCallbacks&)>&)>;
  void accept(GenerateRequest request, const std::string& sender,
              std::shared_ptr<SimulatedConnection> connection, Deliver deliver);
  EngineModel& model() { return model_; }
  size_t streams() const { return streams_.size(); }
  // Probability that a chunk of a stream is lost or duplicated in transit, as by a broken proxy.
  void set_chunk_fault_probability(double probability) { chunk_fault_probability_ = probability; }
  // Outcome recorded for requests that are still in progress when the process ends.
  void set_exit_outcome(RunOutcome outcome) { exit_outcome_ = outcome; }

 private:
  struct Stream;
  void end(const std::string& attempt, RunOutcome outcome);

  SimulatedHost& host_;
  HistoryRecorder& recorder_;
  RandomGenerator& random_;
  double chunk_fault_probability_ = 0;
  EngineModel model_;
  std::map<std::string, std::unique_ptr<Stream>> streams_;  // by attempt id as recorded
  const uint64_t incarnation_;
  uint64_t next_run_ = 0;
  RunOutcome exit_outcome_ = RunOutcome::kLost;
};

// The engine client of one process.
class SimulatedEngineClient : public EngineClient {
 public:
  SimulatedEngineClient(SimulatedNetwork& network, SimulatedHost& host, HistoryRecorder& recorder)
      : network_(network), host_(host), recorder_(recorder) {}
  GenerateStreamPtr generate(const Address& worker, GenerateRequest request,
                             GenerateCallbacks& callbacks) override;
  void fetch_load(const Address& worker, Callback<EngineLoad> callback) override;

 private:
  class Stream;
  SimulatedNetwork& network_;
  SimulatedHost& host_;
  HistoryRecorder& recorder_;
  // Idle connections: the generation of the process that each one leads to.
  std::map<Address, uint64_t> kept_alive_;
};

}  // namespace chalkshed
