#include "src/gateway/pass_through_request.h"

#include "src/gateway/forwarded_headers.h"

namespace chalkshed {
namespace {

constexpr const char* kOnlinePool = "online";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

PassThroughRequest::PassThroughRequest(GatewayEnvironment& environment, RequestContext context,
                                       HttpRequest request, ResponseWriterPtr writer,
                                       DoneCallback done)
    : OnlineRequest(environment, std::move(context), std::move(writer), std::move(done)),
      request_(std::move(request)),
      caller_headers_(std::move(request_.headers)),
      drain_timer_(environment.dispatcher.create_timer([this] { check_drained(); })) {}

void PassThroughRequest::send_attempt() {
  const GatewayKnobs& knobs = environment().knobs;
  request_.headers = headers_to_backend(caller_headers_, context(), time_left());
  HttpCallOptions options;
  options.pool = kOnlinePool;
  options.fresh_connection =
      !context().repeatable && knobs.safeguards.fresh_connection_when_not_repeatable;
  options.connect_timeout = std::min(knobs.connect_timeout, time_left());
  options.idle_timeout = first_answer_timeout();
  call_ = environment().backend_client.send(routed().address(), request_, options, *this);
}

bool PassThroughRequest::has_no_body(int status) const {
  return request_.method == "HEAD" || status == kNoContent || status == kNotModified;
}

void PassThroughRequest::on_headers(int status, const HttpHeaders& headers) {
  routed().report_first_token();
  if (const std::optional<EngineLoad> load = read_backend_load(headers)) {
    routed().report_load(*load);
  }
  HttpHeaders forwarded = headers_to_caller(headers);
  if (has_no_body(status)) {
    bodiless_ = {status, std::move(forwarded), ""};
  } else {
    answer().start(status, std::move(forwarded));
  }
}

void PassThroughRequest::on_body(std::string_view data) {
  if (!answer().started()) {
    return;
  }
  if (!answer().write(data)) {
    return handle_slow_reader();
  }
  if (answer().buffered_bytes() > environment().knobs.pause_above_buffered_bytes) {
    call_->pause_reading();
    drain_timer_->enable(environment().knobs.drain_check_interval);
  }
}

void PassThroughRequest::check_drained() {
  if (call_ == nullptr) {
    return;
  }
  if (answer().buffered_bytes() > environment().knobs.pause_above_buffered_bytes / 2) {
    drain_timer_->enable(environment().knobs.drain_check_interval);
  } else {
    call_->resume_reading();
  }
}

void PassThroughRequest::on_end() {
  if (answer().started()) {
    answer().finish();
  } else {
    answer().respond(std::move(bodiless_));
  }
  answered();
}

}  // namespace chalkshed
