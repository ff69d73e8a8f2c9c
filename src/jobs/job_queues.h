#ifndef CHALKSHED_JOB_QUEUES_H
#define CHALKSHED_JOB_QUEUES_H

/** \file
 * Counts the queued tokens of routes with a queue limit over all nodes: from the jobs that this
 * node owns, from the reports of other owners, and from the records of all other jobs. */

#include <string>
#include <vector>

#include "chalkshed/queue_admission.h"
#include "chalkshed/queued_tokens.h"
#include "src/jobs/job_index.h"

namespace chalkshed {

class job_queues : public queue_view {
 public:
  /** All references must outlive the queues. */
  job_queues(JobEnvironment& environment, const job_index_map& index, const owned_job_map& owned)
      : environment_(environment), index_(index), owned_(owned) {}

  /** All jobs in the store have been read once. */
  void note_listed() { listed_ = true; }
  /** The remaining tokens of the jobs that this node owns on routes with a queue limit. */
  std::vector<job_remainder> remainders();
  /** Records the remaining tokens that another node reports of a job that it owns. */
  void note_remainder(const job_remainder& reported);
  /** The job was ended, has finished, or its record was removed. */
  void close(const std::string& job);
  /** Exports the queued tokens as metrics and removes expired reports. */
  void update_metrics();

  bool complete() const override { return listed_; }
  uint64_t queued(const Route& route, const std::string& tenant) const override;
  bool is_counted(const std::string& job) const override;
  double drain_rate() const override;

 private:
  MonotonicTime now() const { return environment_.serving.time_source.monotonic_now(); }
  /** \return The job's route if its queue is limited, or null. */
  const Route* limited_route_of(const StoredJob& record) const;
  /** Queued tokens of the tenant that has the most on the route. */
  uint64_t largest_tenant_queue(const Route& route) const;
  void update_metrics(const Route& route) const;

  JobEnvironment& environment_;
  const job_index_map& index_;
  const owned_job_map& owned_;
  queued_tokens queued_;
  bool listed_ = false;
};

}  // namespace chalkshed

#endif
