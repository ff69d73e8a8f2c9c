#include "src/batch/chunk_run.h"

#include <algorithm>

#include "src/gateway/request_admission.h"

namespace chalkshed {
namespace {

// Failures that say nothing about the item itself, only that the worker did not take it.
bool certainly_not_run(const Error& error) {
  return error.ran == Ran::kNo &&
         (error.kind == ErrorKind::kUnavailable || error.kind == ErrorKind::kOverloaded ||
          error.kind == ErrorKind::kDraining);
}

bool is_permanent(const Error& error) {
  return error.kind == ErrorKind::kInvalidRequest || error.kind == ErrorKind::kTooLarge;
}

std::string join(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) {
    text += token;
  }
  return text;
}

}  // namespace

struct ChunkRun::Item {
  std::string custom_id;
  CompletionRequest request;
  std::vector<std::string> tokens;  // of all attempts
  std::string line;                 // output, once finished
  uint32_t failures = 0;            // without progress in between
  uint32_t refusals = 0;            // attempts that did not run, in a row
  WorkerId failed_worker;
  MonotonicTime quiet_at{};  // the engine has surely ended the present attempt
  TimerPtr retry_timer;
  std::unique_ptr<ItemAttempt> run;
};

ChunkRun::ChunkRun(ChunkEnvironment environment, JobRow job, uint32_t number, ChunkRow row,
                   RowVersion version, Events events)
    : environment_(environment),
      job_(std::move(job)),
      number_(number),
      row_(std::move(row)),
      events_(std::move(events)),
      input_timer_(environment_.dependencies.dispatcher.create_timer([this] { load(); })),
      commit_(environment_.dependencies, environment_.store, environment_.lease, environment_.knobs,
              ClaimedChunk{job_.id, number_, row_, version},
              [this](ChunkEnd how) { events_.on_end(how); }) {}

ChunkRun::~ChunkRun() { environment_.unsaved_result_bytes -= unsaved_bytes_; }

bool ChunkRun::may_act() const {
  return !environment_.knobs.safeguards.lease_checked_before_side_effects ||
         environment_.lease.valid();
}

// ---- input ----

void ChunkRun::load() {
  environment_.store.get(
      StoreUrgency::kBackground, input_object_name(job_.id, number_),
      lifetime_.guard([this](Expected<std::shared_ptr<const std::string>> input) {
        on_input(std::move(input));
      }));
}

void ChunkRun::on_input(Expected<std::shared_ptr<const std::string>> input) {
  if (phase_ != Phase::kLoading) {
    return;
  }
  if (!input) {
    input_timer_->enable(environment_.store.backoff(++input_failures_));
    return;
  }
  input_ = std::move(*input);
  parse_slice();
}

void ChunkRun::parse_slice() {
  if (phase_ != Phase::kLoading) {
    return;
  }
  const uint32_t limit = environment_.knobs.parse_lines_per_turn;
  for (uint32_t lines = 0; lines < limit && parsed_bytes_ < input_->size(); ++lines) {
    const size_t end = std::min(input_->find('\n', parsed_bytes_), input_->size());
    parse_line(std::string_view(*input_).substr(parsed_bytes_, end - parsed_bytes_));
    parsed_bytes_ = end + 1;
  }
  if (parsed_bytes_ < input_->size()) {
    environment_.dependencies.dispatcher.post(lifetime_.guard([this] { parse_slice(); }));
    return;
  }
  input_.reset();
  phase_ = Phase::kWorking;
  last_progress_ = environment_.dependencies.time_source.monotonic_now();
  events_.on_ready();
}

void ChunkRun::parse_line(std::string_view line) {
  const auto index = static_cast<uint32_t>(items_.size());
  items_.push_back(std::make_unique<Item>());
  auto parsed = parse_batch_item(line);
  if (!parsed) {
    // Accepted lines were parsed before; only a change of the parser can bring this about.
    fail_item(index, parsed.error());
    return;
  }
  items_.back()->custom_id = std::move(parsed->custom_id);
  items_.back()->request = std::move(parsed->request);
  ready_.push_back(index);
}

// ---- items ----

