// Cancels jobs: records the cancellation, then notifies the owners.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "src/batch/batch_peers.h"
#include "src/batch/batch_store.h"
#include "src/batch/job_reader.h"

namespace chalkshed {

class JobCanceller {
 public:
  JobCanceller(NodeDependencies& dependencies, BatchPeers& peers, BatchStore& store,
               JobReader& reader, const BatchKnobs& knobs);

  // Records the cancellation, then notifies the nodes that own chunks of the job. Cancelling a job
  // that is already cancelled succeeds.
  // @param tenant restricts the lookup to jobs of this tenant; empty: all tenants.
  // Errors: kNotFound, kConflict (the job has completed), kStoreUnavailable (not recorded),
  // kOutcomeUnknown (cancel again).
  void cancel(const std::string& tenant, const JobId& job, Callback<std::monostate> callback);

 private:
  struct Request;

  void read_open_job(const std::shared_ptr<Request>& request);
  void on_open_job(const std::shared_ptr<Request>& request, const std::optional<Row>& row);
  void check_ended(const std::shared_ptr<Request>& request);
  void commit(const std::shared_ptr<Request>& request, const OpenJobRow& job, RowVersion version);
  void retry(const std::shared_ptr<Request>& request, bool unknown);
  void notify_owners(const JobId& job);

  NodeDependencies& dependencies_;
  BatchPeers& peers_;
  BatchStore& store_;
  JobReader& reader_;
  const BatchKnobs& knobs_;
  std::set<std::shared_ptr<Request>> waiting_;  // for their next attempt; never iterated
  Lifetime lifetime_;
};

}  // namespace chalkshed
