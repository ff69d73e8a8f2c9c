// The batch role of a node: the API for callers and operators, and the execution of jobs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/batch/batch_knobs.h"
#include "src/batch/batch_peers.h"
#include "src/batch/batch_runner.h"
#include "src/batch/batch_store.h"
#include "src/batch/job_acceptor.h"
#include "src/batch/job_canceller.h"
#include "src/batch/job_reader.h"
#include "src/batch/output_stream.h"
#include "src/core/http_message.h"

namespace chalkshed {

// Serves
//   POST /v1/batches                JSON Lines body; responds with the batch object once the job is
//   durable GET  /v1/batches                the tenant's jobs (?after=<id>&limit=<n>) GET
//   /v1/batches/{id} POST /v1/batches/{id}/cancel GET  /v1/batches/{id}/output    JSON Lines, one
//   line per item (?after=<lines>&limit=<lines>) GET  /admin/jobs, GET /admin/jobs/{id}, POST
//   /admin/jobs/{id}/cancel   jobs of all tenants
class BatchService : public HttpHandler {
 public:
  BatchService(const NodeIdentity& identity, NodeDependencies& dependencies,
               ConfigurationSource& configuration, MembershipView& membership,
               PolicyEvaluator& policy, BatchSlots& slots, BatchKnobs knobs = {});
  ~BatchService() override;

  void start();
  // Stops claiming and finishes when the held chunks are done or released.
  void drain(std::function<void()> done);
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

  const BatchRunner& runner() const { return runner_; }

 private:
  // A request in progress, with the path segments after the prefix.
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void route(const CallPtr& call);
  void submit(const CallPtr& call);
  void accept(const CallPtr& call, JobSubmission submission);
  void on_submitted(const CallPtr& call, const Expected<AcceptedJob>& job);
  void list(const CallPtr& call);
  void show(const CallPtr& call);
  void cancel(const CallPtr& call);
  void send_output(const CallPtr& call);
  void respond_report(const CallPtr& call, const JobId& job, int status);

  NodeIdentity identity_;
  NodeDependencies dependencies_;
  ConfigurationSource& configuration_;
  BatchKnobs knobs_;
  BatchMetrics metrics_;
  BatchStore store_;
  JobReader reader_;
  BatchRunner runner_;
  BatchPeers peers_;
  JobCanceller canceller_;
  uint64_t next_operation_id_ = 0;  // keys of the two maps below
  std::map<uint64_t, std::unique_ptr<JobAcceptor>> acceptors_;
  std::map<uint64_t, std::unique_ptr<OutputStream>> outputs_;
  size_t accepting_bytes_ = 0;
  bool draining_ = false;
  Lifetime lifetime_;
};

}  // namespace chalkshed
