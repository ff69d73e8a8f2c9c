// The acceptance of one job: its content and record are durable before the caller hears so. An
// answer of the store that was lost is settled by sending the same conditional transaction again.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "chalkshed/caller_identity.h"
#include "chalkshed/job_forwarder.h"
#include "chalkshed/queue_admission.h"
#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

struct SubmitOutcome {
  StoredJob record;
  StoreVersion version = 0;
  bool accepted_here = false;     // by this submission; false: it was there before
  bool accepted_by_peer = false;  // its record is not known here yet
  // When the write was sent whose answer contained the record: the record was current then or
  // later.
  MonotonicTime known_since{};
};

class JobSubmit {
 public:
  // @param owner session of this node, which runs the job.
  JobSubmit(JobEnvironment& environment, RequestJob submission, std::string owner,
            job_forwarder& forwarder, queue_admission& admission);

  // Calls `callback` once; it may destroy this. Errors as of JobService::submit.
  void start(Callback<SubmitOutcome> callback);
  RequestJob& submission() { return submission_; }

 private:
  // Whether it fits into the queue of its route; if it does, it is stored.
  void admit();
  void handle_verdict(const Expected<admission_verdict>& verdict);
  // Refuses the job for the limit, unless it has been accepted before or a peer may take it.
  void refuse_unless_stored(const admission_verdict& verdict);
  void handle_refusal_write(const admission_verdict& verdict, const Expected<StoreCommit>& commit);
  void refuse_over_limit(const admission_verdict& verdict);
  // Another node has refused the job since this submission began, or before.
  // A write that found the row of the opposite decision.
  void count_meeting(const char* writer) const;
  void handle_refusal_row(const StoredRow& refusal);
  void store();
  void put_content();
  void commit();
  // The content in pieces that fit a row.
  void add_content(StoreTransaction& transaction) const;
  void handle_commit(const Expected<StoreCommit>& commit);
  void finish_with_record(const StoredRow& row);
  void retry(const Error& error, std::function<void()> action);
  // Hands the job to a peer while the store leaves this node without an answer.
  void forward();
  void handle_forwarded(forward_outcome outcome);
  // The caller hears that it was not accepted, or that this is not known.
  void give_up();
  // Ends the submission when its caller has left. @return whether it has.
  bool end_if_deserted();
  // What comes first, the store's answer or the peer's, ends the submission.
  void finish(Expected<SubmitOutcome> outcome);

  JobEnvironment& environment_;
  RequestJob submission_;
  StoredJob record_;
  Callback<SubmitOutcome> callback_;
  uint32_t tries_ = 0;
  bool may_be_applied_ = false;       // an earlier write of this node got no answer
  bool peer_may_have_taken_ = false;  // a peer did not say whether it took the job
  // Newest version of the store that was known as the caller sent the job: refusals and ends up to
  // it are older than the send.
  const StoreVersion newest_at_start_;
  MonotonicTime write_sent_{};
  StoreVersion refusal_version_ = 0;          // of the row that tells of an older refusal
  std::optional<admission_verdict> refused_;  // waits until the peer has answered
  job_forwarder& forwarder_;
  queue_admission& admission_;
  uint32_t hops_ = 0;
  bool forwarding_ = false;
  bool ended_ = false;
  std::optional<Error> last_error_;  // of the last try, once no further one follows
  std::function<void()> retry_action_;
  TimerPtr retry_timer_;
  TimerPtr forward_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
