#include "src/jobs/job_submit.h"

#include <algorithm>

#include "src/core/digest.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {

namespace {

// A forwarded job keeps the store version of its original submission. Treated as a new submission,
// it would be accepted despite a refusal or an end that another node has meanwhile reported to the
// caller.
StoreVersion newest_when_sent(const RequestJob& submission, StoreVersion newest) {
  return submission.forwarded ? std::min(submission.sent_as_of, newest) : newest;
}

}  // namespace

JobSubmit::JobSubmit(JobEnvironment& environment, RequestJob submission, std::string owner,
                     job_forwarder& forwarder, queue_admission& admission)
    : environment_(environment),
      submission_(std::move(submission)),
      newest_at_start_(newest_when_sent(submission_, environment.clock.newest())),
      forwarder_(forwarder),
      admission_(admission),
      retry_timer_(environment.serving.dispatcher.create_timer([this] {
        const std::function<void()> action = std::move(retry_action_);
        action();
      })),
      forward_timer_(environment.serving.dispatcher.create_timer([this] { forward(); })) {
  submission_.sent_as_of = newest_at_start_;
  record_.id = submission_.id;
  record_.tenant = submission_.tenant;
  record_.host = submission_.host;
  record_.path = submission_.path;
  record_.items = static_cast<uint32_t>(submission_.items.size());
  for (const ServingRequest& item : submission_.items) {
    record_.tokens += item.queue_tokens;
  }
  record_.owner = std::move(owner);
  record_.epoch = 1;
  record_.content_in_object = submission_.content.size() > environment_.knobs.max_content_in_rows;
  record_.accepted = environment_.clock.now();
  record_.content = content_digest(submission_.content);
}

void JobSubmit::start(Callback<SubmitOutcome> callback) {
  callback_ = std::move(callback);
  forward_timer_->enable(environment_.knobs.forward_after);
  admit();
}

void JobSubmit::admit() {
  admission_.admit(submission_, lifetime_.guard([this](const Expected<admission_verdict>& verdict) {
    handle_verdict(verdict);
  }));
}

void JobSubmit::handle_verdict(const Expected<admission_verdict>& verdict) {
  if (ended_ || finish_if_caller_left()) {
    return;
  }
  if (!verdict) {
    retry(verdict.error(), [this] { admit(); });
  } else if (verdict->admitted) {
    store();
  } else {
    refuse_unless_stored(*verdict);
  }
}

// A refusal guarantees that nothing of the job runs. It is sent only when no peer may still accept
// the job, and after writing a row that every acceptance is conditional on: an earlier write by any
// node has no effect when the store applies it late. If a caller resubmits a job because it missed
// the acceptance, the record is found here.
void JobSubmit::refuse_unless_stored(const admission_verdict& verdict) {
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(record_.id), 0});
  transaction.conditions.push_back({job_refusal_key(record_.id), refusal_version_});
  transaction.writes.push_back(
      {job_refusal_key(record_.id), encode_job_refusal(environment_.clock.now())});
  transaction.own_connection = true;  // its answer is promised to the caller
  write_sent_ = environment_.serving.time_source.monotonic_now();
  environment_.store.commit(std::move(transaction),
                            lifetime_.guard([this, verdict](const Expected<StoreCommit>& commit) {
                              if (!ended_) {
                                handle_refusal_write(verdict, commit);
                              }
                            }));
}

void JobSubmit::handle_refusal_write(const admission_verdict& verdict,
                                     const Expected<StoreCommit>& commit) {
  if (!commit) {
    retry(commit.error(), [this] { admit(); });
    return;
  }
  if (commit->committed) {
    refuse_over_limit(verdict);
    return;
  }
  for (const StoredRow& row : commit->current) {
    if (row.key.table == kStoredJobTable && row.version > 0) {
      count_refusal_conflict("refusal");
      finish_with_record(row);
      return;
    }
    if (row.key.table == kStoredRefusalTable && row.version != refusal_version_) {
      refusal_version_ = row.version;
      refuse_unless_stored(verdict);
      return;
    }
  }
  retry(not_run(ErrorKind::kStoreUnavailable, "the store rejected the write without a reason",
                "send the job again"),
        [this] { admit(); });
}