std::optional<ChunkRun::Startable> ChunkRun::next_startable(const std::set<std::string>& blocked) {
  const ConfigurationPtr configuration = environment_.configuration.current();
  if (configuration == nullptr) {
    return std::nullopt;
  }
  for (size_t position = 0; position < ready_.size() && phase_ == Phase::kWorking;) {
    const uint32_t index = ready_[position];
    const Item& item = *items_[index];
    const auto service = find_service_of_model(*configuration, item.request.model);
    if (!service) {
      ready_.erase(ready_.begin() + static_cast<std::ptrdiff_t>(position));
      fail_item(index, service.error());
      continue;
    }
    if (!blocked.contains((*service)->name)) {
      return Startable{index, (*service)->name, item.request.prompt_tokens, item.failed_worker};
    }
    ++position;
  }
  return std::nullopt;
}

GenerateRequest ChunkRun::generate_request(const Item& item, uint32_t index) {
  GenerateRequest request;
  request.attempt_id = request_id(index) + "-" + std::to_string(++attempts_) + "-" + row_.owner;
  request.model = item.request.model;
  request.prompt = item.request.prompt;
  request.max_tokens = item.request.max_tokens;
  request.priority = environment_.knobs.safeguards.low_engine_priority ? EnginePriority::kBatch
                                                                       : EnginePriority::kOnline;
  request.time_limit = environment_.knobs.attempt_time_limit;
  if (environment_.knobs.safeguards.lease_checked_before_side_effects) {
    request.time_limit = std::min(*request.time_limit, environment_.lease.time_left());
  }
  return request;
}

void ChunkRun::start_item(uint32_t index, BatchSlotPtr slot) {
  std::erase(ready_, index);
  if (!may_act()) {
    ready_.push_front(index);
    return;
  }
  Item& item = *items_[index];
  ++running_;
  last_progress_ = environment_.dependencies.time_source.monotonic_now();
  events_.on_item_charge(item.request.prompt_tokens + item.request.max_tokens);
  GenerateRequest request = generate_request(item, index);
  item.quiet_at = last_progress_ + *request.time_limit + environment_.knobs.attempt_margin;
  item.run = std::make_unique<ItemAttempt>(
      environment_.dependencies, std::move(slot), std::move(request), item.tokens,
      [this, index](AttemptOutcome how) { on_item_end(index, how); });
}

void ChunkRun::on_item_end(uint32_t index, AttemptOutcome how) {
  Item& item = *items_[index];
  --running_;
  if (item.run->progressed()) {
    item.failures = 0;
  }
  if (how == AttemptOutcome::kRevoked) {
    abandon_attempt(item);
    ready_.push_front(index);
    events_.on_ready();
    return;
  }
  if (how == AttemptOutcome::kFailed) {
    on_item_failed(index);
    return;
  }
  const GenerateResult result = item.run->result();
  item.run.reset();
  CompletionIdentity identity;
  identity.api = item.request.api;
  identity.request_id = request_id(index);
  identity.model = item.request.model;
  identity.created_seconds = static_cast<int64_t>(job_.created_us / 1'000'000);
  const CompletionUsage usage{result.prompt_tokens, result.cached_prompt_tokens,
                              result.completion_tokens};
  const std::string body =
      format_completion(identity, join(item.tokens), result.finish_reason, usage);
  finish_item(index, format_item_answer(request_id(index), item.custom_id, body), false);
  events_.on_ready();
}

void ChunkRun::on_item_failed(uint32_t index) {
  Item& item = *items_[index];
  const Error error = item.run->error();
  item.failed_worker = item.run->worker();
  if (certainly_not_run(error)) {
    item.run.reset();
  } else {
    abandon_attempt(item);
  }
  if (is_permanent(error)) {
    fail_item(index, error);
    events_.on_ready();
    return;
  }
  if (certainly_not_run(error)) {
    ++item.refusals;
  } else {
    item.refusals = 0;
    ++item.failures;
  }
  if (item.failures >= environment_.knobs.max_item_attempts) {
    fail_item(index, error);
    events_.on_ready();
    return;
  }
  const uint32_t doublings = std::min(item.failures + item.refusals, 10U);
  const Duration ceiling = std::min(environment_.knobs.item_backoff * (int64_t{1} << doublings),
                                    environment_.knobs.item_backoff_limit);
  const auto half = static_cast<uint64_t>(ceiling.count() / 2);
  retry_item(
      index,
      Duration(static_cast<int64_t>(half + environment_.dependencies.random.below(half + 1))));
  events_.on_ready();
}

