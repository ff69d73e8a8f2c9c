// The lifecycle of one online request: attempts on workers, safe retries, the deadline, and exactly
// one visible end. The derived classes define what is sent and how it is answered.
#pragma once

#include <vector>

#include "src/gateway/active_request.h"
#include "src/gateway/answer_writer.h"
#include "src/gateway/gateway_environment.h"
#include "src/gateway/request_context.h"

namespace chalkshed {

class OnlineRequest : public ActiveRequest {
 public:
  OnlineRequest(GatewayEnvironment& environment, RequestContext context, ResponseWriterPtr writer,
                DoneCallback done);
  void start() override;

 protected:
  // Sets the fields that the router needs in addition to those from the context.
  virtual void fill_route_request(RouteRequest& request) const = 0;
  // Sends the request to the worker of routed().
  virtual void send_attempt() = 0;
  // Cancels the current attempt; none of its events arrives afterwards.
  virtual void drop_attempt() = 0;
  // Whether another attempt could still continue the answer.
  virtual bool can_continue() const = 0;
  // Aborts an answer that has already started, visibly to the caller.
  virtual void abort_answer(const Error& error) = 0;

  // Handles a failed attempt: retries on another worker if that is safe, else ends the request.
  void attempt_failed(Error error);
  // The complete answer was written.
  void answered();
  // Ends the request whose answer was aborted because the caller reads too slowly.
  void handle_slow_reader();

  GatewayEnvironment& environment() { return environment_; }
  const RequestContext& context() const { return context_; }
  AnswerWriter& answer() { return answer_; }
  const AnswerWriter& answer() const { return answer_; }
  RoutedRequest& routed() { return *routed_; }
  Duration time_left() const;
  // How long an attempt may wait for the start of its answer. It leaves time for another attempt if
  // one would be allowed.
  Duration first_answer_timeout() const;
  bool ended() const { return ended_; }

 private:
  void begin_attempt();
  bool may_retry(const Error& error);
  void fail(Error error);
  void on_deadline();
  void on_caller_gone();
  void end(const RequestOutcome& outcome);
  Ran ran() const;

  GatewayEnvironment& environment_;
  const RequestContext context_;
  AnswerWriter answer_;
  DoneCallback done_;
  TimerPtr deadline_timer_;
  RoutedRequestPtr routed_;  // set during an attempt
  std::vector<WorkerId> excluded_;
  uint32_t attempts_ = 0;
  bool may_have_run_ = false;  // an earlier attempt may have run
  bool ended_ = false;
};

}  // namespace chalkshed
