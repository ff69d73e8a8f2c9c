#include "src/serving/request_relay.h"

#include <algorithm>

#include "chalkshed/request_digest.h"
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
      wait_timer_(environment.dispatcher.create_timer([this] { give_up_waiting(); })),
      silence_timer_(environment.dispatcher.create_timer([this] { check_silence(); })) {}

Duration RequestRelay::elapsed() const {
  return environment_.time_source.monotonic_now() - received_;
}

Duration RequestRelay::time_left() const {
  return deadline_ - environment_.time_source.monotonic_now();
}

void RequestRelay::start(bool behind_others) {
  writer_->set_on_closed(lifetime_.guard([this] { finish(RelayEnd::kCallerGone, "caller left"); }));
  deadline_timer_->enable(std::max(time_left(), Duration(0)));
  if (end_if_held()) {
    return;
  }
  if (environment_.workers.all_evacuated(service_)) {
    refuse(ErrorKind::kUnavailable,
           "all workers of service '" + service_ + "' are in evacuated zones");
    return;
  }
  if (behind_others || !send(false)) {
    wait_for_place();
  }
}

bool RequestRelay::end_if_held() {
  if (!environment_.quarantine.refuses(request_.digest)) {
    return false;
  }
  if (runs_ > 0) {
    break_off("workers ended while they ran this request");
    return true;
  }
  const Error error = environment_.quarantine.refusal(request_.digest, request_.id);
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kRefused, error.message);
  return true;
}

bool RequestRelay::try_place() {
  if (!waiting_ || end_if_held() || !send(false)) {
    return false;
  }
  waiting_ = false;
  wait_timer_->disable();
  return true;
}

bool RequestRelay::send(bool even_if_full) {
  const run_permit permit = environment_.quarantine.claim_run(request_.digest, runs_ > 0);
  waits_for_turn_ = permit == run_permit::kWait;
  if (waits_for_turn_ || permit == run_permit::kQuarantined) {
    return false;
  }
  SlotRequest wanted;
  wanted.alone = permit != run_permit::kFree;
  wanted.service = service_;
  wanted.request = &request_;
  wanted.tried = &tried_;
  wanted.even_if_full = even_if_full;
  // One more run must be left behind the one that it begins.
  wanted.repeatable = is_repeatable(route_) && runs_ + 1 < route_.attempts;
  WorkerSlotPtr place = environment_.workers.acquire_slot(wanted);
  if (!place) {
    return false;
  }
  worker_ = place->worker().record.incarnation;
  expected_reading_ = environment_.workers.prefill_backlog(place->worker());
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
  attempt_ = std::make_unique<WorkerAttempt>(
      environment_.time_source, environment_.worker_client, environment_.protocol,
      environment_.workers, environment_.quarantine, std::move(place), worker_send, options, *this);
  watch_silence();
  log(LogLevel::kInfo, "request_sent", even_if_full ? "no place was free" : "");
  return true;
}

Duration RequestRelay::longest_wait() const {
  return std::chrono::duration_cast<Duration>(route_.target *
                                              environment_.knobs.longest_wait_of_target);
}

void RequestRelay::wait_for_place() {
  waiting_ = true;
  wait_timer_->enable(std::max(std::min(longest_wait() - elapsed(), time_left()), Duration(0)));
}

bool RequestRelay::send_or_wait_for_turn() {
  if (send(false) || send(true)) {
    return true;
  }
  if (waits_for_turn_) {
    waiting_ = true;
    wait_timer_->enable(std::max(std::min(longest_wait(), time_left()), Duration(0)));
  }
  return waits_for_turn_;
}

// Too long without a free place: stand in the queue of a worker rather than hold on.
void RequestRelay::give_up_waiting() {
  waiting_ = false;
  if (send(true)) {
    return;
  }
  const std::string reason = waits_for_turn_
                                 ? "workers ended under earlier runs of this request, and another "
                                   "run is under way"
                                 : "no worker of service '" + service_ + "' takes requests";
  if (runs_ > 0) {
    break_off(reason);
  } else {
    refuse(ErrorKind::kUnavailable, reason);
  }
}

void RequestRelay::on_stream_begun(const HttpHeaders& headers) {
  last_activity_ = environment_.time_source.monotonic_now();
  if (started_ || ended_) {
    return;  // a resumed stream keeps the head of the worker it began on
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
      // Sent before: whatever stands in front of it in these bytes is old as well.
      fresh.remove_prefix(static_cast<size_t>(event->bytes.end() - fresh.begin()));
      continue;
    }
    last_event_ = event->id;
  }
  if (fresh.empty()) {
    return;
  }
  writer_->write(fresh);
  if (writer_->buffered_bytes() > environment_.knobs.most_buffered_bytes) {
    cut_off("the caller reads too slowly");
  }
}

Duration RequestRelay::longest_silence() const {
  const Duration expected = started_ ? route_.longest_pause : route_.target;
  return std::max(environment_.knobs.repeatable_silence, 2 * expected) + 2 * expected_reading_;
}

