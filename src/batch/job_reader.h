// Reads the state of jobs from the table.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/batch/batch_store.h"

namespace chalkshed {

enum class JobStatus { kInProgress, kFinalizing, kCompleted, kCancelling, kCancelled };

// @return the name that the OpenAI batch object uses.
std::string_view job_status_name(JobStatus status);

struct JobReport {
  JobRow job;
  JobStatus status = JobStatus::kInProgress;
  uint32_t completed = 0;  // items answered
  uint32_t failed = 0;     // items with an error line
  uint32_t chunks_done = 0;
  uint32_t chunks_running = 0;
  std::optional<uint64_t> ended_us;  // wall clock
};

struct JobPage {
  std::vector<JobReport> jobs;  // in order of acceptance
  bool more = false;
};

class JobReader {
 public:
  explicit JobReader(BatchStore& store) : store_(store) {}

  // @param tenant restricts the lookup to jobs of this tenant; empty: all tenants.
  // Errors: kNotFound, kStoreUnavailable.
  void read_job(const std::string& tenant, const JobId& job, Callback<JobRow> callback);
  void report(const std::string& tenant, const JobId& job, Callback<JobReport> callback);
  // @param after id of the last job of the previous page; empty: start at the first job.
  void list(const std::string& tenant, const JobId& after, uint32_t limit,
            Callback<JobPage> callback);

 private:
  struct Listing;

  void read_end(const JobRow& job, Callback<JobReport> callback);
  void read_cancel(const JobRow& job, Callback<JobReport> callback);
  void count_chunks(const JobRow& job, bool cancelled, Callback<JobReport> callback);
  void next_report(const std::shared_ptr<Listing>& listing);

  BatchStore& store_;
  Lifetime lifetime_;
};

// Error for a job that does not exist or belongs to another tenant.
Error job_not_found(const JobId& job);

}  // namespace chalkshed
