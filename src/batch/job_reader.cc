#include "src/batch/job_reader.h"

namespace chalkshed {

struct JobReader::Listing {
  std::string tenant;
  std::vector<JobId> ids;
  size_t next = 0;
  JobPage page;
  Callback<JobPage> callback;
};

std::string_view job_status_name(JobStatus status) {
  switch (status) {
    case JobStatus::kInProgress:
      return "in_progress";
    case JobStatus::kFinalizing:
      return "finalizing";
    case JobStatus::kCompleted:
      return "completed";
    case JobStatus::kCancelling:
      return "cancelling";
    case JobStatus::kCancelled:
      return "cancelled";
  }
  return "in_progress";
}

Error job_not_found(const JobId& job) {
  return not_run(ErrorKind::kNotFound, "there is no job \"" + job + "\"",
                 "GET /v1/batches lists your jobs");
}

void JobReader::read_job(const std::string& tenant, const JobId& job, Callback<JobRow> callback) {
  store_.read(StoreUrgency::kCaller, job_key(job),
              lifetime_.guard([tenant, job, callback](Expected<std::optional<Row>> row) {
                if (!row) {
                  callback(tl::unexpected(row.error()));
                  return;
                }
                if (!row->has_value()) {
                  callback(tl::unexpected(job_not_found(job)));
                  return;
                }
                auto decoded = decode_job((*row)->value);
                if (decoded && !tenant.empty() && decoded->tenant != tenant) {
                  callback(tl::unexpected(job_not_found(job)));
                  return;
                }
                callback(std::move(decoded));
              }));
}

void JobReader::report(const std::string& tenant, const JobId& job, Callback<JobReport> callback) {
  read_job(tenant, job, lifetime_.guard([this, callback](Expected<JobRow> row) {
    if (row) {
      read_end(*row, callback);
    } else {
      callback(tl::unexpected(row.error()));
    }
  }));
}

void JobReader::read_end(const JobRow& job, Callback<JobReport> callback) {
  store_.read(StoreUrgency::kCaller, job_end_key(job.id),
              lifetime_.guard([this, job, callback](Expected<std::optional<Row>> row) {
                if (!row) {
                  callback(tl::unexpected(row.error()));
                  return;
                }
                if (!row->has_value()) {
                  read_cancel(job, callback);
                  return;
                }
                const auto end = decode_job_end((*row)->value);
                if (!end) {
                  callback(tl::unexpected(end.error()));
                  return;
                }
                JobReport report;
                report.job = job;
                report.status = end->outcome == JobOutcome::kCompleted ? JobStatus::kCompleted
                                                                       : JobStatus::kCancelled;
                report.completed = end->completed;
                report.failed = end->failed;
                report.chunks_done = end->outcome == JobOutcome::kCompleted ? job.chunks : 0;
                report.ended_us = end->ended_us;
                callback(std::move(report));
              }));
}

void JobReader::read_cancel(const JobRow& job, Callback<JobReport> callback) {
  store_.read(StoreUrgency::kCaller, cancel_key(job.id),
              lifetime_.guard([this, job, callback](Expected<std::optional<Row>> row) {
                if (row) {
                  count_chunks(job, row->has_value(), callback);
                } else {
                  callback(tl::unexpected(row.error()));
                }
              }));
}

void JobReader::count_chunks(const JobRow& job, bool cancelled, Callback<JobReport> callback) {
  store_.scan_all(StoreUrgency::kCaller, kChunkTable, chunk_prefix(job.id),
                  lifetime_.guard([job, cancelled, callback](Expected<std::vector<Row>> rows) {
                    if (!rows) {
                      callback(tl::unexpected(rows.error()));
                      return;
                    }
                    JobReport report;
                    report.job = job;
                    for (const Row& row : *rows) {
                      const auto chunk = decode_chunk(row.value);
                      if (!chunk) {
                        continue;
                      }
                      report.chunks_running += chunk->state == ChunkState::kRunning ? 1 : 0;
                      if (chunk->state == ChunkState::kDone) {
                        ++report.chunks_done;
                        report.completed += chunk->completed;
                        report.failed += chunk->failed;
                      }
                    }
                    report.status = cancelled                          ? JobStatus::kCancelling
                                    : report.chunks_done == job.chunks ? JobStatus::kFinalizing
                                                                       : JobStatus::kInProgress;
                    callback(std::move(report));
                  }));
}

void JobReader::list(const std::string& tenant, const JobId& after, uint32_t limit,
                     Callback<JobPage> callback) {
  const std::string prefix = tenant.empty() ? "" : tenant_prefix(tenant);
  ScanRequest request;
  request.table = tenant.empty() ? kJobTable : kTenantJobTable;
  request.prefix = prefix;
  request.after_key = after.empty() ? "" : prefix + after;
  request.limit = limit;
  store_.scan(StoreUrgency::kCaller, request,
              lifetime_.guard([this, tenant, prefix, callback](Expected<ScanPage> page) {
                if (!page) {
                  callback(tl::unexpected(page.error()));
                  return;
                }
                auto listing = std::make_shared<Listing>();
                listing->tenant = tenant;
                listing->callback = callback;
                listing->page.more = page->more;
                for (const Row& row : page->rows) {
                  listing->ids.push_back(row.key.substr(prefix.size()));
                }
                next_report(listing);
              }));
}

void JobReader::next_report(const std::shared_ptr<Listing>& listing) {
  if (listing->next == listing->ids.size()) {
    listing->callback(std::move(listing->page));
    return;
  }
  const JobId job = listing->ids[listing->next++];
  report(listing->tenant, job, lifetime_.guard([this, listing](Expected<JobReport> job_report) {
    if (!job_report) {
      listing->callback(tl::unexpected(job_report.error()));
      return;
    }
    listing->page.jobs.push_back(std::move(*job_report));
    next_report(listing);
  }));
}

}  // namespace chalkshed
