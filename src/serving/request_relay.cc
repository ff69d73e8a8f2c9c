#include "src/serving/request_relay.h"

#include <algorithm>

#include "chalkshed/request_digest.h"
#include "chalkshed/resumption_outcome.h"
#include "chalkshed/stream_origins.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

constexpr int kInternalServerError = 500;

}  // namespace

std::string_view relay_end_name(RelayEnd end) {
  switch (end) {
    case RelayEnd::kAnswered:
      return "answered";
    case RelayEnd::kRefused:
      return "refused";
    case RelayEnd::kFailed:
      return "failed";
    case RelayEnd::kBroken:
      return "broken";
    case RelayEnd::kCallerGone:
      return "caller_gone";
  }
  return "failed";
}

RequestRelay::RequestRelay(ServingEnvironment& environment, RouteTablePtr table, const Route& route,
                           std::string service, ServingRequest request, ResponseWriterPtr writer,
                           OnEnd on_end)
    : environment_(environment),
      table_(std::move(table)),
      route_(route),
      service_(std::move(service)),
      request_(std::move(request)),
      writer_(std::move(writer)),
      on_end_(std::move(on_end)),
      received_(environment.time_source.monotonic_now()),
      deadline_(received_ + std::min(route.timeout, request_.time_limit.value_or(route.timeout))),
      last_event_(request_.resume_after),
      deadline_timer_(environment.dispatcher.create_timer([this] { handle_timeout(); })),
      wait_timer_(environment.dispatcher.create_timer([this] { handle_wait_timeout(); })),
      silence_timer_(environment.dispatcher.create_timer([this] { check_silence(); })) {}

Duration RequestRelay::elapsed() const {
  return environment_.time_source.monotonic_now() - received_;
}

Duration RequestRelay::time_left() const {
  return deadline_ - environment_.time_source.monotonic_now();
}

void RequestRelay::start(bool queue_first) {
  writer_->set_on_closed(lifetime_.guard(
      [this] { finish(RelayEnd::kCallerGone, "the caller closed the connection"); }));
  deadline_timer_->enable(std::max(time_left(), Duration(0)));
  if (end_if_quarantined()) {
    return;
  }
  if (environment_.workers.all_evacuated(service_)) {
    refuse(ErrorKind::kUnavailable,
           "all workers of service '" + service_ + "' are in evacuated zones");
    return;
  }
  if (goes_on() && !environment_.workers.serves(service_, software_)) {
    refuse(ErrorKind::kUnavailable, no_worker_reason());
    return;
  }
  if (queue_first || !send(IfFull::kWait)) {
    wait_for_slot();
  }
}

bool RequestRelay::end_if_quarantined() {
  if (!environment_.quarantine.refuses(request_, service_)) {
    return false;
  }
  if (runs_ > 0) {
    fail_after_run("workers crashed while they ran this request");
    return true;
  }
  const Error error = environment_.quarantine.refusal(request_, service_);
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kRefused, error.message);
  return true;
}

bool RequestRelay::try_dispatch() {
  if (!waiting_ || end_if_quarantined() || !send(IfFull::kWait)) {
    return false;
  }
  waiting_ = false;
  wait_timer_->disable();
  return true;
}

bool RequestRelay::send(IfFull if_full) {
  const run_permit permit = environment_.quarantine.claim_run(request_, service_, runs_ > 0);
  waits_for_earlier_run_ = permit == run_permit::kWait;
  if (waits_for_earlier_run_ || permit == run_permit::kQuarantined) {
    return false;
  }
  const std::vector<software_id> crashing =
      environment_.quarantine.crashing_software(request_, service_);
  SlotRequest wanted;
  wanted.excluded_software = &crashing;
  wanted.alone = permit != run_permit::kFree;
  wanted.service = service_;
  wanted.request = &request_;
  wanted.tried = &tried_;
  wanted.even_if_full = if_full != IfFull::kWait;
  wanted.only_if_next = if_full == IfFull::kSendIfNext;
  // A retry must remain available after the run that starts here.
  wanted.repeatable = is_repeatable(route_) && runs_ + 1 < route_.attempts;
  wanted.software = software_;
  WorkerSlotPtr slot = environment_.workers.acquire_slot(wanted);
  if (!slot) {
    return false;
  }
  worker_ = slot->worker().record.incarnation;
  expected_prefill_ = environment_.workers.prefill_backlog(slot->worker());
  tried_.insert(worker_);
  WorkerSend worker_send;
  worker_send.request = &request_;
  worker_send.incarnation = worker_;
  if (request_.time_limit) {
    worker_send.time_left = std::max(time_left(), Duration(std::chrono::milliseconds(1)));
  }
  worker_send.resume_after = last_event_;
  AttemptOptions options;
  options.pool = "online";
  options.connect_timeout = std::min(environment_.knobs.connect_timeout,
                                     std::max(time_left(), Duration(std::chrono::milliseconds(1))));
  options.streaming = route_.kind == RouteKind::kStreaming;
  options.repeatable = wanted.repeatable;
  attempt_ =
      std::make_unique<WorkerAttempt>(environment_, std::move(slot), worker_send, options, *this);
  connection_use_ = attempt_->connection_use();
  watch_silence();
  proof_ = NotRunProof::kNone;
  log(LogLevel::kInfo, "request_sent", if_full == IfFull::kWait ? "" : "no slot was free");
  return true;
}

