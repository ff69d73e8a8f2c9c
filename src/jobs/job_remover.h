// Removes expired jobs from the store: results, progress, content and record. The record is removed
// last, so that an interrupted removal is retried.
#pragma once

#include <functional>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

class JobRemover {
 public:
  explicit JobRemover(JobEnvironment& environment) : environment_(environment) {}
  // @param version of the job's record; a job that has changed since is not removed.
  // @param done called once, whether or not everything was removed.
  void remove(const StoredJob& record, StoreVersion version, std::function<void()> done);
  // Removes the refusal rows of the partition that are older than any late write of a job.
  void remove_refusals(const std::string& partition);

 private:
  // Removes the range page by page, then calls `then`.
  void remove_range(const StoredJob& record, StoreVersion version, const RangeRead& range,
                    std::function<void()> then, std::function<void()> done);
  void remove_objects(const StoredJob& record, std::vector<std::string> names, StoreVersion version,
                      std::function<void()> done);
  void remove_record(const StoredJob& record, StoreVersion version, std::function<void()> done);

  JobEnvironment& environment_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
