// One request to a plain service: forwards it to a back end, and the answer to the caller as it
// arrives.
#pragma once

#include "src/gateway/online_request.h"

namespace chalkshed {

class PassThroughRequest : public OnlineRequest, private HttpCallCallbacks {
 public:
  // @param request the caller's request, with the path for the back end.
  PassThroughRequest(GatewayEnvironment& environment, RequestContext context, HttpRequest request,
                     ResponseWriterPtr writer, DoneCallback done);

 private:
  void fill_route_request(RouteRequest&) const override {}
  void send_attempt() override;
  void drop_attempt() override { call_.reset(); }
  // A back end cannot continue an answer that another one has started.
  bool can_continue() const override { return !answer().started(); }
  void abort_answer(const Error&) override { answer().abort(); }

  void on_headers(int status, const HttpHeaders& headers) override;
  void on_body(std::string_view data) override;
  void on_end() override;
  void on_error(const Error& error) override { attempt_failed(error); }

  bool has_no_body(int status) const;
  void check_drained();

  HttpRequest request_;  // as sent by the last attempt
  const HttpHeaders caller_headers_;
  HttpResponse bodiless_;  // status and headers of an answer that cannot have a body
  TimerPtr drain_timer_;   // armed while reading is paused
  HttpCallPtr call_;
};

}  // namespace chalkshed
