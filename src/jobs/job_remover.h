// Removes what the store holds of jobs that nobody may ask for any more: results, progress, content
// and record, the record last, so that a removal that is cut short is taken up again.
#pragma once

#include <functional>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

class JobRemover {
 public:
  explicit JobRemover(JobEnvironment& environment) : environment_(environment) {}
  // @param version of the job's record; a job that has changed since is left alone.
  // @param done called once, whether or not all could be removed.
  void remove(const StoredJob& record, StoreVersion version, std::function<void()> done);
  // Removes rows of refusals of the partition that no late write can meet any more.
  void remove_refusals(const std::string& partition);

 private:
  // Removes a page of the range after another, then runs `then`.
  void remove_range(const StoredJob& record, StoreVersion version, const RangeRead& range,
                    std::function<void()> then, std::function<void()> done);
  void remove_objects(const StoredJob& record, std::vector<std::string> names, StoreVersion version,
                      std::function<void()> done);
  void remove_record(const StoredJob& record, StoreVersion version, std::function<void()> done);

  JobEnvironment& environment_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
