// Engine scheduler: determines the contents and duration of each step.
#include <algorithm>

#include "emulator/engine_model.h"
#include "emulator/engine_sequence.h"

namespace chalkshed {
void EngineModel::wake() {
  const bool idle = running_.empty() && waiting_online_.empty() && waiting_batch_.empty();
  if (!step_running_ && alive_ && !frozen_ && !idle) {
    begin_step();
  }
}

void EngineModel::begin_step() {
  step_running_ = true;
  step_ = EngineStepReport();
  step_.started = time_source_.monotonic_now();
  admit(EnginePriority::kOnline);
  if (waiting_online_.empty()) {
    admit(EnginePriority::kBatch);
  }
  grow_blocks();
  uint32_t prompt_budget = settings_.max_prompt_tokens_per_step;
  plan_prefill(EnginePriority::kOnline, prompt_budget);
  plan_prefill(EnginePriority::kBatch, prompt_budget);
  for (const SequencePtr& sequence : running_) {
    sequence->in_step = !sequence->prefilling() || sequence->prefill_in_step > 0;
    if (sequence->in_step) {
      ++(sequence->batch() ? step_.batch_sequences : step_.online_sequences);
    }
  }
  step_.duration = step_duration();
  swap_time_ = Duration(0);
  record_load();
  step_timer_->enable(step_.duration);
}

Duration EngineModel::step_duration() const {
  const uint32_t sequences = step_.online_sequences + step_.batch_sequences;
  const uint32_t prompt_tokens = step_.online_prompt_tokens + step_.batch_prompt_tokens;
  const Duration nominal = settings_.step_base + settings_.step_per_sequence * sequences +
                           settings_.step_per_prompt_token * prompt_tokens + swap_time_;
  const double slowed = static_cast<double>(nominal.count()) * faults_.slow_factor;
  return Duration(static_cast<int64_t>(slowed));
}

void EngineModel::admit(EnginePriority priority) {
  Queue& queue = waiting_queue(priority);
  while (!queue.empty()) {
    const SequencePtr sequence = queue.front();
    if (!try_admit(sequence)) {
      return;
    }
    // Preemption puts batch sequences at the front of the batch queue, never of the online queue.
    queue.pop_front();
    running_.push_back(sequence);
    if (admission_observer_) {
      admission_observer_(sequence->request.attempt_id);
    }
  }
}

bool EngineModel::try_admit(const SequencePtr& sequence) {
  const bool full = running_.size() >= settings_.max_running_sequences;
  if (full && (sequence->batch() || !preempt_one_batch())) {
    return false;
  }
  return reserve_blocks(*sequence);
}

bool EngineModel::reserve_blocks(Sequence& sequence) {
  const uint32_t cached = cache_.cached_prefix(sequence.block_hashes);
  cache_.pin(sequence.block_hashes, cached);
  const uint32_t tokens = sequence.prefill_target + 1;
  const uint32_t blocks = ceil_divide(tokens, settings_.block_tokens) - cached;
  if (!allocate_or_preempt(blocks, sequence.request.priority)) {
    cache_.unpin(sequence.block_hashes, cached);
    return false;
  }
  sequence.pinned_blocks = cached;
  sequence.private_blocks = blocks;
  if (sequence.swapped_out) {
    sequence.swapped_out = false;
    swap_time_ += settings_.swap_per_block * blocks;
    return true;
  }
  // The last token is always prefilled, because its output is the next token.
  const uint32_t cached_tokens =
      std::min(cached * settings_.block_tokens, sequence.prefill_target - 1);
  sequence.prefilled = cached_tokens;
  sequence.cached_prompt_tokens = cached_tokens;
  (sequence.batch() ? counters_.batch_cached_prompt_tokens
                    : counters_.online_cached_prompt_tokens) += cached_tokens;
  return true;
}

bool EngineModel::allocate_or_preempt(uint32_t blocks, EnginePriority for_priority) {
  while (!cache_.allocate(blocks)) {
    if (for_priority == EnginePriority::kBatch || !preempt_one_batch()) {
      return false;
    }
  }
  return true;
}

bool EngineModel::preempt_one_batch() {
  const auto youngest = std::find_if(running_.rbegin(), running_.rend(),
                                     [](const SequencePtr& sequence) { return sequence->batch(); });
  if (youngest == running_.rend()) {
    return false;
  }
  preempt(*youngest);
  return true;
}

void EngineModel::preempt(SequencePtr sequence) {
  ++counters_.preemptions;
  std::erase(running_, sequence);
  const bool swap = settings_.preemption == PreemptionMode::kSwap && !sequence->prefilling();
  if (swap) {
    swap_time_ += settings_.swap_per_block * sequence->private_blocks;
    sequence->swapped_out = true;
  } else {
    sequence->prefill_target = sequence->prompt_tokens + sequence->next_index;
    sequence->prefilled = 0;
  }
  release_blocks(*sequence);
  Queue& queue = waiting_queue(sequence->request.priority);
  queue.push_front(std::move(sequence));
}

void EngineModel::release_blocks(Sequence& sequence) {
  cache_.unpin(sequence.block_hashes, sequence.pinned_blocks);
  cache_.free(sequence.private_blocks);
  sequence.pinned_blocks = 0;
  sequence.private_blocks = 0;
}

void EngineModel::grow_blocks() {
  const std::vector<SequencePtr> sequences(running_.begin(), running_.end());
  for (const SequencePtr& sequence : sequences) {
    const uint32_t tokens =
        std::max(sequence->prefill_target, sequence->prompt_tokens + sequence->next_index) + 1;
    const uint32_t needed = ceil_divide(tokens, settings_.block_tokens);
    const bool still_running = sequence->private_blocks + sequence->pinned_blocks > 0;
    if (!still_running || needed <= sequence->private_blocks + sequence->pinned_blocks) {
      continue;
    }
    while (sequence->private_blocks + sequence->pinned_blocks > 0) {
      if (cache_.allocate(1)) {
        ++sequence->private_blocks;
        break;
      }
      if (!preempt_one_batch()) {
        preempt(running_.back());
      }
    }
  }
}

void EngineModel::plan_prefill(EnginePriority priority, uint32_t& budget) {
  for (const SequencePtr& sequence : running_) {
    if (sequence->request.priority != priority || !sequence->prefilling()) {
      continue;
    }
    sequence->prefill_in_step = std::min(budget, sequence->pending_prefill());
    budget -= sequence->prefill_in_step;
    (sequence->batch() ? step_.batch_prompt_tokens : step_.online_prompt_tokens) +=
        sequence->prefill_in_step;
  }
}

}  // namespace chalkshed
