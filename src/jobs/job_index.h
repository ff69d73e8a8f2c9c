#ifndef CHALKSHED_JOB_INDEX_H
#define CHALKSHED_JOB_INDEX_H

/** \file
 * A node's view of the jobs of all nodes, and the jobs that it owns itself. */

#include <map>
#include <memory>
#include <string>

#include "src/jobs/owned_job.h"

namespace chalkshed {

/** A job with the newest version of its record that this node has seen. */
struct indexed_job {
  StoredJob record;
  StoreVersion version = 0;
  MonotonicTime orphaned{};  // when this node found its owner to be gone
  // When this node learned that another one had become the owner of a job that it knew.
  std::optional<MonotonicTime> owner_changed;
  bool orphan = false;
  bool busy = false;  // this node is taking it over or loading it
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