void JobSubmit::refuse_over_limit(const admission_verdict& verdict) {
  if (forwarding_) {
    refused_ = verdict;
    return;
  }
  if (peer_may_have_accepted_) {
    finish(tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown,
                                    "a peer did not report whether it accepted the job",
                                    "send the job again under the same id")));
    return;
  }
  environment_.serving.logger.write(
      LogLevel::kInfo, "job_over_limit",
      {{"request", caller_job_id(record_.id)},
       {"job", caller_job_id(record_.id)},
       {"tokens", std::to_string(record_.tokens)},
       {"queued", std::to_string(verdict.queued)},
       {"limit", std::to_string(verdict.limit)},
       {"retry_after_ms", std::to_string(verdict.retry_after / std::chrono::milliseconds(1))}});
  const std::string reason =
      verdict.limit == 0 ? "another node has refused the job meanwhile"
                         : "the job's " + std::to_string(record_.tokens) +
                               " tokens exceed the queue limit: " + std::to_string(verdict.queued) +
                               " tokens are queued, the limit is " + std::to_string(verdict.limit);
  Error refused = not_run(ErrorKind::kLimitExceeded, reason,
                          "send it again after the given delay, or split it into smaller jobs");
  refused.retry_after = verdict.retry_after;
  finish(tl::unexpected(std::move(refused)));
}

void JobSubmit::count_refusal_conflict(const char* writer) const {
  environment_.serving.metrics
      .counter("chalkshed_job_refusals_met_total",
               "Acceptances that met the row of a refusal, and refusals that met a stored job.",
               {{"writer", writer}})
      .add(1);
}

void JobSubmit::handle_refusal_row(const StoredRow& refusal) {
  count_refusal_conflict("acceptance");
  refusal_version_ = refusal.version;
  if (refusal.version <= newest_at_start_) {
    commit();
    return;
  }
  admission_verdict verdict;
  verdict.retry_after = environment_.serving.knobs.retry_after;
  refuse_unless_stored(verdict);
}

void JobSubmit::store() {
  if (record_.content_in_object) {
    put_content();
  } else {
    commit();
  }
}

void JobSubmit::put_content() {
  if (ended_ || finish_if_caller_left()) {
    return;
  }
  environment_.objects.put(job_object_name(record_.id),
                           std::make_shared<const std::string>(submission_.content),
                           lifetime_.guard([this](const Expected<std::monostate>& put) {
                             if (!put) {
                               retry(put.error(), [this] { put_content(); });
                               return;
                             }
                             commit();
                           }));
}

void JobSubmit::commit() {
  if (ended_ || finish_if_caller_left()) {
    return;
  }
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(record_.id), 0});
  transaction.conditions.push_back({job_refusal_key(record_.id), refusal_version_});
  transaction.writes.push_back({stored_job_key(record_.id), encode_job_record(record_)});
  if (!record_.content_in_object) {
    add_content(transaction);
  }
  transaction.own_connection = true;  // its answer is promised to the caller
  write_sent_ = environment_.serving.time_source.monotonic_now();
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this](const Expected<StoreCommit>& commit) { handle_commit(commit); }));
}

void JobSubmit::add_content(StoreTransaction& transaction) const {
  const size_t piece_bytes = environment_.knobs.max_row_bytes;
  uint32_t piece = 0;
  for (size_t at = 0; at < submission_.content.size(); at += piece_bytes) {
    transaction.writes.push_back(
        {job_content_key(record_.id, piece++), submission_.content.substr(at, piece_bytes)});
  }
}

