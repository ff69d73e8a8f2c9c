// Settings, faults, orders and reports of an emulated engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

// Handling of the KV blocks of a preempted sequence.
enum class PreemptionMode {
  kRecompute,  // drop the blocks; prefill the prompt and the generated tokens again
  kSwap,       // copy the blocks out and later back in, which adds to the step time
};

struct EngineSettings {
  Duration step_base = std::chrono::milliseconds(4);
  Duration step_per_sequence = std::chrono::microseconds(200);
  Duration step_per_prompt_token = std::chrono::microseconds(20);
  Duration swap_per_block = std::chrono::microseconds(50);  // each direction
  PreemptionMode preemption = PreemptionMode::kRecompute;
  uint32_t max_running_sequences = 32;
  uint32_t max_waiting_sequences = 256;        // further requests are refused
  uint32_t max_prompt_tokens_per_step = 1024;  // chunked prefill
  uint32_t block_tokens = 16;
  uint32_t total_blocks = 4096;
  bool prefix_cache = true;
  Duration load_report_lag = std::chrono::milliseconds(200);  // of load reports fetched by polling
  Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_loss_probability = 0.05;
  Duration model_load_time = std::chrono::seconds(2);
  std::vector<std::string> models;  // loaded at startup; empty: accepts every model name
};

// Injected faults of one engine; may be changed while it runs.
struct EngineFaults {
  double slow_factor = 1.0;         // multiplies step times
  double truncate_probability = 0;  // that a stream ends without its end marker
  double late_probability = 0;      // that all events of a stream are delayed
  Duration late_delay{0};
};

// Priorities that an engine accepts.
enum class EngineRole { kMixed, kOnlineOnly, kBatchOnly };

enum class EngineOrderKind { kLoadModel, kUnloadModel, kChangeRole, kLeave, kStay };

// An operator's order. Orders whose fence is not greater than the last accepted one are refused, so
// that a delayed order never reverts a newer one.
struct EngineOrder {
  uint64_t fence = 0;
  EngineOrderKind kind = EngineOrderKind::kLoadModel;
  std::string model;    // kLoadModel, kUnloadModel; an adapter is named "model:adapter"
  std::string version;  // kLoadModel
  EngineRole role = EngineRole::kMixed;
};

// A change of an engine's prefix cache. A gap in the sequence numbers indicates lost events.
struct CacheEvent {
  uint64_t sequence = 0;
  uint64_t block_hash = 0;
  bool added = false;
};

// Contents and duration of one finished step.
struct EngineStepReport {
  MonotonicTime started;
  Duration duration{0};
  uint32_t online_sequences = 0;
  uint32_t batch_sequences = 0;
  uint32_t online_prompt_tokens = 0;
  uint32_t batch_prompt_tokens = 0;
};

// Totals since the engine started.
struct EngineCounters {
  uint64_t steps = 0;
  Duration busy{0};
  uint64_t online_tokens = 0;  // generated
  uint64_t batch_tokens = 0;
  uint64_t online_prompt_tokens = 0;  // prefilled, recomputation included
  uint64_t batch_prompt_tokens = 0;
  uint64_t online_cached_prompt_tokens = 0;  // prefill avoided by the prefix cache
  uint64_t batch_cached_prompt_tokens = 0;
  uint64_t finished_batch_sequences = 0;
  uint64_t finished_batch_tokens = 0;         // answer tokens of finished batch sequences
  uint64_t finished_batch_prompt_tokens = 0;  // their prompt tokens
  uint64_t cancelled_sequences = 0;
  uint64_t preemptions = 0;
  uint64_t refused_sequences = 0;
};

}  // namespace chalkshed
