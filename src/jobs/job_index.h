#ifndef CHALKSHED_JOB_INDEX_H
#define CHALKSHED_JOB_INDEX_H

/** \file
 * What a node knows of the jobs of all nodes, and the jobs that it owns itself. */

#include <map>
#include <memory>
#include <string>

#include "src/jobs/owned_job.h"

namespace chalkshed {

/** A job by the newest version of its record that is known here. */
struct indexed_job {
  StoredJob record;
  StoreVersion version = 0;
  MonotonicTime orphaned{};  // since when its owner is known to be gone
  bool orphan = false;
  bool busy = false;  // a takeover or load of it is under way here
  MonotonicTime busy_since{};
};
using job_index_map = std::map<std::string, indexed_job>;

/** A job that this node runs. */
struct owned_entry {
  std::unique_ptr<OwnedJob> job;
  MonotonicTime finished{};
  bool releasing = false;
};
using owned_job_map = std::map<std::string, owned_entry>;

}  // namespace chalkshed

#endif
