// One run of a batch item at a worker; it resumes after the output of earlier runs.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/jobs/job_environment.h"
#include "src/serving/worker_attempt.h"

namespace chalkshed {

enum class JobItemRunEnd {
  kCompleted,   // the text is complete
  kImpossible,  // the worker reports that the item can never succeed
  kFailed,      // the worker reports a failure of this run
  kBroken,      // interrupted or not started: another run may resume
};

// @return the stable name used in logs and metrics.
const char* job_item_run_end_name(JobItemRunEnd end);

class JobItemRun : public AttemptObserver {
 public:
  using OnEnd = std::function<void(JobItemRunEnd end, const std::string& reason)>;

  // @param progress must outlive the run. @param on_end may destroy the run.
  JobItemRun(JobEnvironment& environment, const ServingRequest& item, WorkerSlotPtr slot,
             ItemProgress& progress, OnEnd on_end);
  ~JobItemRun() override = default;
  JobItemRun(const JobItemRun&) = delete;
  JobItemRun& operator=(const JobItemRun&) = delete;
  const std::string& worker() const { return worker_; }
  // Ends the run if its worker has sent no further event for longer than that, whatever else it has
  // sent. May call the callback.
  void end_if_stalled(Duration longest);
  // On what it rests that the run was not started; kNone unless the run has ended so.
  NotRunProof proof() const { return proof_; }
  // Number of requests that the connection has carried, including this run.
  uint64_t connection_use() const { return attempt_->connection_use(); }

 private:
  void on_stream_begun(const HttpHeaders& /*headers*/) override {}
  void on_events(std::string_view events) override;
  void on_attempt_ended(AttemptEnd end) override;

  // Appends the event to the text. @return whether it is a new one.
  bool take(const StreamEvent& event);

  TimeSource& time_source_;
  ItemProgress& progress_;
  NotRunProof proof_ = NotRunProof::kNone;
  OnEnd on_end_;
  std::string worker_;
  const software_id software_;   // of the worker
  MonotonicTime last_progress_;  // the last new event, or the start
  size_t bytes_since_progress_ = 0;
  std::unique_ptr<WorkerAttempt> attempt_;
};

}  // namespace chalkshed
