// Ends jobs: writes the end row once every chunk is done or, for a cancelled job, once no owner can
// still be running items.
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

  // @return the end row if the job can end now.
  // @param chunks all chunk rows of the job. For a
  // cancelled job they must have been read after the cancellation was known.
  // @param dead whether a session's lease is guaranteed to have expired.
  std::optional<JobEndRow> job_end(const OpenJobRow& job, const std::vector<Row>& chunks,
                                   const OpenJobCache::SessionPredicate& is_dead) const;
  // Writes the end row and deletes the open job row in one transaction.
  // @param done called with whether the job has ended (by this or another node).
  void end_job(const OpenJobRow& job, const JobEndRow& end, std::function<void(bool)> done);

 private:
  NodeDependencies& dependencies_;
  BatchStore& store_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
