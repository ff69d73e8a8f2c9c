// One send of a request to one worker, from the connection to the end of the answer. Tells apart
// what the worker certainly did not run, what it answered whole, and what broke off.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "chalkshed/request_quarantine.h"
#include "src/serving/event_stream.h"
#include "src/serving/serving_protocol.h"
#include "src/serving/worker_set.h"
#include "src/transport/http_client.h"

namespace chalkshed {

enum class AttemptResult {
  kWhole,   // the worker answered, whole and its own
  kNotRun,  // the request certainly did not run there
  kBroken,  // it may have run; no whole answer
};

struct AttemptEnd {
  AttemptResult result = AttemptResult::kBroken;
  int status = 0;
  HttpHeaders headers;  // kWhole only
  std::string body;     // kWhole only, unless the events were handed on
  std::string reason;   // not kWhole: what happened
};

class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  // A stream of events has begun: status 200, authentic.
  virtual void on_stream_begun(const HttpHeaders& headers) = 0;
  // Whole events of the stream.
  virtual void on_events(std::string_view events) = 0;
  // Last. The attempt may be destroyed inside.
  virtual void on_attempt_ended(const AttemptEnd& end) = 0;
};

struct AttemptOptions {
  std::string pool;  // of connections; online and batch never share one
  Duration connect_timeout = std::chrono::milliseconds(400);
  // The worker may be silent this long.
  Duration silence_timeout = std::chrono::seconds(30);
  bool streaming = false;
};

class WorkerAttempt : private HttpCallCallbacks {
 public:
  WorkerAttempt(TimeSource& time_source, HttpClient& client, const ServingProtocol& protocol,
                WorkerSet& workers, request_quarantine& quarantine, WorkerSlotPtr place,
                const WorkerSend& send, const AttemptOptions& options, AttemptObserver& observer);
  // Closes the connection unless the answer has ended; the worker then stops.
  ~WorkerAttempt() override;
  WorkerAttempt(const WorkerAttempt&) = delete;
  WorkerAttempt& operator=(const WorkerAttempt&) = delete;

  ServingWorker& worker() const { return place_->worker(); }
  HttpCall& call() { return *call_; }
  MonotonicTime sent() const { return sent_; }

 private:
  void on_headers(int status, const HttpHeaders& headers) override;
  void on_body(std::string_view data) override;
  void on_end() override;
  void on_error(const Error& error) override;
  void end(AttemptResult result, std::string reason);
  // Gives the connection up in the midst of the answer.
  void break_off(std::string reason);

  void note_first_event();
  // The run occupies the worker no more, so that another run of the request may begin.
  void stop_counting();
  // The run broke off with its connection, and perhaps with its worker.
  void note_broken();

  TimeSource& time_source_;
  const ServingProtocol& protocol_;
  WorkerSet& workers_;
  request_quarantine& quarantine_;
  WorkerSlotPtr place_;
  const ServingRequest& request_;
  const bool streaming_;
  const Duration silence_timeout_;
  AttemptObserver& observer_;
  WorkerVerdict verdict_;
  const MonotonicTime sent_;
  MonotonicTime last_activity_;      // of the worker
  std::function<void()> note_over_;  // null once called
  bool has_event_ = false;
  bool relays_events_ = false;
  bool ended_ = false;
  EventSplitter splitter_;
  AttemptEnd end_;
  HttpCallPtr call_;
};

}  // namespace chalkshed