Duration RequestRelay::max_wait() const {
  return std::chrono::duration_cast<Duration>(route_.target *
                                              environment_.knobs.max_wait_share_of_target);
}

void RequestRelay::wait_for_slot() {
  waiting_ = true;
  // With an order, a request may first join an empty queue at a worker, and needs time for that.
  constexpr double kShareBeforeQueue = 0.7;
  const Duration wait = order_ == nullptr
                            ? max_wait()
                            : std::chrono::duration_cast<Duration>(max_wait() * kShareBeforeQueue);
  wait_timer_->enable(std::max(std::min(wait - elapsed(), time_left()), Duration(0)));
}

bool RequestRelay::late() const {
  return order_ != nullptr && runs_ == 0 && route_.target > Duration(0) &&
         (late_ || elapsed() >= max_wait());
}

// While no worker can take the request at all, waiting for a slot is useless.
bool RequestRelay::may_wait_on() const {
  return order_ != nullptr && route_.target > Duration(0) && !waits_for_earlier_run_ &&
         environment_.workers.may_get_slot(service_, tried_, software_);
}

// Only engines queue requests; plain workers refuse them when they are full.
bool RequestRelay::send_if_next() {
  const ServiceSpec* service = table_->service(service_);
  return service != nullptr && service->generates && order_->is_next(*this) &&
         send(IfFull::kSendIfNext);
}

bool RequestRelay::send_again() {
  if (send(IfFull::kWait)) {
    return true;
  }
  if (!may_wait_on()) {
    return send(IfFull::kSend);
  }
  if (!send_if_next()) {
    wait_for_slot();
  }
  return true;
}

void RequestRelay::wait_on() {
  // A late request is sent when slots become free; the timer is for a view that changes meanwhile.
  const Duration interval = late() ? std::chrono::milliseconds(250) : std::chrono::milliseconds(25);
  waiting_ = true;
  if (send_if_next()) {
    waiting_ = false;
    return;
  }
  wait_timer_->enable(std::max(std::min(interval, time_left()), Duration(0)));
  order_->dispatch_soon();
}

bool RequestRelay::send_or_wait_for_earlier_run() {
  if (send_again()) {
    return true;
  }
  if (waits_for_earlier_run_) {
    waiting_ = true;
    wait_timer_->enable(std::max(std::min(max_wait(), time_left()), Duration(0)));
  }
  return waits_for_earlier_run_;
}

// No slot became free in time: queue the request at a worker instead of holding it here.
void RequestRelay::handle_wait_timeout() {
  if (may_wait_on()) {
    wait_on();
    return;
  }
  waiting_ = false;
  if (send(IfFull::kSend)) {
    return;
  }
  const std::string reason = waits_for_earlier_run_
                                 ? "workers crashed during earlier runs of this request, and "
                                   "another run is in progress"
                                 : no_worker_reason();
  if (runs_ > 0) {
    fail_after_run(reason);
  } else {
    refuse(ErrorKind::kUnavailable, reason);
  }
}

void RequestRelay::on_stream_begun(const HttpHeaders& headers) {
  last_activity_ = environment_.time_source.monotonic_now();
  if (started_ || ended_) {
    return;  // a resumed stream keeps the response head of its first worker
  }
  started_ = true;
  writer_->start(200, environment_.protocol.headers_to_caller(request_, headers));
}

void RequestRelay::on_events(std::string_view events) {
  if (ended_) {
    return;
  }
  last_activity_ = environment_.time_source.monotonic_now();
  std::string_view rest = events;
  std::string_view fresh = events;
  while (const std::optional<StreamEvent> event = take_event(rest)) {
    if (!event->id) {
      continue;
    }
    if (last_event_ && *event->id <= *last_event_) {
      // Already sent to the caller, and so is everything before it in this chunk.
      fresh.remove_prefix(static_cast<size_t>(event->bytes.end() - fresh.begin()));
      continue;
    }
    last_event_ = event->id;
  }
  if (fresh.empty()) {
    return;
  }
  note_first_event();
  writer_->write(fresh);
  if (writer_->buffered_bytes() > environment_.knobs.max_buffered_bytes) {
    abort_answer("too many unread bytes are buffered for the caller");
  }
}

