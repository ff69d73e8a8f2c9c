#include "src/serving/worker_attempt.h"

#include <utility>

namespace chalkshed {
namespace {

constexpr int kOk = 200;
constexpr int kFirstFailure = 300;
constexpr int kFirstServerError = 500;

// A worker in trouble may send bytes without end. More than this is no answer: of a success that is
// handed on whole, ...
constexpr size_t kMaxAnswerBytes = size_t{8} * 1024 * 1024;
// ... of a failure, which only tells what went wrong, ...
constexpr size_t kMaxFailureBytes = size_t{256} * 1024;
// ... of an event, and of comments and blank lines without an event, ...
constexpr size_t kMaxEventBytes = size_t{1024} * 1024;
// ... and of a refusal, which is only read so that its connection can be used again.
constexpr size_t kMaxRefusalBytes = size_t{64} * 1024;

// A worker that sends more of them before the answer to the request is not going to send that.
constexpr uint32_t kMaxSurplusAnswers = 4;

bool is_success(int status) { return status >= kOk && status < kFirstFailure; }

}  // namespace

std::string_view not_run_proof_name(NotRunProof proof) {
  switch (proof) {
    case NotRunProof::kNone:
      return "";
    case NotRunProof::kNotConnected:
      return "not_connected";
    case NotRunProof::kRefused:
      return "refused";
    case NotRunProof::kReplaced:
      return "replaced";
  }
  return "";
}

WorkerAttempt::WorkerAttempt(ServingEnvironment& environment, WorkerSlotPtr slot,
                             const WorkerSend& send, const AttemptOptions& options,
                             AttemptObserver& observer)
    : time_source_(environment.time_source),
      protocol_(environment.protocol),
      workers_(environment.workers),
      quarantine_(environment.quarantine),
      surplus_(environment.surplus),
      slot_(std::move(slot)),
      request_(*send.request),
      streaming_(options.streaming),
      repeatable_(options.repeatable),
      silence_timeout_(options.silence_timeout),
      observer_(observer),
      sent_(time_source_.monotonic_now()),
      last_activity_(sent_),
      on_run_over_(quarantine_.note_started(request_, slot_->worker().record.service)) {
  const ServingWorker& worker = slot_->worker();
  silence_counts_ = workers_.load_of(worker) <= worker.record.slots;
  HttpCallOptions call_options;
  call_options.pool = options.pool;
  call_options.connect_timeout = options.connect_timeout;
  call_options.idle_timeout = options.silence_timeout;
  call_options.host = request_.host;
  call_options.fresh_connection = request_.id.empty();
  call_options.name = options.may_return ? request_.id : "";
  call_ = environment.worker_client.send(slot_->worker().record.address, protocol_.encode(send),
                                         call_options, *this);
  connection_use_ = call_->connection_use();
  if (environment.memory != nullptr) {
    memory_ = std::make_shared<answer_memory::account>(*environment.memory,
                                                       worker.record.incarnation, [this] {
                                                         if (call_) {
                                                           call_->resume_reading();
                                                         }
                                                       });
  }
}

WorkerAttempt::~WorkerAttempt() { end_run(); }

void WorkerAttempt::end_run() {
  if (const auto on_run_over = std::exchange(on_run_over_, nullptr)) {
    on_run_over();
  }
}

void WorkerAttempt::on_headers(int status, const HttpHeaders& headers) {
  last_activity_ = time_source_.monotonic_now();
  verdict_ = protocol_.judge(request_, status, headers);
  if (!answers_this_request()) {
    handle_surplus(status);
    return;
  }
  end_.status = status;
  end_.headers = headers;
  ServingWorker& worker = slot_->worker();
  if (verdict_.load) {
    workers_.note_report(worker, *verdict_.load);
  }
  if (verdict_.not_run) {
    return;  // the rest is not needed, but reading it to the end lets the connection be reused
  }
  if (!verdict_.authentic) {
    workers_.note_failure(worker, sent_);
    note_answer(answer_fault::kWrong);
    abandon("the answer with status " + std::to_string(status) + " is not authentic");
    return;
  }
  if (verdict_.encoded) {
    workers_.note_failure(worker, sent_);
    note_answer(answer_fault::kWrong);
    abandon("the worker used a content encoding that was not requested");
    return;
  }
  if (streaming_ && status == kOk) {
    relays_events_ = true;
    observer_.on_stream_begun(headers);
  }
}

void WorkerAttempt::on_body(std::string_view data) {
  last_activity_ = time_source_.monotonic_now();
  if (verdict_.not_run) {
    read_refusal(data);
    return;
  }
  if (!relays_events_) {
    end_.body.append(data);
    const size_t limit = is_success(end_.status) ? kMaxAnswerBytes : kMaxFailureBytes;
    if (end_.body.size() > limit) {
      give_up("the worker's answer exceeds " + std::to_string(limit) + " bytes");
      return;
    }
    hold(end_.body.size());
    return;
  }
  std::string_view events = splitter_.add(data);
  if (splitter_.incomplete_bytes() > kMaxEventBytes) {
    give_up("an event of the worker exceeds " + std::to_string(kMaxEventBytes) + " bytes");
    return;
  }
  std::string kept;
  if (may_have_empty_events(events)) {
    kept = without_empty_events(events);
    empty_bytes_ += events.size() - kept.size();
    events = kept;
  }
  if (empty_bytes_ > kMaxEventBytes) {
    give_up("the worker sends no events");
    return;
  }
  hold(splitter_.incomplete_bytes());
  if (!events.empty()) {
    empty_bytes_ = 0;
    note_first_event();
    if (verdict_.load && verdict_.load->slowdown) {
      gaps_.add(count_events(events), last_activity_);
    }
    observer_.on_events(events);
  }
}

void WorkerAttempt::hold(size_t bytes) {
  if (memory_ && !memory_->hold(bytes)) {
    call_->pause_reading();
  }
}

void WorkerAttempt::read_refusal(std::string_view data) {
  refusal_bytes_ += data.size();
  if (refusal_bytes_ > kMaxRefusalBytes) {
    call_.reset();
    end_refused();
  }
}

void WorkerAttempt::give_up(std::string reason) {
  workers_.note_failure(slot_->worker(), sent_);
  note_answer(answer_fault::kWrong);
  abandon(std::move(reason));
}

void WorkerAttempt::note_first_event() {
  if (std::exchange(has_event_, true)) {
    return;
  }
  first_event_at_ = time_source_.monotonic_now();
  workers_.note_answer_begun(slot_->worker(), request_.digest, sent_);
  quarantine_.note_answer_begun(request_, slot_->worker());
  if (slot_->worker_was_idle) {
    first_event_after_ = time_source_.monotonic_now() - sent_;
    workers_.note_first_token(slot_->worker(), request_.prompt_tokens, *first_event_after_);
  }
}

void WorkerAttempt::note_pace() {
  if (!verdict_.load || !verdict_.load->slowdown) {
    return;
  }
  // Shorter prompts say little about the speed: the answer takes some time without any.
  constexpr uint32_t kMinPromptTokens = 1500;
  const Duration whole = last_activity_ - sent_;
  if (const std::optional<Duration> gap = gaps_.mean()) {
    workers_.note_pace(slot_->worker(), {PaceKind::kEvents, *gap, whole, *verdict_.load});
  } else if (relays_events_ && first_event_after_ && verdict_.load->waiting == 0 &&
             request_.prompt_tokens >= kMinPromptTokens) {
    workers_.note_pace(slot_->worker(),
                       {PaceKind::kFirstEvent, *first_event_after_ / request_.prompt_tokens,
                        *first_event_after_, *verdict_.load});
  } else if (!relays_events_ && request_.prompt_tokens == 0 && request_.max_output_tokens == 0) {
    workers_.note_pace(slot_->worker(), {PaceKind::kWholeAnswer, whole, whole, *verdict_.load});
  }
}

void WorkerAttempt::note_answer(answer_fault fault) {
  if (!std::exchange(answer_noted_, true)) {
    workers_.note_answer(slot_->worker(), request_.digest, fault, sent_);
  }
}

// Requests of several nodes may wait in the queue of a full worker for a long time.
void WorkerAttempt::note_silent() {
  if (silence_counts_ || has_event_) {
    note_answer(answer_fault::kSilent);
  }
}

void WorkerAttempt::on_end() {
  ServingWorker& worker = slot_->worker();
  if (verdict_.not_run) {
    if (verdict_.other_incarnation) {
      workers_.note_replaced(worker);
    } else if (!verdict_.unmet_condition) {
      workers_.note_refusal(worker);
    }
    end_refused();
    return;
  }
  if (relays_events_ && splitter_.inside_event()) {
    workers_.note_failure(worker, sent_);
    note_answer(answer_fault::kTruncated);
    note_broken();
    end(AttemptResult::kBroken, "the stream ended inside an event");
    return;
  }
  if (is_success(end_.status)) {
    workers_.note_success(worker);
    note_answer(answer_fault::kNone);
    note_pace();
    if (!relays_events_) {
      quarantine_.note_answer_begun(request_, worker);
    }
  } else if (end_.status >= kFirstServerError) {
    note_answer(answer_fault::kStatus);
  }
  quarantine_.note_answered(request_.digest, sent_);
  end(AttemptResult::kWhole, "");
}

void WorkerAttempt::on_error(const Error& error) {
  workers_.note_failure(slot_->worker(), sent_);
  if (verdict_.not_run) {
    end_refused();
    return;
  }
  if (error.ran == Ran::kNo) {
    end_not_run(NotRunProof::kNotConnected, error.message);
    return;
  }
  if (end_.status != 0) {
    note_answer(answer_fault::kTruncated);
  } else if (time_source_.monotonic_now() - last_activity_ >= silence_timeout_) {
    note_answer(answer_fault::kSilent);
  } else {
    note_answer(answer_fault::kReset);
  }
  note_broken();
  end(AttemptResult::kBroken, error.message);
}

// A worker that sends something else is running: it gets the blame, and not what it runs.
void WorkerAttempt::on_malformed(const Error& error) {
  workers_.note_failure(slot_->worker(), sent_);
  if (verdict_.not_run) {
    end_refused();
    return;
  }
  note_answer(answer_fault::kWrong);
  end(AttemptResult::kBroken, error.message);
}

void WorkerAttempt::note_broken() {
  const Duration silence = time_source_.monotonic_now() - last_activity_;
  note_lost(silence >= silence_timeout_);
}

void WorkerAttempt::note_lost(bool silent) {
  quarantine_.note_broken(request_, slot_->worker(), {sent_, first_event_at_, silent});
}

void WorkerAttempt::abandon(std::string reason) {
  call_.reset();
  end(AttemptResult::kBroken, std::move(reason));
}

bool WorkerAttempt::answers_this_request() const {
  const bool sole = request_.id.empty() && connection_use_ == 1;
  return verdict_.names == answer_naming::kThis || (verdict_.names == answer_naming::kNone && sole);
}

// An answer to another request is followed by the one to this request. An answer that names none
// may be all that the worker sends: a request that can run elsewhere leaves the worker.
bool WorkerAttempt::waits_on() const {
  const bool named = verdict_.names == answer_naming::kOther;
  return (named || !repeatable_) && surplus_count_ <= kMaxSurplusAnswers;
}

void WorkerAttempt::handle_surplus(int status) {
  ++surplus_count_;
  if (surplus_ != nullptr) {
    surplus_->note({verdict_.names, slot_->worker().record.incarnation, request_.id, verdict_.named,
                    status, verdict_.authentic, connection_use_});
  }
  const bool waits = waits_on();
  verdict_ = {};
  workers_.note_failure(slot_->worker(), sent_);
  note_answer(answer_fault::kWrong);
  if (waits && call_->skip_answer()) {
    return;
  }
  abandon("the worker's answer with status " + std::to_string(status) +
          " does not name the request");
}

void WorkerAttempt::end_refused() {
  end_not_run(verdict_.other_incarnation ? NotRunProof::kReplaced : NotRunProof::kRefused,
              "the worker refused with status " + std::to_string(end_.status));
}

void WorkerAttempt::end_not_run(NotRunProof proof, std::string reason) {
  end_.proof = proof;
  if (surplus_ != nullptr && proof != NotRunProof::kNotConnected) {
    surplus_->note_not_run(request_.id, slot_->worker().record.incarnation);
  }
  end(AttemptResult::kNotRun, std::move(reason));
}

void WorkerAttempt::end(AttemptResult result, std::string reason) {
  if (std::exchange(ended_, true)) {
    return;
  }
  if (result == AttemptResult::kNotRun) {
    quarantine_.note_refused(request_.digest);
  }
  slot_->refused = result == AttemptResult::kNotRun;
  if (memory_) {
    memory_->finish();
    end_.memory = result == AttemptResult::kWhole ? memory_ : nullptr;
    memory_.reset();
  }
  end_run();
  end_.result = result;
  end_.reason = std::move(reason);
  // The observer may destroy this attempt.
  observer_.on_attempt_ended(std::move(end_));
}

}  // namespace chalkshed
