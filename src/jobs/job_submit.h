// The acceptance of one job: its content and record are durable before the caller hears so. An
// answer of the store that was lost is settled by sending the same conditional transaction again.
#pragma once

#include <functional>
#include <memory>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

struct SubmitOutcome {
  StoredJob record;
  StoreVersion version = 0;
  bool accepted_here = false;  // by this submission; false: it was there before
};

class JobSubmit {
 public:
  // @param owner session of this node, which runs the job.
  JobSubmit(JobEnvironment& environment, RequestJob submission, std::string owner);

  // Calls `callback` once; it may destroy this. Errors as of JobService::submit.
  void start(Callback<SubmitOutcome> callback);
  RequestJob& submission() { return submission_; }

 private:
  void put_content();
  void commit();
  // The content in pieces that fit a row.
  void add_content(StoreTransaction& transaction) const;
  void handle_commit(const Expected<StoreCommit>& commit);
  void retry(const Error& error, std::function<void()> action);

  JobEnvironment& environment_;
  RequestJob submission_;
  StoredJob record_;
  Callback<SubmitOutcome> callback_;
  uint32_t tries_ = 0;
  bool may_be_applied_ = false;  // an earlier send got no answer
  std::function<void()> retry_action_;
  TimerPtr retry_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