void RequestRelay::note_first_event() {
  if (std::exchange(origin_noted_, true)) {
    return;
  }
  if (!goes_on()) {
    software_ = attempt_->worker().software;
  }
  if (environment_.origins != nullptr && route_.resumable) {
    environment_.origins->note_begun(request_, route_, service_, software_);
  }
}

std::string RequestRelay::no_worker_reason() const {
  return goes_on() ? "no worker of the software version that began the stream accepts requests"
                   : "no worker of service '" + service_ + "' accepts requests";
}

Duration RequestRelay::max_silence() const {
  const Duration expected_pause = started_ ? route_.longest_pause : route_.target;
  return std::max(environment_.knobs.repeatable_silence, 2 * expected_pause) +
         2 * expected_prefill_;
}

void RequestRelay::watch_silence() {
  last_activity_ = environment_.time_source.monotonic_now();
  may_leave_silent_ = is_repeatable(route_) && runs_ + 1 < route_.attempts;
  if (may_leave_silent_ || environment_.workers.detects_failures()) {
    silence_timer_->enable(max_silence());
  }
}

void RequestRelay::check_silence() {
  const Duration silence = environment_.time_source.monotonic_now() - last_activity_;
  if (ended_ || !attempt_) {
    return;
  }
  if (attempt_->held_back()) {
    watch_silence();
    return;
  }
  if (silence < max_silence()) {
    silence_timer_->enable(max_silence() - silence);
    return;
  }
  attempt_->note_silent();
  if (!may_leave_silent_) {
    return;  // no retry is left, and the answer may still arrive
  }
  environment_.workers.note_failure(attempt_->worker(), attempt_->sent());
  attempt_->note_lost(/*silent=*/true);
  attempt_.reset();
  AttemptEnd end;
  end.reason = "the worker sent nothing for " + milliseconds_text(silence) + " ms";
  handle_broken(end);
}

void RequestRelay::on_attempt_ended(AttemptEnd end) {
  if (ended_) {
    return;
  }
  silence_timer_->disable();
  proof_ = end.proof;
  // This runs inside a callback of the attempt, which must therefore be destroyed later.
  environment_.dispatcher.post([attempt = std::shared_ptr<WorkerAttempt>(std::move(attempt_))] {});
  switch (end.result) {
    case AttemptResult::kWhole:
      handle_whole(std::move(end));
      return;
    case AttemptResult::kNotRun:
      handle_not_run(end);
      return;
    case AttemptResult::kBroken:
      handle_broken(end);
      return;
  }
}

bool RequestRelay::may_send_again() const {
  return is_repeatable(route_) && runs_ < route_.attempts && time_left() > Duration(0);
}

void RequestRelay::handle_whole(AttemptEnd end) {
  ++runs_;
  status_ = end.status;
  if (started_) {
    if (end.status == 200) {
      writer_->finish();
      finish(RelayEnd::kAnswered, "");
    } else {
      handle_broken(end);  // a resumed run failed; it is already counted above
    }
    return;
  }
  // Unless a worker states that it did not run a request, it may have run it, whatever the status.
  // Callers take some statuses to mean that nothing ran and would resend a request that must run
  // at most once.
  if (promises_not_run(end.status)) {
    end.reason =
        "a worker that may have run the request answered with status " + std::to_string(end.status);
    handle_broken(end);
    return;
  }
  if (end.status >= kInternalServerError && may_send_again()) {
    log(LogLevel::kInfo, "request_sent_again", "status " + std::to_string(end.status));
    if (send_again()) {
      return;
    }
  }
  HttpResponse response;
  response.status = end.status;
  response.headers = environment_.protocol.headers_to_caller(request_, end.headers);
  response.body = std::move(end.body);
  response.until_sent = std::move(end.memory);
  writer_->respond(response);
  finish(RelayEnd::kAnswered, "");
}

void RequestRelay::handle_not_run(const AttemptEnd& end) {
  ++refusals_;
  log(LogLevel::kInfo, "send_refused", end.reason);
  const bool more = refusals_ < environment_.knobs.max_refused_sends && time_left() > Duration(0);
  if (more && send_or_wait_for_earlier_run()) {
    return;
  }
  if (runs_ > 0) {
    fail_after_run("a worker failed during the request and no other worker accepts it");
  } else {
    refuse(ErrorKind::kOverloaded, "no worker accepts the request: " + end.reason);
  }
}

