#include "src/batch/job_canceller.h"

namespace chalkshed {

struct JobCanceller::Request {
  JobId job;
  Callback<std::monostate> callback;
  uint32_t failures = 0;
  bool unknown = false;  // a commit may have succeeded
  TimerPtr timer;
};

JobCanceller::JobCanceller(NodeDependencies& dependencies, BatchPeers& peers, BatchStore& store,
                           JobReader& reader, const BatchKnobs& knobs)
    : dependencies_(dependencies), peers_(peers), store_(store), reader_(reader), knobs_(knobs) {}

void JobCanceller::cancel(const std::string& tenant, const JobId& job,
                          Callback<std::monostate> callback) {
  auto request = std::make_shared<Request>();
  request->job = job;
  request->callback = std::move(callback);
  reader_.read_job(tenant, job, lifetime_.guard([this, request](const Expected<JobRow>& row) {
    if (row) {
      read_open_job(request);
    } else {
      request->callback(tl::unexpected(row.error()));
    }
  }));
}

void JobCanceller::read_open_job(const std::shared_ptr<Request>& request) {
  store_.read(StoreUrgency::kCaller, open_job_key(request->job),
              lifetime_.guard([this, request](const Expected<std::optional<Row>>& row) {
                if (row) {
                  on_open_job(request, *row);
                } else {
                  retry(request, false);
                }
              }));
}

void JobCanceller::on_open_job(const std::shared_ptr<Request>& request,
                               const std::optional<Row>& row) {
  if (!row) {
    check_ended(request);
    return;
  }
  const auto job = decode_open_job(row->value);
  if (!job) {
    request->callback(tl::unexpected(job.error()));
  } else if (job->cancelled) {
    notify_owners(request->job);
    request->callback(std::monostate{});
  } else {
    commit(request, *job, row->version);
  }
}

void JobCanceller::check_ended(const std::shared_ptr<Request>& request) {
  reader_.report("", request->job, lifetime_.guard([request](const Expected<JobReport>& report) {
    if (!report) {
      request->callback(tl::unexpected(report.error()));
    } else if (report->status == JobStatus::kCompleted) {
      request->callback(tl::unexpected(
          not_run(ErrorKind::kConflict, "the job \"" + request->job + "\" has completed",
                  "its results remain available at /v1/batches/{id}/output")));
    } else {
      request->callback(std::monostate{});
    }
  }));
}

void JobCanceller::commit(const std::shared_ptr<Request>& request, const OpenJobRow& job,
                          RowVersion version) {
  const JobId& id = request->job;
  Transaction transaction;
  transaction.conditions.push_back({open_job_key(id), version});
  transaction.conditions.push_back({cancel_key(id), 0});
  transaction.writes.push_back({cancel_key(id), std::string("{}")});
  transaction.writes.push_back({open_job_key(id), encode(OpenJobRow{job.job, true})});
  store_.commit(StoreUrgency::kCaller, std::move(transaction),
                lifetime_.guard([this, request](const Expected<CommitResult>& result) {
                  if (result && result->committed) {
                    dependencies_.logger.write(LogLevel::kInfo, "batch_job_cancelled",
                                               {{"job", request->job}});
                    notify_owners(request->job);
                    request->callback(std::monostate{});
                  } else {
                    retry(request, !result && result.error().ran == Ran::kUnknown);
                  }
                }));
}

// Restarts by reading the open job's row, which shows whether an earlier commit succeeded.
void JobCanceller::retry(const std::shared_ptr<Request>& request, bool unknown) {
  request->unknown = request->unknown || unknown;
  ++request->failures;
  if (request->failures < knobs_.acceptance_attempts) {
    // `waiting_` owns the request. The timer holds a weak reference because the request owns the
    // timer.
    request->timer = dependencies_.dispatcher.create_timer(
        lifetime_.guard([this, weak = std::weak_ptr<Request>(request)] {
          if (auto waiting = weak.lock()) {
            waiting_.erase(waiting);
            read_open_job(waiting);
          }
        }));
    waiting_.insert(request);
    request->timer->enable(store_.backoff(request->failures));
    return;
  }
  if (request->unknown) {
    request->callback(
        tl::unexpected(maybe_run(ErrorKind::kOutcomeUnknown,
                                 "the store did not confirm whether the cancellation of \"" +
                                     request->job + "\" was recorded",
                                 "cancel the job again; repeated cancellation is safe")));
    return;
  }
  request->callback(
      tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "the platform's store does not respond",
                             "cancel the job again later")));
}

void JobCanceller::notify_owners(const JobId& job) {
  store_.scan_all(StoreUrgency::kCaller, kChunkTable, chunk_prefix(job),
                  lifetime_.guard([this, job](const Expected<std::vector<Row>>& rows) {
                    if (!rows) {
                      return;  // the owners find out by polling the open jobs
                    }
                    std::set<std::string> sessions;
                    for (const Row& row : *rows) {
                      const auto chunk = decode_chunk(row.value);
                      if (chunk && chunk->state == ChunkState::kRunning) {
                        sessions.insert(chunk->owner);
                      }
                    }
                    for (const std::string& session : sessions) {
                      peers_.notify_cancelled(session, job);
                    }
                  }));
}

}  // namespace chalkshed
