#include "emulator/engine_model.h"

#include <algorithm>

#include "emulator/answer_model.h"
#include "emulator/engine_sequence.h"

namespace chalkshed {
namespace {

constexpr size_t kMaxCacheEvents = 10'000;
constexpr Duration kLoadHistorySpacing = std::chrono::milliseconds(1);

}  // namespace

EngineModel::EngineModel(EngineSettings settings, const TimeSource& time_source,
                         Dispatcher& dispatcher, RandomGenerator& random)
    : settings_(std::move(settings)),
      time_source_(time_source),
      random_(random),
      cache_(settings_.total_blocks),
      models_(settings_.models),
      step_timer_(dispatcher.create_timer([this] { end_step(); })),
      delayed_calls_(time_source, dispatcher) {
  record_load();
}

EngineModel::~EngineModel() = default;

EngineModel::Queue& EngineModel::waiting_queue(EnginePriority priority) {
  return priority == EnginePriority::kOnline ? waiting_online_ : waiting_batch_;
}

const EngineModel::Queue& EngineModel::waiting_queue(EnginePriority priority) const {
  return priority == EnginePriority::kOnline ? waiting_online_ : waiting_batch_;
}

std::optional<Error> EngineModel::refusal(const GenerateRequest& request) const {
  if (!alive_) {
    return not_run(ErrorKind::kUnavailable, "the engine is down", "use another worker");
  }
  if (leaving_) {
    return not_run(ErrorKind::kDraining, "the engine is leaving", "use another worker");
  }
  const bool loaded =
      settings_.models.empty() || std::ranges::find(models_, request.model) != models_.end();
  if (!loaded) {
    return not_run(ErrorKind::kUnknownModel, "model " + request.model + " is not loaded",
                   "load the model on this worker or use another");
  }
  const EngineRole unsuitable = request.priority == EnginePriority::kOnline
                                    ? EngineRole::kBatchOnly
                                    : EngineRole::kOnlineOnly;
  if (role_ == unsuitable) {
    return not_run(ErrorKind::kDraining, "the engine's role excludes this priority",
                   "use another worker");
  }
  if (waiting_queue(request.priority).size() >= settings_.max_waiting_sequences) {
    return not_run(ErrorKind::kOverloaded, "the engine's waiting queue is full",
                   "use another worker or resend later");
  }
  return std::nullopt;
}

EngineModel::SequencePtr EngineModel::make_sequence(GenerateRequest request,
                                                    GenerateCallbacks& callbacks) {
  auto sequence = std::make_shared<Sequence>();
  sequence->seed = answer_seed(request.model, request.prompt);
  sequence->prompt_tokens = count_prompt_tokens(request.prompt);
  sequence->answer_length = natural_answer_length(sequence->seed);
  if (request.max_tokens != 0 && request.max_tokens < sequence->answer_length) {
    sequence->answer_length = request.max_tokens;
    sequence->cut_by_limit = true;
  }
  sequence->next_index = static_cast<uint32_t>(request.resumed_tokens.size());
  sequence->prefill_target = sequence->prompt_tokens + sequence->next_index;
  if (settings_.prefix_cache) {
    sequence->block_hashes =
        prompt_block_hashes(request.model, request.prompt, settings_.block_tokens);
  }
  if (faults_.truncate_probability > 0 && random_.unit() < faults_.truncate_probability) {
    sequence->truncate_at = static_cast<uint32_t>(random_.below(sequence->answer_length));
  }
  if (faults_.late_probability > 0 && random_.unit() < faults_.late_probability) {
    sequence->delivery_delay = faults_.late_delay;
  }
  sequence->request = std::move(request);
  sequence->callbacks = &callbacks;
  return sequence;
}

std::optional<Error> EngineModel::submit(GenerateRequest request, GenerateCallbacks& callbacks) {
  if (std::optional<Error> error = refusal(request)) {
    ++counters_.refused_sequences;
    return error;
  }
  const SequencePtr sequence = make_sequence(std::move(request), callbacks);
  const uint32_t longest = sequence->prompt_tokens + sequence->answer_length + 1;
  if (ceil_divide(longest, settings_.block_tokens) > settings_.total_blocks) {
    ++counters_.refused_sequences;
    return not_run(ErrorKind::kTooLarge, "prompt and answer exceed the engine's KV memory",
                   "shorten the prompt");
  }
  waiting_queue(sequence->request.priority).push_back(sequence);
  if (sequence->request.time_limit) {
    delayed_calls_.add(*sequence->request.time_limit,
                       [this, attempt_id = sequence->request.attempt_id] { expire(attempt_id); });
  }
  record_load();
  wake();
  return std::nullopt;
}

// Ends a request that has reached its time limit.
void EngineModel::expire(const std::string& attempt_id) {
  for (Queue* queue : {&waiting_online_, &waiting_batch_, &running_}) {
    if (const SequencePtr sequence = remove_sequence(*queue, attempt_id)) {
      release_blocks(*sequence);
      ++counters_.cancelled_sequences;
      record_load();
      GenerateCallbacks* callbacks = std::exchange(sequence->callbacks, nullptr);
      callbacks->on_error(maybe_run(ErrorKind::kUpstreamFailed,
                                    "the request has reached its time limit",
                                    "resume it from its last token"));
      return;
    }
  }
}

EngineModel::SequencePtr EngineModel::remove_sequence(Queue& queue, const std::string& attempt_id) {
  const auto found = std::ranges::find_if(queue, [&](const SequencePtr& sequence) {
    return sequence->request.attempt_id == attempt_id;
  });
  if (found == queue.end()) {
    return nullptr;
  }
  SequencePtr sequence = *found;
  queue.erase(found);
  return sequence;
}

void EngineModel::cancel(const std::string& attempt_id) {
  for (const SequencePtr& sequence : delayed_) {
    if (sequence->request.attempt_id == attempt_id) {
      sequence->callbacks = nullptr;
    }
  }
  for (Queue* queue : {&waiting_online_, &waiting_batch_, &running_}) {
    if (const SequencePtr sequence = remove_sequence(*queue, attempt_id)) {
      sequence->callbacks = nullptr;
      release_blocks(*sequence);
      ++counters_.cancelled_sequences;
      record_load();
    }
  }
}

EngineLoad EngineModel::load() const {
  EngineLoad load;
  load.waiting_online = static_cast<uint32_t>(waiting_online_.size());
  load.waiting_batch = static_cast<uint32_t>(waiting_batch_.size());
  for (const SequencePtr& sequence : running_) {
    ++(sequence->batch() ? load.running_batch : load.running_online);
  }
  for (const Queue* queue : {&waiting_online_, &waiting_batch_, &running_}) {
    for (const SequencePtr& sequence : *queue) {
      load.pending_prompt_tokens += sequence->pending_prefill();
      if (sequence->batch()) {
        load.pending_batch_prompt_tokens += sequence->pending_prefill();
      }
    }
  }
  load.kv_blocks_used = cache_.used();
  load.kv_blocks_total = settings_.total_blocks;
  load.step_number = step_number_;
  load.last_step_time = last_step_time_;
  load.incarnation = incarnation_;
  load.leaving = leaving_;
  return load;
}

void EngineModel::record_load() {
  const MonotonicTime now = time_source_.monotonic_now();
  if (!load_history_.empty() && now - load_history_.back().first < kLoadHistorySpacing) {
    load_history_.back().second = load();
  } else {
    load_history_.emplace_back(now, load());
  }
  while (load_history_.size() > 1 && load_history_[1].first <= now - settings_.load_report_lag) {
    load_history_.pop_front();
  }
}

EngineLoad EngineModel::reported_load() {
  const MonotonicTime seen_until = time_source_.monotonic_now() - settings_.load_report_lag;
  while (load_history_.size() > 1 && load_history_[1].first <= seen_until) {
    load_history_.pop_front();
  }
  EngineLoad load = load_history_.front().second;
  load.leaving = leaving_;  // the leaving state is reported without lag
  load.incarnation = incarnation_;
  return load;
}

void EngineModel::record_cache_changes() {
  const MonotonicTime now = time_source_.monotonic_now();
  for (const CacheChange& change : cache_.take_changes()) {
    const uint64_t sequence = next_cache_event_++;
    if (random_.unit() < settings_.cache_event_loss_probability) {
      continue;
    }
    cache_events_.emplace_back(now, CacheEvent{sequence, change.block_hash, change.added});
  }
  while (cache_events_.size() > kMaxCacheEvents) {
    cache_events_.pop_front();
  }
}

std::vector<CacheEvent> EngineModel::cache_events(uint64_t after_sequence) const {
  const MonotonicTime seen_until = time_source_.monotonic_now() - settings_.cache_event_lag;
  std::vector<CacheEvent> events;
  for (const auto& [time, event] : cache_events_) {
    if (time <= seen_until && event.sequence > after_sequence) {
      events.push_back(event);
    }
  }
  return events;
}

std::optional<Error> EngineModel::apply_order(const EngineOrder& order) {
  if (order.fence <= last_fence_) {
    return not_run(ErrorKind::kConflict,
                   "order with fence " + std::to_string(order.fence) + " arrived after fence " +
                       std::to_string(last_fence_),
                   "read the newest order and use the next fence");
  }
  last_fence_ = order.fence;
  switch (order.kind) {
    case EngineOrderKind::kLoadModel:
      delayed_calls_.add(settings_.model_load_time, [this, fence = order.fence, order] {
        const bool known = std::ranges::find(models_, order.model) != models_.end();
        if (alive_ && fence <= last_fence_ && !known) {
          models_.push_back(order.model);
        }
      });
      break;
    case EngineOrderKind::kUnloadModel:
      std::erase(models_, order.model);
      break;
    case EngineOrderKind::kChangeRole:
      role_ = order.role;
      break;
    case EngineOrderKind::kLeave:
      leaving_ = true;
      break;
    case EngineOrderKind::kStay:
      leaving_ = false;
      break;
  }
  return std::nullopt;
}

std::vector<EngineModel::SequencePtr> EngineModel::clear_state() {
  std::vector<SequencePtr> all;
  for (Queue* queue : {&running_, &waiting_online_, &waiting_batch_}) {
    all.insert(all.end(), queue->begin(), queue->end());
    queue->clear();
  }
  all.insert(all.end(), delayed_.begin(), delayed_.end());
  delayed_.clear();
  cache_.clear();
  cache_events_.clear();
  load_history_.clear();
  step_timer_->disable();
  step_running_ = false;
  step_due_ = false;
  return all;
}

void EngineModel::kill() {
  alive_ = false;
  const std::vector<SequencePtr> broken = clear_state();
  record_load();
  for (const SequencePtr& sequence : broken) {
    if (GenerateCallbacks* callbacks = std::exchange(sequence->callbacks, nullptr)) {
      callbacks->on_error(maybe_run(ErrorKind::kUpstreamFailed, "the engine crashed",
                                    "resume or resend on another worker"));
    }
  }
}

void EngineModel::restart() {
  if (alive_) {
    kill();
  }
  alive_ = true;
  frozen_ = false;
  leaving_ = false;
  ++incarnation_;
  step_number_ = 0;
  models_ = settings_.models;
}

void EngineModel::set_frozen(bool frozen) {
  frozen_ = frozen;
  if (!frozen_ && step_due_) {
    step_due_ = false;
    end_step();
  } else if (!frozen_) {
    wake();
  }
}

void EngineModel::deliver(const SequencePtr& sequence,
                          std::function<void(GenerateCallbacks&)> event) {
  delayed_calls_.add(sequence->delivery_delay, [this, sequence, event = std::move(event)] {
    if (--sequence->pending_events == 0) {
      std::erase(delayed_, sequence);
    }
    if (sequence->callbacks != nullptr) {
      event(*sequence->callbacks);
    }
  });
  if (sequence->pending_events++ == 0) {
    delayed_.push_back(sequence);
  }
}

void EngineModel::deliver_token(const SequencePtr& sequence, const EngineLoad& load) {
  GenerateChunk chunk;
  chunk.first_index = sequence->next_index - 1;
  chunk.tokens.push_back(answer_token(sequence->seed, chunk.first_index));
  chunk.load = load;
  if (sequence->delivery_delay > Duration(0)) {
    deliver(sequence, [chunk = std::move(chunk)](GenerateCallbacks& callbacks) {
      callbacks.on_chunk(chunk);
    });
  } else {
    sequence->callbacks->on_chunk(chunk);
  }
}

void EngineModel::deliver_end(const SequencePtr& sequence, const EngineLoad& load) {
  const bool truncated = sequence->next_index < sequence->answer_length;
  GenerateResult result;
  result.finish_reason = sequence->cut_by_limit ? FinishReason::kLength : FinishReason::kStop;
  result.prompt_tokens = sequence->prompt_tokens;
  result.cached_prompt_tokens = std::min(sequence->cached_prompt_tokens, sequence->prompt_tokens);
  result.completion_tokens = sequence->next_index;
  result.load = load;
  auto event = [truncated, result](GenerateCallbacks& callbacks) {
    if (truncated) {
      callbacks.on_error(maybe_run(ErrorKind::kUpstreamFailed, "the stream ended prematurely",
                                   "resume or resend on another worker"));
    } else {
      callbacks.on_complete(result);
    }
  };
  if (sequence->delivery_delay > Duration(0)) {
    deliver(sequence, event);
  } else {
    event(*std::exchange(sequence->callbacks, nullptr));
  }
}

void EngineModel::count_finished(const Sequence& sequence) {
  if (sequence.batch()) {
    ++counters_.finished_batch_sequences;
    counters_.finished_batch_tokens += sequence.next_index;
    counters_.finished_batch_prompt_tokens += sequence.prompt_tokens;
  }
}

void EngineModel::advance(Sequence& sequence) {
  const bool was_prefilling = sequence.prefilling();
  sequence.prefilled += sequence.prefill_in_step;
  sequence.prefill_in_step = 0;
  if (sequence.prefilling()) {
    return;
  }
  const auto full_blocks = static_cast<uint32_t>(sequence.block_hashes.size());
  if (was_prefilling && sequence.pinned_blocks < full_blocks) {
    sequence.private_blocks -= full_blocks - sequence.pinned_blocks;
    cache_.publish(sequence.block_hashes, sequence.pinned_blocks, full_blocks);
    sequence.pinned_blocks = full_blocks;
  }
  // A resumed answer may already be complete; then only its end marker is missing.
  sequence.produced_token = sequence.next_index < sequence.answer_length;
  if (sequence.produced_token) {
    ++sequence.next_index;
    ++(sequence.batch() ? counters_.batch_tokens : counters_.online_tokens);
  }
}

void EngineModel::end_step() {
  if (frozen_) {
    step_due_ = true;
    return;
  }
  ++step_number_;
  ++counters_.steps;
  counters_.busy += step_.duration;
  counters_.online_prompt_tokens += step_.online_prompt_tokens;
  counters_.batch_prompt_tokens += step_.batch_prompt_tokens;
  last_step_time_ = step_.duration;

  std::vector<SequencePtr> advanced;
  std::vector<SequencePtr> ended;
  for (const SequencePtr& sequence : running_) {
    if (!std::exchange(sequence->in_step, false)) {
      continue;
    }
    advance(*sequence);
    if (sequence->prefilling()) {
      continue;
    }
    advanced.push_back(sequence);
    const bool truncated = sequence->truncate_at && sequence->next_index > *sequence->truncate_at;
    if (sequence->next_index >= sequence->answer_length || truncated) {
      ended.push_back(sequence);
    }
  }
  for (const SequencePtr& sequence : ended) {
    std::erase(running_, sequence);
    release_blocks(*sequence);
    count_finished(*sequence);
  }
  record_cache_changes();
  record_load();
  if (step_observer_) {
    step_observer_(step_);
  }
  // Callbacks may submit and cancel requests; the next step begins after all of them.
  const EngineLoad load_now = load();
  const uint64_t incarnation = incarnation_;
  size_t next_ended = 0;
  for (const SequencePtr& sequence : advanced) {
    if (sequence->callbacks != nullptr && sequence->produced_token) {
      deliver_token(sequence, load_now);
    }
    const bool at_end = next_ended < ended.size() && ended[next_ended] == sequence;
    if (at_end) {
      ++next_ended;
    }
    if (at_end && sequence->callbacks != nullptr) {
      deliver_end(sequence, load_now);
    }
  }
  if (incarnation == incarnation_ && alive_) {
    step_running_ = false;
    wake();
  }
}

}  // namespace chalkshed
