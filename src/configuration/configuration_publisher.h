// Publishes a new version: stores the content first, then updates the head by compare-and-swap.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_knobs.h"
#include "src/configuration/removal_fence.h"
#include "src/core/lifetime.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

struct PublishRequest {
  SplitConfiguration split;
  std::set<std::string> stored_blocks;  // digests known to be in the object store
  ConfigurationHead head;               // the new head; its attempt is unique
  RowVersion base_row_version = 0;      // row version of the head that the new head is based on
};

enum class PublishOutcome {
  kCommitted,
  kConflict,  // another operator's change came first; this attempt had no effect
};

class ConfigurationPublisher {
 public:
  ConfigurationPublisher(NodeDependencies& dependencies, const ConfigurationKnobs& knobs)
      : dependencies_(dependencies), knobs_(knobs) {}

  // Errors: kStoreUnavailable with Ran::kNo when the head is certain to be unchanged, kUnavailable
  // with Ran::kNo when old content that the new version needs is being removed, kOutcomeUnknown
  // when a lost response could not be resolved.
  void publish(PublishRequest request, Callback<PublishOutcome> callback);

 private:
  struct Attempt {
    PublishRequest request;
    Callback<PublishOutcome> callback;
    std::vector<std::pair<std::string, std::shared_ptr<const std::string>>> objects;
    size_t next_object = 0;
    uint32_t step_attempts = 0;  // of the current step
    RemovalFence fence;          // as read before the first object was written
    uint32_t fence_reads = 0;
    bool response_lost = false;  // a commit may have been applied
    TimerPtr timer;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void read_fence(const AttemptPtr& attempt);
  void on_fence_row(const AttemptPtr& attempt, const Expected<std::optional<Row>>& row);
  // @return an object of the new version that is being removed, if there is one.
  static std::optional<std::string> removed_object(const Attempt& attempt);
  void put_next_object(const AttemptPtr& attempt);
  void commit(const AttemptPtr& attempt);
  void on_commit_result(const AttemptPtr& attempt, const Expected<CommitResult>& result);
  void read_back(const AttemptPtr& attempt);
  void on_history_row(const AttemptPtr& attempt, const Expected<std::optional<Row>>& row);
  // Retries `step` after a pause, or fails with `error` once the attempts are exhausted.
  void retry(const AttemptPtr& attempt, const Error& error,
             void (ConfigurationPublisher::*step)(const AttemptPtr&));

  NodeDependencies& dependencies_;
  const ConfigurationKnobs& knobs_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