void JobSubmit::handle_commit(const Expected<StoreCommit>& commit) {
  if (ended_) {
    return;
  }
  if (!commit) {
    may_be_applied_ = may_be_applied_ || commit.error().ran == Ran::kUnknown;
    retry(commit.error(), [this] { this->commit(); });
    return;
  }
  if (commit->committed) {
    SubmitOutcome outcome;
    outcome.record = record_;
    outcome.version = commit->stamp.version;
    outcome.accepted_here = true;
    outcome.stored_as_sent = true;
    outcome.known_since = write_sent_;
    finish(std::move(outcome));
    return;
  }
  const StoredRow* refusal = nullptr;
  for (const StoredRow& row : commit->current) {
    if (row.key.table == kStoredJobTable && row.version > 0) {
      finish_with_record(row);
      return;
    }
    if (row.key.table == kStoredRefusalTable && row.version != refusal_version_) {
      refusal = &row;
    }
  }
  if (refusal == nullptr) {
    finish(tl::unexpected(maybe_run(ErrorKind::kStoreUnavailable,
                                    "the store did not return the job's record",
                                    "send the job again")));
    return;
  }
  handle_refusal_row(*refusal);
}

// The job is stored already: it was submitted before, at any node, or an earlier attempt of this
// submission was applied.
void JobSubmit::finish_with_record(const StoredRow& row) {
  const Expected<StoredJob> record = decode_job_record(record_.id, row.value);
  if (!record) {
    finish(tl::unexpected(record.error()));
    return;
  }
  SubmitOutcome outcome;
  outcome.record = *record;
  outcome.version = row.version;
  outcome.accepted_here = record->owner == record_.owner && record->epoch == record_.epoch;
  outcome.stored_as_sent = record->content == record_.content;
  outcome.known_since = write_sent_;
  finish(std::move(outcome));
}

void JobSubmit::forward() {
  const bool may = !ended_ && !finish_if_caller_left() && !refused_ && !submission_.forwarded &&
                   !forwarding_ && hops_ < environment_.knobs.max_hops;
  if (!may) {
    return;
  }
  forwarding_ = true;
  forwarder_.forward(submission_, hops_++, lifetime_.guard([this](forward_outcome outcome) {
    handle_forwarded(outcome);
  }));
}

void JobSubmit::handle_forwarded(forward_outcome outcome) {
  forwarding_ = false;
  peer_may_have_accepted_ = peer_may_have_accepted_ || outcome == forward_outcome::kUnknown;
  if (outcome == forward_outcome::kAccepted) {
    SubmitOutcome accepted;
    accepted.record = record_;
    accepted.accepted_by_peer = true;
    finish(std::move(accepted));
    return;
  }
  if (refused_) {
    refuse_over_limit(*std::exchange(refused_, std::nullopt));
    return;
  }
  if (outcome != forward_outcome::kNoPeer) {
    forward();
  }
  if (last_error_ && !forwarding_) {
    give_up();
  }
}

void JobSubmit::retry(const Error& error, std::function<void()> action) {
  const uint32_t most = submission_.forwarded ? 1 : environment_.knobs.max_submit_attempts;
  const bool last = ++tries_ >= most;
  if (last) {
    last_error_ = error;
  } else {
    retry_action_ = std::move(action);
    retry_timer_->enable(
        std::max(environment_.knobs.store_retry_delay, error.retry_after.value_or(Duration(0))));
  }
  forward();
  if (last && !forwarding_) {
    give_up();
  }
}

// A caller that has disconnected submits the job to other nodes, whose answer may be a refusal:
// this node must not start any further write or forwarding that could accept the job.
bool JobSubmit::finish_if_caller_left() {
  const bool deserted = submission_.caller_left && *submission_.caller_left;
  if (deserted) {
    finish(tl::unexpected(maybe_run(ErrorKind::kCancelled,
                                    "the caller disconnected before it was answered",
                                    "send the job again under the same id")));
  }
  return deserted;
}

void JobSubmit::finish(Expected<SubmitOutcome> outcome) {
  if (std::exchange(ended_, true)) {
    return;
  }
  retry_timer_->disable();
  forward_timer_->disable();
  callback_(std::move(outcome));
}

void JobSubmit::give_up() {
  if (may_be_applied_ || peer_may_have_accepted_) {
    finish(tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown,
                                    "neither the store nor a peer reported the outcome",
                                    "send the job again under the same id")));
    return;
  }
  Error refused =
      not_run(ErrorKind::kStoreUnavailable, "the job was not accepted: " + last_error_->message,
              "send it again after the given delay");
  refused.retry_after = environment_.serving.knobs.retry_after;
  finish(tl::unexpected(std::move(refused)));
}

}  // namespace chalkshed
