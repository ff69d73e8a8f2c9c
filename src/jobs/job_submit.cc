#include "src/jobs/job_submit.h"

#include <algorithm>

#include "src/jobs/job_rows.h"

namespace chalkshed {

JobSubmit::JobSubmit(JobEnvironment& environment, RequestJob submission, std::string owner)
    : environment_(environment),
      submission_(std::move(submission)),
      retry_timer_(environment.serving.dispatcher.create_timer([this] {
        const std::function<void()> action = std::move(retry_action_);
        action();
      })) {
  record_.id = submission_.id;
  record_.host = submission_.host;
  record_.path = submission_.path;
  record_.items = static_cast<uint32_t>(submission_.items.size());
  record_.owner = std::move(owner);
  record_.epoch = 1;
  record_.content_in_object = submission_.content.size() > environment_.knobs.most_content_in_rows;
  record_.accepted = environment_.clock.now();
}

void JobSubmit::start(Callback<SubmitOutcome> callback) {
  callback_ = std::move(callback);
  if (record_.content_in_object) {
    put_content();
  } else {
    commit();
  }
}

void JobSubmit::put_content() {
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
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(record_.id), 0});
  transaction.writes.push_back({stored_job_key(record_.id), encode_job_record(record_)});
  if (!record_.content_in_object) {
    add_content(transaction);
  }
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this](const Expected<StoreCommit>& commit) { handle_commit(commit); }));
}

void JobSubmit::add_content(StoreTransaction& transaction) const {
  const size_t piece_bytes = environment_.knobs.most_row_bytes;
  uint32_t piece = 0;
  for (size_t at = 0; at < submission_.content.size(); at += piece_bytes) {
    transaction.writes.push_back(
        {job_content_key(record_.id, piece++), submission_.content.substr(at, piece_bytes)});
  }
}

void JobSubmit::handle_commit(const Expected<StoreCommit>& commit) {
  if (!commit) {
    may_be_applied_ = may_be_applied_ || commit.error().ran == Ran::kUnknown;
    retry(commit.error(), [this] { this->commit(); });
    return;
  }
  SubmitOutcome outcome;
  if (commit->committed) {
    outcome.record = record_;
    outcome.version = commit->stamp.version;
    outcome.accepted_here = true;
    callback_(std::move(outcome));
    return;
  }
  // There already: sent before, here or elsewhere, or an earlier send of this one was applied.
  const StoredRow* row = commit->current.empty() ? nullptr : &commit->current.front();
  const Expected<StoredJob> record =
      row == nullptr ? tl::unexpected(maybe_run(ErrorKind::kStoreUnavailable,
                                                "the store did not tell the job's record",
                                                "send the job again"))
                     : decode_job_record(record_.id, row->value);
  if (!record) {
    callback_(tl::unexpected(record.error()));
    return;
  }
  outcome.record = *record;
  outcome.version = row->version;
  outcome.accepted_here = record->owner == record_.owner && record->epoch == record_.epoch;
  callback_(std::move(outcome));
}

void JobSubmit::retry(const Error& error, std::function<void()> action) {
  if (++tries_ < environment_.knobs.most_submit_tries) {
    retry_action_ = std::move(action);
    retry_timer_->enable(
        std::max(environment_.knobs.store_retry, error.retry_after.value_or(Duration(0))));
    return;
  }
  if (may_be_applied_) {
    callback_(tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown,
                                       "the store did not say whether it took the job",
                                       "send the job again under the same id")));
    return;
  }
  Error refused =
      not_run(ErrorKind::kStoreUnavailable, "the job was not accepted: " + error.message,
              "send it again after the time given");
  refused.retry_after = environment_.serving.knobs.retry_after;
  callback_(tl::unexpected(std::move(refused)));
}

}  // namespace chalkshed
