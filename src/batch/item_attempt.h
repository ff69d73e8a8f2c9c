// One attempt at one batch item on a worker.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/node/node_dependencies.h"
#include "src/routing/router.h"

namespace chalkshed {

// How an attempt ended.
enum class AttemptOutcome {
  kCompleted,  // result() and all tokens are there
  kRevoked,    // the worker's batch window shut; to be resumed
  kFailed,     // see error(); tokens received so far are good for a resumption
};

// Streams an item's tokens from an engine. Destroying it cancels the attempt on the engine and
// gives the slot back.
class ItemAttempt : public GenerateCallbacks {
 public:
  using Done = std::function<void(AttemptOutcome)>;

  // @param tokens those of earlier attempts; new ones are appended. Must outlive the run.
  // @param done called once; the run may be destroyed in it.
  ItemAttempt(NodeDependencies& dependencies, BatchSlotPtr slot, GenerateRequest request,
              std::vector<std::string>& tokens, Done done);
  ~ItemAttempt() override;

  void on_chunk(const GenerateChunk& chunk) override;
  void on_complete(const GenerateResult& result) override;
  void on_error(const Error& error) override;

  const GenerateResult& result() const { return result_; }
  const Error& error() const { return error_; }
  const WorkerId& worker() const { return worker_; }
  bool progressed() const { return progressed_; }

 private:
  void on_revoked();
  void fail(Error error);
  void end(AttemptOutcome how);

  NodeDependencies& dependencies_;
  BatchSlotPtr slot_;
  WorkerId worker_;
  std::vector<std::string>& tokens_;
  Done done_;
  GenerateResult result_;
  Error error_;
  bool progressed_ = false;
  bool first_token_reported_ = false;
  GenerateStreamPtr stream_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
