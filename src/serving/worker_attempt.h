// One send of a request to one worker, from connecting to the end of the answer. Distinguishes
// complete answers, requests that certainly did not run, and runs that were interrupted.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chalkshed/answer_memory.h"
#include "src/serving/event_stream.h"
#include "src/serving/serving_environment.h"

namespace chalkshed {

enum class AttemptResult {
  kWhole,   // a complete, authentic answer
  kNotRun,  // the request certainly did not run there
  kBroken,  // it may have run; no complete answer
};

// On what it rests that a request did not run.
enum class NotRunProof {
  kNone,
  kNotConnected,  // no byte of it left this node
  kRefused,       // the worker says so
  kReplaced,      // another worker answers at the address, and says so
};

// @return the stable name used in logs; empty for kNone.
std::string_view not_run_proof_name(NotRunProof proof);

struct AttemptEnd {
  AttemptResult result = AttemptResult::kBroken;
  NotRunProof proof = NotRunProof::kNone;  // kNotRun only
  int status = 0;
  HttpHeaders headers;  // kWhole only
  std::string body;     // kWhole only; empty if the answer was streamed to the observer
  std::string reason;   // kNotRun and kBroken: what happened
  // kWhole only: counts the body among what this node keeps; null if that is not bounded.
  std::shared_ptr<answer_memory::account> memory;
};

class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  // An event stream has started: status 200, authentic.
  virtual void on_stream_begun(const HttpHeaders& headers) = 0;
  // Complete events of the stream.
  virtual void on_events(std::string_view events) = 0;
  // The last callback. It may destroy the attempt.
  virtual void on_attempt_ended(AttemptEnd end) = 0;
};

struct AttemptOptions {
  std::string pool;  // connection pool; online and batch work never share one
  Duration connect_timeout = std::chrono::milliseconds(400);
  // Maximum time without data from the worker.
  Duration silence_timeout = std::chrono::seconds(30);
  bool streaming = false;
  // Another worker may run the request even if this one has begun.
  bool repeatable = false;
  // The same worker may have got the request before, under the same id.
  bool may_return = false;
};

class WorkerAttempt : private HttpCallCallbacks {
 public:
  WorkerAttempt(ServingEnvironment& environment, WorkerSlotPtr slot, const WorkerSend& send,
                const AttemptOptions& options, AttemptObserver& observer);
  // Closes the connection unless the answer has ended, which makes the worker cancel the request.
  ~WorkerAttempt() override;
  WorkerAttempt(const WorkerAttempt&) = delete;
  WorkerAttempt& operator=(const WorkerAttempt&) = delete;

  ServingWorker& worker() const { return slot_->worker(); }
  // Number of requests sent over its connection, this one included.
  uint64_t connection_use() const { return connection_use_; }
  MonotonicTime sent() const { return sent_; }
  // Whether the answer is not read for want of memory: its worker may be sending.
  bool held_back() const { return memory_ && memory_->held_back(); }
  // The worker has sent nothing within the time that is expected of a healthy one.
  void note_silent();
  // Ends the run because the worker sends something other than an answer. Calls the observer.
  void give_up(std::string reason);
  // The run is given up. Tells the quarantine so; the worker may have crashed.
  // @param silent the worker stopped responding while its connection stayed open.
  void note_lost(bool silent);

 private:
  void on_headers(int status, const HttpHeaders& headers) override;
  void on_body(std::string_view data) override;
  void on_end() override;
  void on_error(const Error& error) override;
  void on_malformed(const Error& error) override;
  void end(AttemptResult result, std::string reason);
  void end_not_run(NotRunProof proof, std::string reason);
  // By the worker's refusal.
  void end_refused();
  // Whether the answer is the one to this request: it names it, or, if the request has no id, the
  // connection has carried nothing else.
  bool answers_this_request() const;
  // Sets an answer aside that is not the one to this request and proves nothing about it, or gives
  // the run up.
  void handle_surplus(int status);
  // Whether to wait for the answer to this request after a surplus one.
  bool waits_on() const;
  // Closes the connection before the end of the answer.
  void abandon(std::string reason);

  // Pauses reading while the answers of this node take too much memory.
  // @param bytes that are kept of this answer.
  void hold(size_t bytes);
  // Reads the rest of a refusal up to a limit.
  void read_refusal(std::string_view data);
  void note_first_event();
  // Records the end of the answer for the detection of failing workers. Only the first call counts.
  void note_answer(answer_fault fault);
  // Reports to the WorkerSet how fast the worker was, after a complete, successful answer.
  void note_pace();
  // Tells the quarantine that this run is over, so that another run of the same content may start.
  void end_run();
  // Tells the quarantine that the connection was lost during the run; the worker may have crashed.
  void note_broken();

  TimeSource& time_source_;
  const ServingProtocol& protocol_;
  WorkerSet& workers_;
  request_quarantine& quarantine_;
  surplus_answers* const surplus_;
  WorkerSlotPtr slot_;
  const ServingRequest& request_;
  const bool streaming_;
  const bool repeatable_;
  const Duration silence_timeout_;
  AttemptObserver& observer_;
  WorkerVerdict verdict_;
  const MonotonicTime sent_;
  MonotonicTime last_activity_;        // of the worker
  std::function<void()> on_run_over_;  // null after the call
  std::optional<MonotonicTime> first_event_at_;
  std::optional<Duration> first_event_after_;
  event_gaps gaps_;
  uint64_t connection_use_ = 0;
  uint32_t surplus_count_ = 0;
  size_t refusal_bytes_ = 0;
  size_t empty_bytes_ = 0;  // of comments and blank lines since the last event
  bool has_event_ = false;
  bool answer_noted_ = false;
  bool silence_counts_ = true;
  bool relays_events_ = false;
  bool ended_ = false;
  EventSplitter splitter_;
  AttemptEnd end_;
  HttpCallPtr call_;
  std::shared_ptr<answer_memory::account> memory_;  // resumes call_
};

}  // namespace chalkshed
