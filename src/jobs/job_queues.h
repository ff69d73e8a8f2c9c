#ifndef CHALKSHED_JOB_QUEUES_H
#define CHALKSHED_JOB_QUEUES_H

/** \file
 * What waits on routes whose queue is limited, over all nodes: by the jobs that this node owns, by
 * what the owners of others report, and by the records of the rest. */

#include <string>
#include <vector>

#include "chalkshed/queue_admission.h"
#include "chalkshed/queued_tokens.h"
#include "src/jobs/job_index.h"

namespace chalkshed {

class job_queues : public queue_view {
 public:
  /** All references outlive the queues. */
  job_queues(JobEnvironment& environment, const job_index_map& index, const owned_job_map& owned)
      : environment_(environment), index_(index), owned_(owned) {}

  /** All jobs that the store holds have been read once. */
  void note_listed() { listed_ = true; }
  /** What is left of the jobs that this node owns on routes whose queue is limited. */
  std::vector<job_remainder> remainders();
  /** What another node reports of a job that it owns. */
  void note_remainder(const job_remainder& reported);
  /** The job is ended, finished or gone. */
  void close(const std::string& job);
  /** Shows what is queued in the metrics, and forgets old reports. */
  void show();

  bool complete() const override { return listed_; }
  uint64_t queued(const Route& route, const std::string& tenant) const override;
  bool counts(const std::string& job) const override;
  double drain_rate() const override;

 private:
  MonotonicTime now() const { return environment_.serving.time_source.monotonic_now(); }
  /** \return The job's route if its queue is limited, or null. */
  const Route* limited_route_of(const StoredJob& record) const;
  /** Tokens of the tenant that has the most queued on the route. */
  uint64_t largest(const Route& route) const;
  void show(const Route& route) const;

  JobEnvironment& environment_;
  const job_index_map& index_;
  const owned_job_map& owned_;
  queued_tokens queued_;
  bool listed_ = false;
};

}  // namespace chalkshed

#endif
