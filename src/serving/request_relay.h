// Handles one caller's request from admission to the end of the answer: sends it to a worker,
// forwards the answer byte for byte, retries on another worker where the route allows it, and
// resumes an interrupted stream after its last complete event. An answer that cannot be completed
// is aborted, so that the caller sees that it is incomplete.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "chalkshed/origin_decision.h"
#include "src/core/lifetime.h"
#include "src/serving/route_table.h"
#include "src/serving/serving_environment.h"
#include "src/serving/worker_attempt.h"

namespace chalkshed {

enum class RelayEnd {
  kAnswered,  // a worker's complete answer was forwarded
  kRefused,   // not run, and the caller was told so
  kFailed,    // may have run; the caller got an error response
  kBroken,    // the answer had started and was aborted
  kCallerGone,
};

// @return the stable name used in logs and metrics.
std::string_view relay_end_name(RelayEnd end);

class RequestRelay;

// The order in which the waiting requests of a node are sent, by which a request also waits when
// all workers are full: in a worker's own queue, neither priority nor tenant counts.
class WaitingOrder {
 public:
  virtual ~WaitingOrder() = default;
  // Whether the request is the next of its service.
  virtual bool is_next(const RequestRelay& relay) const = 0;
  // Sends waiting requests where possible, later in the event loop.
  virtual void dispatch_soon() = 0;
};

class RequestRelay : public AttemptObserver {
 public:
  // Called once, when the answer has ended. The callback must not destroy the relay.
  using OnEnd = std::function<void(RelayEnd)>;

  // @param table keeps `route` alive.
  // @param service the service that answers, one of the route's.
  RequestRelay(ServingEnvironment& environment, RouteTablePtr table, const Route& route,
               std::string service, ServingRequest request, ResponseWriterPtr writer, OnEnd on_end);
  ~RequestRelay() override = default;
  RequestRelay(const RequestRelay&) = delete;
  RequestRelay& operator=(const RequestRelay&) = delete;

  // Lets the request wait by that order, which outlives it. To be called before start().
  // @param late it can no longer be served within its target.
  void set_order(WaitingOrder* order, bool late) {
    order_ = order;
    late_ = late;
  }
  // The request takes up a stream of that origin, after ServingRequest::resume_after. To be called
  // before start().
  void set_origin(const stream_origin& origin) { software_ = origin.software; }
  // Whether it goes on with a stream that has begun, so that only some workers may take it.
  bool goes_on() const { return software_ != software_id::kUnknown; }
  // Starts the request, which may have ended when this returns.
  // @param queue_first wait even if a slot is free, because other requests have waited longer.
  void start(bool queue_first = false);
  // Whether it waits to be sent to a worker.
  bool waiting() const { return waiting_; }
  // Whether it waits for a free slot. Other waiting requests wait for the outcome of an earlier run
  // of the same content.
  bool waits_for_slot() const { return waiting_ && !waits_for_earlier_run_; }
  // Whether it has run nowhere yet and can't be served within its target any more. Only with an
  // order.
  bool late() const;
  const std::string& tenant() const { return request_.tenant; }
  uint32_t priority() const { return request_.priority.value_or(route_.priority); }
  const std::string& service() const { return service_; }
  // Whether a worker may have started it.
  bool may_have_run() const { return runs_ > 0 || reached_worker_; }
  // Called when a slot may have become free. @return whether the request was sent.
  bool try_dispatch();

 private:
  void on_stream_begun(const HttpHeaders& headers) override;
  void on_events(std::string_view events) override;
  void on_attempt_ended(AttemptEnd end) override;

  enum class IfFull { kWait, kSendIfNext, kSend };
  bool send(IfFull if_full);
  // Sends a request that was sent before, or lets it wait.
  bool send_again();
  // Whether it waits by its order rather than in the queue of a full worker.
  bool may_wait_on() const;
  // Sends it to a full worker if it would be the next to run there.
  bool send_if_next();
  // Retries to send a request that has waited for long, and lets it wait on.
  void wait_on();
  // @return false if neither is possible: no worker accepts it, or its content is quarantined.
  bool send_or_wait_for_earlier_run();
  // Ends the request if its content is quarantined for crashing workers. @return whether it did.
  bool end_if_quarantined();
  // Binds the stream to the software of the worker that sends its first event.
  void note_first_event();
  // Sends an interrupted stream to another worker of its software. @return false if none takes it.
  bool resume_stream(const std::string& reason);
  void log_resumption(std::string_view event, const std::string& interrupted,
                      const std::string& reason) const;
  // @return the software version of the worker, or an empty string.
  std::string version_of(const std::string& worker) const;
  // Why no worker takes the request.
  std::string no_worker_reason() const;
  void handle_not_run(const AttemptEnd& end);
  void handle_broken(const AttemptEnd& end);
  void handle_whole(AttemptEnd end);
  void wait_for_slot();
  Duration max_wait() const;
  void handle_wait_timeout();
  void handle_timeout();
  // Starts the timer after which a worker counts as silent. A repeatable request then leaves it for
  // another one.
  void watch_silence();
  void check_silence();
  Duration max_silence() const;
  void refuse(ErrorKind kind, const std::string& message);
  void fail(ErrorKind kind, const std::string& message);
  void abort_answer(const std::string& reason);
  // Ends the request with an error, given that a worker may have run it.
  void fail_after_run(const std::string& reason);
  void finish(RelayEnd end, const std::string& reason);
  Duration elapsed() const;
  Duration time_left() const;
  bool may_send_again() const;
  void log(LogLevel level, std::string_view event, const std::string& reason) const;

  ServingEnvironment& environment_;
  RouteTablePtr table_;
  const Route& route_;
  const std::string service_;
  ServingRequest request_;
  ResponseWriterPtr writer_;
  OnEnd on_end_;
  WaitingOrder* order_ = nullptr;
  const MonotonicTime received_;
  MonotonicTime deadline_;
  std::unique_ptr<WorkerAttempt> attempt_;
  std::set<std::string> tried_;
  std::string worker_;     // the most recent one
  uint32_t runs_ = 0;      // sends that may have run
  uint32_t refusals_ = 0;  // sends that certainly did not run
  bool waiting_ = false;
  bool waits_for_earlier_run_ = false;  // why the last send was not possible
  bool late_ = false;                   // when it arrived
  bool started_ = false;                // the response head was written
  bool ended_ = false;
  bool reached_worker_ = false;  // a run was in progress when the request ended
  std::optional<uint64_t> last_event_;
  // That began the stream; unknown before its first event.
  software_id software_ = software_id::kUnknown;
  bool origin_noted_ = false;
  TimerPtr deadline_timer_;
  TimerPtr wait_timer_;
  TimerPtr silence_timer_;
  MonotonicTime last_activity_{};           // of the most recent worker
  bool may_leave_silent_ = false;           // a retry is available after the current run
  uint64_t connection_use_ = 0;             // of the most recent send
  NotRunProof proof_ = NotRunProof::kNone;  // that it did not run
  int status_ = 0;                          // of the most recent complete answer of a worker
  Duration expected_prefill_{0};            // that worker's prefill backlog at the send
  Lifetime lifetime_;
};

}  // namespace chalkshed
