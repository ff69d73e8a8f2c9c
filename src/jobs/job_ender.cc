#include "chalkshed/job_ender.h"

#include "chalkshed/caller_identity.h"
#include "src/core/call_after.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

/** The record changes when its owner does, and when its last result is listed. */
constexpr uint32_t kMostTries = 6;

Error unknown_job(const std::string& job) {
  return not_run(ErrorKind::kNotFound, "there is no job " + job, "check the job's id");
}

const StoredRow* record_row(const StoreCommit& refused) {
  for (const StoredRow& row : refused.current) {
    if (row.key.table == kStoredJobTable && row.version > 0) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace

job_ender::job_ender(JobEnvironment& environment, std::string own_session, record_observer observer)
    : environment_(environment),
      own_session_(std::move(own_session)),
      observer_(std::move(observer)) {}

void job_ender::end(const std::string& job, const std::optional<known_job>& known,
                    Callback<std::monostate> callback) {
  auto under_way = std::make_shared<ending>(ending{job, 0, std::move(callback)});
  if (known) {
    write_end(under_way, *known);
  } else {
    write_refusal(under_way);
  }
}

void job_ender::write_end(const ending_ptr& under_way, const known_job& known) {
  if (known.record.finished) {
    under_way->callback({});
    return;
  }
  // The node that wrote it may have been lost before it notified the owner.
  if (known.record.ended) {
    acknowledge(under_way, known);
    return;
  }
  ++under_way->tries;
  known_job ended = known;
  ended.record.ended = true;
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(under_way->job), known.version});
  transaction.writes.push_back({stored_job_key(under_way->job), encode_job_record(ended.record)});
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this, under_way, ended](const Expected<StoreCommit>& commit) mutable {
        if (!commit) {
          under_way->callback(tl::unexpected(commit.error()));
        } else if (commit->committed) {
          ended.version = commit->stamp.version;
          handle_written(under_way, ended);
        } else {
          handle_conflict(under_way, *commit);
        }
      }));
}

// The caller may not know whether its job was taken, and a write of it may be under way or be done
// late. Acceptances are conditional on the row of the refusal, so that none of before succeeds.
void job_ender::write_refusal(const ending_ptr& under_way) {
  ++under_way->tries;
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(under_way->job), 0});
  transaction.writes.push_back(
      {job_refusal_key(under_way->job), encode_job_refusal(environment_.clock.now())});
  environment_.store.commit(std::move(transaction),
                            lifetime_.guard([this, under_way](const Expected<StoreCommit>& commit) {
                              if (!commit) {
                                under_way->callback(tl::unexpected(commit.error()));
                              } else if (commit->committed) {
                                environment_.serving.logger.write(
                                    LogLevel::kInfo, "unknown_job_ended",
                                    {{"job", caller_job_id(under_way->job)}});
                                under_way->callback(tl::unexpected(unknown_job(under_way->job)));
                              } else {
                                handle_conflict(under_way, *commit);
                              }
                            }));
}

void job_ender::handle_conflict(const ending_ptr& under_way, const StoreCommit& commit) {
  const StoredRow* row = record_row(commit);
  if (row == nullptr) {
    under_way->callback(tl::unexpected(unknown_job(under_way->job)));
    return;
  }
  const Expected<StoredJob> record = decode_job_record(under_way->job, row->value);
  if (!record || under_way->tries >= kMostTries) {
    under_way->callback(tl::unexpected(not_run(
        ErrorKind::kStoreUnavailable, "the job's record changes too often", "end the job again")));
    return;
  }
  const known_job now{*record, row->version};
  observer_(now);
  write_end(under_way, now);
}

void job_ender::handle_written(const ending_ptr& under_way, const known_job& ended) {
  environment_.serving.logger.write(LogLevel::kInfo, "job_ended",
                                    {{"job", caller_job_id(ended.record.id)},
                                     {"items", std::to_string(ended.record.items)},
                                     {"owner", ended.record.owner},
                                     {"epoch", std::to_string(ended.record.epoch)},
                                     {"reason", "by its caller"}});
  observer_(ended);
  acknowledge(under_way, ended);
}

void job_ender::acknowledge(const ending_ptr& under_way, const known_job& ended) {
  const bool elsewhere = !ended.record.owner.empty() && ended.record.owner != own_session_;
  if (elsewhere && notice_) {
    tell_owner(under_way, ended);
  } else {
    under_way->callback({});
  }
}

// An owner that cannot be reached starts nothing by a view that is older than two seconds, so that
// the caller need not wait for it.
void job_ender::tell_owner(const ending_ptr& under_way, const known_job& ended) {
  auto answered = std::make_shared<bool>(false);
  const auto answer = lifetime_.guard([under_way, answered] {
    if (!std::exchange(*answered, true)) {
      under_way->callback({});
    }
  });
  call_after(environment_.serving.dispatcher, environment_.knobs.longest_owner_notice, answer);
  notice_(ended.record.owner,
          {stored_job_key(ended.record.id), encode_job_record(ended.record), ended.version, false},
          answer);
}

}  // namespace chalkshed