void RequestRelay::watch_silence() {
  last_activity_ = environment_.time_source.monotonic_now();
  // One more run must be left behind the one under way.
  if (is_repeatable(route_) && runs_ + 1 < route_.attempts) {
    silence_timer_->enable(longest_silence());
  }
}

void RequestRelay::check_silence() {
  const Duration silence = environment_.time_source.monotonic_now() - last_activity_;
  if (ended_ || !attempt_) {
    return;
  }
  if (silence < longest_silence()) {
    silence_timer_->enable(longest_silence() - silence);
    return;
  }
  environment_.workers.note_failure(attempt_->worker(), attempt_->sent());
  environment_.quarantine.note_broken(request_.digest, attempt_->worker(), attempt_->sent(), true);
  attempt_.reset();
  AttemptEnd end;
  end.reason = "the worker was silent for " + milliseconds_text(silence) + " ms";
  handle_broken(end);
}

void RequestRelay::on_attempt_ended(const AttemptEnd& end) {
  if (ended_) {
    return;
  }
  silence_timer_->disable();
  // The attempt must outlive its own callback.
  environment_.dispatcher.post([attempt = std::shared_ptr<WorkerAttempt>(std::move(attempt_))] {});
  switch (end.result) {
    case AttemptResult::kWhole:
      handle_whole(end);
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

void RequestRelay::handle_whole(const AttemptEnd& end) {
  ++runs_;
  if (started_) {
    if (end.status == 200) {
      writer_->finish();
      finish(RelayEnd::kAnswered, "");
    } else {
      handle_broken(end);  // a resumed run failed; the count above already holds it
    }
    return;
  }
  // A worker that does not say that it has not run a request may have run it, whatever its status:
  // the caller would read some of them as a promise, and send again what must run only once.
  if (promises_not_run(end.status)) {
    AttemptEnd own = end;
    own.reason = "a worker that may have run it answered with status " + std::to_string(end.status);
    handle_broken(own);
    return;
  }
  if (end.status >= kInternalServerError && may_send_again()) {
    log(LogLevel::kInfo, "request_sent_again", "status " + std::to_string(end.status));
    if (send(false) || send(true)) {
      return;
    }
  }
  HttpResponse response;
  response.status = end.status;
  response.headers = environment_.protocol.headers_to_caller(request_, end.headers);
  response.body = end.body;
  writer_->respond(response);
  finish(RelayEnd::kAnswered, "");
}

void RequestRelay::handle_not_run(const AttemptEnd& end) {
  ++refusals_;
  log(LogLevel::kInfo, "send_refused", end.reason);
  const bool more = refusals_ < environment_.knobs.most_refused_sends && time_left() > Duration(0);
  if (more && send_or_wait_for_turn()) {
    return;
  }
  if (runs_ > 0) {
    break_off("a worker broke off and no other takes the request");
  } else {
    refuse(ErrorKind::kOverloaded, "no worker takes the request: " + end.reason);
  }
}

void RequestRelay::handle_broken(const AttemptEnd& end) {
  if (end.result == AttemptResult::kBroken) {
    ++runs_;
  }
  if (may_send_again()) {
    log(LogLevel::kInfo, started_ ? "stream_resumed" : "request_sent_again", end.reason);
    if (send_or_wait_for_turn()) {
      return;
    }
  }
  break_off(end.reason);
}

void RequestRelay::handle_timeout() {
  if (started_) {
    cut_off("the time of the request is over");
    return;
  }
  const bool sent = attempt_ != nullptr || runs_ > 0;
  if (attempt_) {
    environment_.quarantine.note_broken(request_.digest, attempt_->worker(), attempt_->sent(),
                                        true);
  }
  attempt_.reset();
  if (sent) {
    fail(ErrorKind::kDeadlineExceeded, "no answer within the time of the request");
  } else {
    refuse(ErrorKind::kOverloaded, "no place at a worker within the time of the request");
  }
}

void RequestRelay::refuse(ErrorKind kind, const std::string& message) {
  Error error = not_run(kind, message, "send it again after the time given");
  error.retry_after = environment_.knobs.retry_after;
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kRefused, message);
}

void RequestRelay::fail(ErrorKind kind, const std::string& message) {
  const Error error =
      maybe_run(kind, message, "the request may have run; send it again if that is harmless");
  writer_->respond(environment_.protocol.refusal(request_.id, error));
  finish(RelayEnd::kFailed, message);
}

void RequestRelay::break_off(const std::string& reason) {
  if (started_) {
    cut_off(reason);
  } else {
    fail(ErrorKind::kUpstreamFailed, reason);
  }
}

void RequestRelay::cut_off(const std::string& reason) {
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
       {"runs", std::to_string(runs_)},
       {"refusals", std::to_string(refusals_)},
       {"connection_use", attempt_ ? std::to_string(attempt_->call().connection_use()) : ""},
       {"free_places", std::to_string(environment_.workers.free_slots(service_))},
       {"elapsed_ms", milliseconds_text(elapsed())},
       {"left_ms", milliseconds_text(time_left())},
       {"reason", reason}});
}

}  // namespace chalkshed
