// The acceptance of one job: its content and record are durable before the caller is answered. When
// an answer of the store is lost, sending the same conditional transaction again determines its
// outcome.
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
  bool accepted_here = false;     // by this submission; false: it was stored before
  bool accepted_by_peer = false;  // this node does not have the record yet
  // Whether the stored content is known to be that of this submission; another one under the same
  // id may have been stored first.
  bool stored_as_sent = false;
  // When the write whose answer contained the record was sent: the record was current then or
  // later.
  MonotonicTime known_since{};
};

class JobSubmit {
 public:
  // @param owner session of this node, which runs the job.
  JobSubmit(JobEnvironment& environment, RequestJob submission, std::string owner,
            job_forwarder& forwarder, queue_admission& admission);

  // Calls `callback` once; it may destroy this. Errors: those of JobService::submit.
  void start(Callback<SubmitOutcome> callback);
  RequestJob& submission() { return submission_; }

 private:
  // Checks whether the job fits into the queue of its route, and stores it if it does.
  void admit();
  void handle_verdict(const Expected<admission_verdict>& verdict);
  // Refuses the job because of the limit, unless it was accepted before or a peer may accept it.
  void refuse_unless_stored(const admission_verdict& verdict);
  void handle_refusal_write(const admission_verdict& verdict, const Expected<StoreCommit>& commit);
  void refuse_over_limit(const admission_verdict& verdict);
  // Counts a write that found the row of the opposite decision.
  void count_refusal_conflict(const char* writer) const;
  // Handles the row of a refusal by another node, written before or after this submission began.
  void handle_refusal_row(const StoredRow& refusal);
  void store();
  void put_content();
  void commit();
  // Adds the content in pieces that fit a row.
  void add_content(StoreTransaction& transaction) const;
  void handle_commit(const Expected<StoreCommit>& commit);
  void finish_with_record(const StoredRow& row);
  void retry(const Error& error, std::function<void()> action);
  // Forwards the job to a peer while the store does not answer this node.
  void forward();
  void handle_forwarded(forward_outcome outcome);
  // Answers that the job was not accepted, or that the outcome is unknown.
  void give_up();
  // Finishes the submission if its caller has disconnected. @return whether it has.
  bool finish_if_caller_left();
  // Answers the caller, once: the first answer, the store's or a peer's, counts.
  void finish(Expected<SubmitOutcome> outcome);

  JobEnvironment& environment_;
  RequestJob submission_;
  StoredJob record_;
  Callback<SubmitOutcome> callback_;
  uint32_t tries_ = 0;
  bool may_be_applied_ = false;          // an earlier write of this node got no answer
  bool peer_may_have_accepted_ = false;  // a peer did not report whether it accepted the job
  // Newest store version known when the caller submitted the job: refusals and ends up to this
  // version are older than the submission.
  const StoreVersion newest_at_start_;
  MonotonicTime write_sent_{};
  StoreVersion refusal_version_ = 0;          // version of the row of an older refusal
  std::optional<admission_verdict> refused_;  // held until the peer has answered
  job_forwarder& forwarder_;
  queue_admission& admission_;
  uint32_t hops_ = 0;
  bool forwarding_ = false;
  bool ended_ = false;
  std::optional<Error> last_error_;  // of the last attempt, set when no retry follows
  std::function<void()> retry_action_;
  TimerPtr retry_timer_;
  TimerPtr forward_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
