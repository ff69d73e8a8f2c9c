// Ends jobs: writes the end row once every chunk is done, or, for a cancelled job, once no owner
// can be at work any more.
#pragma once

#include <functional>
#include <vector>

#include "src/batch/batch_store.h"
#include "src/batch/open_job_cache.h"

namespace chalkshed {

class JobFinisher {
 public:
  JobFinisher(NodeDependencies& dependencies, BatchStore& store)
      : dependencies_(dependencies), store_(store) {}

  // @return the end of the job if it may end now. `chunks` are all its rows, read after the job was
  // known to be cancelled, if it is.
  // @param dead whether a session's lease has surely run out.
  std::optional<JobEndRow> end_of(const OpenJobRow& job, const std::vector<Row>& chunks,
                                  const OpenJobCache::Owns& dead) const;
  // Writes the end row and takes the job off the work list, in one transaction.
  // @param done called with whether the job has ended (by this or another node).
  void end_job(const OpenJobRow& job, const JobEndRow& end, std::function<void(bool)> done);

 private:
  NodeDependencies& dependencies_;
  BatchStore& store_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
