#include "src/gateway/online_request.h"

#include <cmath>

namespace chalkshed {
namespace {

// Every worker would reject the request for the same reason, so it is not a fault of this worker.
bool is_request_error(ErrorKind kind) {
  return kind == ErrorKind::kInvalidRequest || kind == ErrorKind::kTooLarge;
}

}  // namespace

std::string_view request_end_name(RequestEnd end) {
  switch (end) {
    case RequestEnd::kAnswered:
      return "answered";
    case RequestEnd::kFailed:
      return "failed";
    case RequestEnd::kCallerGone:
      return "caller_gone";
  }
  return "failed";
}

OnlineRequest::OnlineRequest(GatewayEnvironment& environment, RequestContext context,
                             ResponseWriterPtr writer, DoneCallback done)
    : environment_(environment),
      context_(std::move(context)),
      answer_(std::move(writer), context_.request_id, environment.knobs),
      done_(std::move(done)),
      deadline_timer_(environment.dispatcher.create_timer([this] { on_deadline(); })) {}

void OnlineRequest::start() {
  answer_.set_on_closed([this] { on_caller_gone(); });
  deadline_timer_->enable(std::max(time_left(), Duration(0)));
  begin_attempt();
}

Duration OnlineRequest::time_left() const {
  return context_.deadline - environment_.time_source.monotonic_now();
}

Duration OnlineRequest::first_answer_timeout() const {
  const GatewayKnobs& knobs = environment_.knobs;
  if (!context_.repeatable) {
    return time_left();
  }
  const double share = knobs.first_token_share * static_cast<double>(time_left().count());
  const Duration timeout = std::max(knobs.idle_timeout, Duration(std::llround(share)));
  return std::min(timeout, time_left());
}

void OnlineRequest::begin_attempt() {
  const bool deadline_passed = time_left() <= Duration(0);
  if (deadline_passed && environment_.knobs.safeguards.deadline_checked_before_dispatch) {
    return on_deadline();
  }
  RouteRequest request;
  request.service = context_.service;
  request.tenant = context_.tenant;
  request.urgency = context_.urgency;
  request.time_left = time_left();
  request.excluded = excluded_;
  fill_route_request(request);
  Expected<RoutedRequestPtr> routed = environment_.router.route(request);
  if (!routed) {
    return fail(routed.error());
  }
  routed_ = std::move(*routed);
  ++attempts_;
  send_attempt();
}

void OnlineRequest::attempt_failed(Error error) {
  const bool request_error = is_request_error(error.kind);
  if (!request_error) {
    routed_->report_failure(error);
  }
  excluded_.push_back(routed_->worker());
  drop_attempt();
  routed_.reset();
  may_have_run_ = may_have_run_ || error.ran != Ran::kNo;
  if (request_error || !may_retry(error)) {
    return fail(error);
  }
  begin_attempt();
}

bool OnlineRequest::may_retry(const Error& error) {
  const bool safe = context_.repeatable || error.ran == Ran::kNo ||
                    !environment_.knobs.safeguards.retry_only_when_safe;
  if (!safe || !can_continue() || attempts_ >= environment_.knobs.max_attempts) {
    return false;
  }
  return environment_.router.take_retry(context_.service);
}

Ran OnlineRequest::ran() const {
  // An attempt in progress may have reached its worker.
  const bool possible = may_have_run_ || routed_ != nullptr;
  const bool certain = environment_.knobs.safeguards.not_run_only_when_certain;
  return possible && certain ? Ran::kUnknown : Ran::kNo;
}

void OnlineRequest::fail(Error error) {
  error.ran = ran();
  if (answer_.started()) {
    abort_answer(error);
  } else {
    answer_.refuse(error);
  }
  end({RequestEnd::kFailed, error.ran, error});
}

void OnlineRequest::on_deadline() {
  Error error{ErrorKind::kDeadlineExceeded, "the request did not finish before its deadline",
              "allow more time with X-Chalkshed-Deadline-Ms, or request fewer tokens", Ran::kNo,
              std::nullopt};
  fail(std::move(error));
}

void OnlineRequest::on_caller_gone() {
  if (!environment_.knobs.safeguards.cancel_when_caller_gone) {
    return;
  }
  end({RequestEnd::kCallerGone, ran(), std::nullopt});
}

void OnlineRequest::handle_slow_reader() {
  end({RequestEnd::kCallerGone, Ran::kUnknown, std::nullopt});
}

void OnlineRequest::answered() {
  routed_->report_success();
  end({RequestEnd::kAnswered, Ran::kUnknown, std::nullopt});
}

void OnlineRequest::end(const RequestOutcome& outcome) {
  if (ended_) {
    return;
  }
  ended_ = true;
  deadline_timer_->disable();
  drop_attempt();
  routed_.reset();
  done_(outcome);
}

}  // namespace chalkshed
