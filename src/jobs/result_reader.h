// Reads a job's results from the store: at nodes that do not own the job, and at its owner for
// results that it does not hold in memory.
#pragma once

#include <memory>
#include <vector>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

// A page of a job's list of results.
struct ResultPage {
  uint32_t total = 0;  // items of the job
  uint32_t next = 0;   // position after the last result of this page
  std::vector<JobResult> results;

  // Adds the result unless the page would grow beyond `max_bytes`; the first always fits.
  // @return whether it was added.
  bool add(JobResult result, size_t max_bytes);
  // Replaces the object name of a result by its text. If the page would exceed `max_bytes`, it is
  // truncated before that result instead.
  // @return false when the page was truncated.
  bool replace(size_t index, std::string text, size_t max_bytes);

 private:
  size_t bytes_ = 0;
};

class ResultReader {
 public:
  explicit ResultReader(JobEnvironment& environment) : environment_(environment) {}
  // @param from position of the first requested result.
  // @param wait how long to wait for a result when there is none.
  // Errors: kStoreUnavailable.
  void read(const StoredJob& record, uint32_t from, Duration wait, Callback<ResultPage> callback);

 private:
  // Fetches the texts that are stored in objects, from the result at `index` on.
  void fetch_large(std::shared_ptr<ResultPage> page, size_t index, Callback<ResultPage> callback);

  JobEnvironment& environment_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
