// One attempt to run a batch item on a worker.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/node/node_dependencies.h"
#include "src/routing/router.h"

namespace chalkshed {

// Outcome of an attempt.
enum class AttemptOutcome {
  kCompleted,  // result() and all tokens are available
  kRevoked,    // the worker's batch capacity was withdrawn; the item must be resumed
  kFailed,     // see error(); the item can be resumed after the tokens received so far
};

// Streams an item's tokens from an engine. Destruction cancels the attempt on the engine and
// releases the slot.
class ItemAttempt : public GenerateCallbacks {
 public:
  using Done = std::function<void(AttemptOutcome)>;

  // @param tokens tokens of earlier attempts; new ones are appended. Must outlive the attempt.
  // @param done called once; may destroy the attempt.
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
  void end(AttemptOutcome outcome);

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