void RequestRelay::handle_broken(const AttemptEnd& end) {
  if (end.result == AttemptResult::kBroken) {
    ++runs_;
  }
  if (may_send_again() && goes_on()) {
    if (resume_stream(end.reason)) {
      return;
    }
  } else if (may_send_again()) {
    log(LogLevel::kInfo, "request_sent_again", end.reason);
    if (send_or_wait_for_earlier_run()) {
      return;
    }
  }
  fail_after_run(end.reason);
}

bool RequestRelay::resume_stream(const std::string& reason) {
  const std::string interrupted = worker_;
  const bool resumed = send_or_wait_for_earlier_run();
  count_resumption(environment_.metrics, resumed_work::kAnswer,
                   resumed ? resumption_outcome::kSameVersion : resumption_outcome::kNoWorker);
  log_resumption(resumed ? "stream_resumed" : "stream_not_resumed", interrupted,
                 resumed ? reason : reason + "; " + no_worker_reason());
  return resumed;
}

std::string RequestRelay::version_of(const std::string& worker) const {
  const WorkerPtr known = environment_.workers.find(worker);
  return known ? known->record.version : "";
}

void RequestRelay::log_resumption(std::string_view event, const std::string& interrupted,
                                  const std::string& reason) const {
  environment_.logger.write(LogLevel::kInfo, event,
                            {{"request", request_.id},
                             {"route", route_.name},
                             {"service", service_},
                             {"interrupted_worker", interrupted},
                             {"interrupted_version", version_of(interrupted)},
                             {"worker", attempt_ ? worker_ : ""},
                             {"version", attempt_ ? version_of(worker_) : ""},
                             {"software", software_text(software_)},
                             {"origin", "answer"},
                             {"resume_after", std::to_string(last_event_.value_or(0))},
                             {"runs", std::to_string(runs_)},
                             {"reason", reason}});
}

void RequestRelay::handle_timeout() {
  if (started_) {
    abort_answer("the deadline of the request has passed");
    return;
  }
  const bool sent = attempt_ != nullptr || runs_ > 0;
  if (attempt_) {
    attempt_->note_lost(/*silent=*/true);
  }
  attempt_.reset();
  if (sent) {
    fail(ErrorKind::kDeadlineExceeded, "no answer before the deadline of the request");
  } else {
    refuse(ErrorKind::kOverloaded, "no worker slot became free before the deadline of the request");
  }
}

void RequestRelay::refuse(ErrorKind kind, const std::string& message) {
  Error error = not_run(kind, message, "retry after the given delay");
  error.retry_after = environment_.knobs.retry_after;
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kRefused, message);
}

void RequestRelay::fail(ErrorKind kind, const std::string& message) {
  const Error error =
      maybe_run(kind, message, "the request may have run; retry it only if it is idempotent");
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kFailed, message);
}

void RequestRelay::fail_after_run(const std::string& reason) {
  if (started_) {
    abort_answer(reason);
  } else {
    fail(ErrorKind::kUpstreamFailed, reason);
  }
}

void RequestRelay::abort_answer(const std::string& reason) {
  writer_->abort();
  finish(RelayEnd::kBroken, reason);
}

void RequestRelay::finish(RelayEnd end, const std::string& reason) {
  if (ended_) {
    return;
  }
  ended_ = true;
  reached_worker_ = attempt_ != nullptr;
  waiting_ = false;
  deadline_timer_->disable();
  wait_timer_->disable();
  silence_timer_->disable();
  if (attempt_) {
    environment_.dispatcher.post(
        [attempt = std::shared_ptr<WorkerAttempt>(std::move(attempt_))] {});
  }
  const bool good = end == RelayEnd::kAnswered;
  log(LogLevel::kInfo, good ? "request_answered" : "request_ended_without_answer",
      std::string(relay_end_name(end)) + (reason.empty() ? "" : ": " + reason));
  on_end_(end);
}

void RequestRelay::log(LogLevel level, std::string_view event, const std::string& reason) const {
  if (!environment_.logger.enabled(level)) {
    return;
  }
  environment_.logger.write(
      level, event,
      {{"request", request_.id},
       {"content", digest_text(request_.digest)},
       {"route", route_.name},
       {"service", service_},
       {"configuration", std::to_string(table_->version())},
       {"worker", worker_},
       {"status", status_ == 0 ? "" : std::to_string(status_)},
       {"runs", std::to_string(runs_)},
       {"refusals", std::to_string(refusals_)},
       {"connection_use", connection_use_ == 0 ? "" : std::to_string(connection_use_)},
       {"proof", std::string(not_run_proof_name(proof_))},
       {"free_places", std::to_string(environment_.workers.free_slots(service_))},
       {"elapsed_ms", milliseconds_text(elapsed())},
       {"left_ms", milliseconds_text(time_left())},
       {"reason", reason}});
}

}  // namespace chalkshed
