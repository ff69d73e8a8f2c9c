#include "chalkshed/job_ender.h"

#include "chalkshed/caller_identity.h"
#include "src/core/call_after.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

/** The record changes when its owner changes and when its last result is listed. */
constexpr uint32_t kMaxAttempts = 6;

Error unknown_job(const std::string& job) {
  return not_run(ErrorKind::kNotFound, "job does not exist: " + job, "check the job's id");
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
  auto request = std::make_shared<end_request>(end_request{job, 0, std::move(callback)});
  if (known) {
    write_end(request, *known);
  } else {
    write_refusal(request);
  }
}

void job_ender::write_end(const end_request_ptr& request, const known_job& known) {
  if (known.record.finished) {
    request->callback({});
    return;
  }
  // The node that wrote the end may have failed before it notified the owner.
  if (known.record.ended) {
    acknowledge(request, known);
    return;
  }
  ++request->tries;
  known_job ended = known;
  ended.record.ended = true;
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(request->job), known.version});
  transaction.writes.push_back({stored_job_key(request->job), encode_job_record(ended.record)});
  transaction.own_connection = true;  // its answer is promised to the caller
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this, request, ended](const Expected<StoreCommit>& commit) mutable {
        if (!commit) {
          request->callback(tl::unexpected(commit.error()));
        } else if (commit->committed) {
          ended.version = commit->stamp.version;
          handle_written(request, ended);
        } else {
          handle_conflict(request, *commit);
        }
      }));
}

// The caller may not know whether its job was accepted, and a write of the job may still be in
// flight or be applied late. Every acceptance is conditional on the refusal row, so that one sent
// before this write cannot succeed after it.
void job_ender::write_refusal(const end_request_ptr& request) {
  ++request->tries;
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(request->job), 0});
  transaction.writes.push_back(
      {job_refusal_key(request->job), encode_job_refusal(environment_.clock.now())});
  transaction.own_connection = true;  // its answer is promised to the caller
  environment_.store.commit(
      std::move(transaction), lifetime_.guard([this, request](const Expected<StoreCommit>& commit) {
        if (!commit) {
          request->callback(tl::unexpected(commit.error()));
        } else if (commit->committed) {
          environment_.serving.logger.write(LogLevel::kInfo, "unknown_job_ended",
                                            {{"job", caller_job_id(request->job)}});
          request->callback(tl::unexpected(unknown_job(request->job)));
        } else {
          handle_conflict(request, *commit);
        }
      }));
}

void job_ender::handle_conflict(const end_request_ptr& request, const StoreCommit& commit) {
  const StoredRow* row = record_row(commit);
  if (row == nullptr) {
    request->callback(tl::unexpected(unknown_job(request->job)));
    return;
  }
  const Expected<StoredJob> record = decode_job_record(request->job, row->value);
  if (!record || request->tries >= kMaxAttempts) {
    request->callback(tl::unexpected(not_run(
        ErrorKind::kStoreUnavailable, "the job's record kept changing", "end the job again")));
    return;
  }
  const known_job now{*record, row->version};
  observer_(now);
  write_end(request, now);
}

void job_ender::handle_written(const end_request_ptr& request, const known_job& ended) {
  environment_.serving.logger.write(LogLevel::kInfo, "job_ended",
                                    {{"job", caller_job_id(ended.record.id)},
                                     {"items", std::to_string(ended.record.items)},
                                     {"owner", ended.record.owner},
                                     {"epoch", std::to_string(ended.record.epoch)},
                                     {"reason", "by its caller"}});
  observer_(ended);
  acknowledge(request, ended);
}

void job_ender::acknowledge(const end_request_ptr& request, const known_job& ended) {
  const bool elsewhere = !ended.record.owner.empty() && ended.record.owner != own_session_;
  if (elsewhere && notice_) {
    notify_owner(request, ended);
  } else {
    request->callback({});
  }
}

// The caller need not wait for an owner that cannot be reached: it starts nothing from a view that
// is older than two seconds.
void job_ender::notify_owner(const end_request_ptr& request, const known_job& ended) {
  auto answered = std::make_shared<bool>(false);
  const auto answer = lifetime_.guard([request, answered] {
    if (!std::exchange(*answered, true)) {
      request->callback({});
    }
  });
  call_after(environment_.serving.dispatcher, environment_.knobs.owner_notice_timeout, answer);
  notice_(ended.record.owner,
          {stored_job_key(ended.record.id), encode_job_record(ended.record), ended.version, false},
          answer);
}

}  // namespace chalkshed