void ChunkRun::retry_item(uint32_t index, Duration delay) {
  Item& item = *items_[index];
  if (item.retry_timer == nullptr) {
    item.retry_timer = environment_.dependencies.dispatcher.create_timer([this, index] {
      if (phase_ == Phase::kWorking) {
        ready_.push_back(index);
        events_.on_ready();
      }
    });
  }
  item.retry_timer->enable(delay);
}

std::string ChunkRun::request_id(uint32_t index) const {
  return job_.id + "-" + std::to_string(uint64_t{number_} * job_.chunk_items + index) + "-" +
         std::to_string(row_.epoch);
}

void ChunkRun::fail_item(uint32_t index, const Error& error) {
  finish_item(index, format_item_error(request_id(index), items_[index]->custom_id, error), true);
}

void ChunkRun::finish_item(uint32_t index, std::string line, bool failed) {
  Item& item = *items_[index];
  item.line = std::move(line);
  item.request.prompt = std::string();
  item.tokens = std::vector<std::string>();
  result_bytes_ += item.line.size();
  ++finished_;
  failed_ += failed ? 1 : 0;
  last_progress_ = environment_.dependencies.time_source.monotonic_now();
  const uint32_t first = number_ * job_.chunk_items;
  const uint32_t expected = std::min(job_.chunk_items, job_.items - first);
  if (finished_ == expected && items_.size() == expected) {
    phase_ = Phase::kSaving;
    unsaved_bytes_ = result_bytes_;
    environment_.unsaved_result_bytes += unsaved_bytes_;
    environment_.dependencies.dispatcher.post(lifetime_.guard([this] { save(); }));
  }
}

uint32_t ChunkRun::unfinished_items() const {
  if (phase_ == Phase::kLoading) {
    return job_.chunk_items;
  }
  return phase_ == Phase::kWorking ? static_cast<uint32_t>(items_.size()) - finished_ : 0;
}

std::optional<MonotonicTime> ChunkRun::idle_since() const {
  if (phase_ != Phase::kWorking || running_ > 0 || ready_.empty()) {
    return std::nullopt;
  }
  return last_progress_;
}

// Cancels an attempt. An engine that cannot be reached works on until the attempt's time limit.
void ChunkRun::abandon_attempt(Item& item) {
  item.run.reset();
  quiet_at_ = std::max(quiet_at_, item.quiet_at);
}

void ChunkRun::stop_items() {
  for (uint32_t index = 0; index < items_.size(); ++index) {
    Item& item = *items_[index];
    if (item.run != nullptr) {
      abandon_attempt(item);
      --running_;
      ready_.push_back(index);
    }
  }
  std::sort(ready_.begin(), ready_.end());
}

// ---- end ----

void ChunkRun::pause() { stop_items(); }

void ChunkRun::resume() { commit_.resume(); }

void ChunkRun::save() {
  if (phase_ != Phase::kSaving) {
    return;
  }
  std::string content;
  content.reserve(result_bytes_ + items_.size());
  for (const auto& item : items_) {
    content += item->line;
    content += '\n';
    item->line = std::string();
  }
  commit_.save(std::move(content), finished_ - failed_, failed_);
}

void ChunkRun::cancel() {
  if (cancelled_) {
    return;
  }
  cancelled_ = true;
  leave();
  commit_.cancel(quiet_at_);
}

void ChunkRun::release() {
  if (phase_ == Phase::kLoading || phase_ == Phase::kWorking) {
    leave();
    commit_.release(quiet_at_);
  }
}

void ChunkRun::leave() {
  stop_items();
  input_timer_->disable();
  phase_ = Phase::kLeaving;
}

}  // namespace chalkshed
