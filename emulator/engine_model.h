// Model of an inference engine with continuous batching: steps, chunked prefill, priorities and
// preemption, prefix cache, KV memory, load reports, fenced orders and failures. It uses no
// sockets: the emulator serves it over HTTP and the simulator calls it directly.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/block_cache.h"
#include "emulator/delayed_calls.h"
#include "emulator/engine_settings.h"
#include "src/core/dispatcher.h"
#include "src/core/random.h"
#include "src/engine/engine_client.h"

namespace chalkshed {

class EngineModel {
 public:
  EngineModel(EngineSettings settings, const TimeSource& time_source, Dispatcher& dispatcher,
              RandomGenerator& random);
  ~EngineModel();

  // Submits a request. Its events are delivered later, never synchronously; on_error represents a
  // stream that ends without its end marker.
  // @param callbacks must stay valid until the last event or cancel().
  // @return the error (Ran::kNo) if the engine refuses the request.
  std::optional<Error> submit(GenerateRequest request, GenerateCallbacks& callbacks);
  // Cancels a request; no event is delivered afterwards. Unknown ids are ignored.
  void cancel(const std::string& attempt_id);

  // Current load, as attached to responses.
  EngineLoad load() const;
  // Load as of one report lag ago, as returned by GET /load.
  EngineLoad reported_load();
  // Cache events after a sequence number, except lost ones and those more recent than the lag.
  std::vector<CacheEvent> cache_events(uint64_t after_sequence) const;
  // Errors (Ran::kNo): kConflict if the fence is not greater than the last accepted one.
  std::optional<Error> apply_order(const EngineOrder& order);

  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_incarnation(uint64_t incarnation) { incarnation_ = incarnation; }
  EngineFaults& faults() { return faults_; }
  // Aborts every stream and drops all state. Requests are refused until restart().
  void kill();
  // Restarts with a higher incarnation and an empty cache.
  void restart();
  bool alive() const { return alive_; }
  // A frozen engine makes no progress and sends no responses, but keeps its requests.
  void set_frozen(bool frozen);
  bool frozen() const { return frozen_; }

  const EngineSettings& settings() const { return settings_; }
  const EngineCounters& counters() const { return counters_; }
  // Called with the attempt id each time a request is admitted to the running set, also after a
  // preemption.
  void set_admission_observer(std::function<void(const std::string&)> observer) {
    admission_observer_ = std::move(observer);
  }
  // Called at the end of every step.
  void set_step_observer(std::function<void(const EngineStepReport&)> observer) {
    step_observer_ = std::move(observer);
  }

 private:
  struct Sequence;
  using SequencePtr = std::shared_ptr<Sequence>;
  using Queue = std::deque<SequencePtr>;

  std::optional<Error> refusal(const GenerateRequest& request) const;
  SequencePtr make_sequence(GenerateRequest request, GenerateCallbacks& callbacks);
  Queue& waiting_queue(EnginePriority priority);
  const Queue& waiting_queue(EnginePriority priority) const;
  SequencePtr remove_sequence(Queue& queue, const std::string& attempt_id);
  void expire(const std::string& attempt_id);
  void wake();
  void begin_step();
  void admit(EnginePriority priority);
  bool try_admit(const SequencePtr& sequence);
  bool reserve_blocks(Sequence& sequence);
  bool allocate_or_preempt(uint32_t blocks, EnginePriority for_priority);
  bool preempt_one_batch();
  void preempt(SequencePtr sequence);
  void release_blocks(Sequence& sequence);
  void grow_blocks();
  void plan_prefill(EnginePriority priority, uint32_t& budget);
  Duration step_duration() const;
  void end_step();
  void advance(Sequence& sequence);
  void deliver(const SequencePtr& sequence, std::function<void(GenerateCallbacks&)> event);
  void deliver_token(const SequencePtr& sequence, const EngineLoad& load);
  void deliver_end(const SequencePtr& sequence, const EngineLoad& load);
  void count_finished(const Sequence& sequence);
  void record_load();
  void record_cache_changes();
  std::vector<SequencePtr> clear_state();

  const EngineSettings settings_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  EngineFaults faults_;
  EngineCounters counters_;
  BlockCache cache_;
  std::function<void(const EngineStepReport&)> step_observer_;
  std::function<void(const std::string&)> admission_observer_;

  Queue waiting_online_;
  Queue waiting_batch_;
  Queue running_;                     // in order of admission
  std::vector<SequencePtr> delayed_;  // removed from the engine, with late events pending

  bool step_running_ = false;
  bool step_due_ = false;  // a step ended while the engine was frozen
  EngineStepReport step_;
  Duration swap_time_{0};  // of preemptions and swap-ins since the last step
  uint64_t step_number_ = 0;
  Duration last_step_time_{0};

  bool alive_ = true;
  bool frozen_ = false;
  bool leaving_ = false;
  uint64_t incarnation_ = 1;
  uint64_t last_fence_ = 0;
  EngineRole role_ = EngineRole::kMixed;
  std::vector<std::string> models_;
  std::deque<std::pair<MonotonicTime, EngineLoad>> load_history_;
  std::deque<std::pair<MonotonicTime, CacheEvent>> cache_events_;
  uint64_t next_cache_event_ = 1;

  TimerPtr step_timer_;
  DelayedCalls delayed_calls_;
};

}  // namespace chalkshed
