// Accepts one job: parses it, stores the input, records the job and acknowledges it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/batch/batch_store.h"
#include "src/batch/job_parser.h"

namespace chalkshed {

struct JobSubmission {
  std::string tenant;
  std::string key;  // idempotency key
  std::string body;
  Duration deadline{0};  // from now
};

struct AcceptedJob {
  JobId id;
  bool resent = false;  // an earlier submission with the same key had been accepted
  OpenJobRow row;       // of a newly accepted job
  RowVersion version = 0;
  bool recorded = true;  // false only with the safeguard acknowledge_after_commit off
};

// Writes the input to the object store; then one transaction writes the idempotency row, the job
// and its entries in the lists of open jobs and of the tenant's jobs; only then is the job
// acknowledged. After a lost commit response, the idempotency row is read back and the commit is
// repeated if necessary.
class JobAcceptor {
 public:
  // Called once, or twice if the job is acknowledged before it is recorded; the second call then
  // reports the outcome. Errors: those of JobParser, kConflict (same key, other body),
  // kStoreUnavailable (not run), kOutcomeUnknown (resend with the same key).
  using Done = std::function<void(Expected<AcceptedJob>)>;

  JobAcceptor(NodeDependencies& dependencies, BatchStore& store, const BatchKnobs& knobs,
              JobSubmission submission, Done done);

  void start();

 private:
  void parse_slice();
  void look_up_key();
  void on_key_row(const std::optional<Row>& row);
  void prepare();
  void put_next_chunks();
  void put_chunk(uint32_t number, uint32_t failures);
  void commit();
  void on_commit(Expected<CommitResult> result);
  void read_back();
  void on_read_back(Expected<std::optional<Row>> row);
  void retry_or_fail(std::function<void()> step);
  void accept(RowVersion open_job_version);
  void finish(Expected<AcceptedJob> result);
  Error store_error() const;

  NodeDependencies& dependencies_;
  BatchStore& store_;
  const BatchKnobs& knobs_;
  JobSubmission submission_;
  Done done_;
  JobParser parser_;
  JobRow job_;
  uint32_t next_chunk_ = 0;
  uint32_t puts_in_flight_ = 0;
  uint32_t chunks_stored_ = 0;
  uint32_t failures_ = 0;
  bool outcome_unknown_ = false;  // a commit may have succeeded
  bool finished_ = false;
  std::function<void()> pending_step_;
  TimerPtr timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
