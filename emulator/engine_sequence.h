// State of one request inside EngineModel.
#pragma once

#include <optional>
#include <vector>

#include "emulator/engine_model.h"

namespace chalkshed {

inline uint32_t ceil_divide(uint32_t value, uint32_t divisor) {
  return (value + divisor - 1) / divisor;
}

struct EngineModel::Sequence {
  GenerateRequest request;
  GenerateCallbacks* callbacks = nullptr;  // null once cancelled
  uint64_t seed = 0;
  uint32_t prompt_tokens = 0;
  uint32_t answer_length = 0;   // in tokens
  bool cut_by_limit = false;    // max_tokens ends the answer before its natural end
  uint32_t next_index = 0;      // of the next token to generate
  bool produced_token = false;  // in the last step
  uint32_t cached_prompt_tokens = 0;
  std::vector<uint64_t> block_hashes;  // of the prompt
  uint32_t pinned_blocks = 0;          // leading blocks held in the prefix cache
  uint32_t private_blocks = 0;
  uint32_t prefill_target = 0;  // tokens that must be prefilled before the next token
  uint32_t prefilled = 0;
  uint32_t prefill_in_step = 0;
  bool in_step = false;
  bool swapped_out = false;
  std::optional<uint32_t> truncate_at;  // fault: the stream ends prematurely at this token
  Duration delivery_delay{0};           // fault: delay of every event
  uint32_t pending_events = 0;          // scheduled events not delivered yet

  bool prefilling() const { return prefilled < prefill_target; }
  bool batch() const { return request.priority == EnginePriority::kBatch; }
  uint32_t pending_prefill() const { return prefill_target - prefilled; }
};

}  // namespace chalkshed
