// Runs one claimed chunk on its owner, from loading the input to committing the result.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/batch/batch_item.h"
#include "src/batch/batch_store.h"
#include "src/batch/chunk_commit.h"
#include "src/batch/item_attempt.h"
#include "src/batch/session_lease.h"
#include "src/configuration/configuration.h"
#include "src/policy/policy.h"

namespace chalkshed {

struct ChunkId {
  JobId job;
  uint32_t number = 0;

  auto operator<=>(const ChunkId&) const = default;
};

// Dependencies that a chunk gets from its node. All references must outlive it.
struct ChunkEnvironment {
  NodeDependencies& dependencies;
  const ConfigurationSource& configuration;
  PolicyEvaluator& policy;
  BatchStore& store;
  const SessionLease& lease;
  const BatchKnobs& knobs;
  size_t& unsaved_result_bytes;  // sum over the node's chunks whose items have all finished
};

// Runs the items of a chunk; ChunkCommit then writes their results. The lease is checked before
// each item is started.
class ChunkRun {
 public:
  struct Events {
    std::function<void()> on_ready;  // items may have become startable
    // Last event; never raised from within a method of this class.
    std::function<void(ChunkOutcome)> on_end;
    // Charges an upper bound of the tokens of a started item.
    std::function<void(double cost)> on_item_charge;
  };

  // @param row the chunk's row as this node has written it, at `version`.
  ChunkRun(ChunkEnvironment environment, JobRow job, uint32_t number, ChunkRow row,
           RowVersion version, Events events);
  ~ChunkRun();

  // Reads the input, then parses it in slices.
  void load();

  // An item that can be started, with its service and prompt size.
  struct Startable {
    uint32_t item = 0;
    std::string service;
    uint32_t prompt_tokens = 0;
    WorkerId avoided_worker;  // on which the last attempt failed; may be empty
  };
  // @param blocked services without a free slot. Items of unknown models are failed during the
  // search.
  std::optional<Startable> next_startable(const std::set<std::string>& blocked);
  void start_item(uint32_t item, BatchSlotPtr slot);

  // Stops all items when the lease has expired. Their tokens are kept and they can be started
  // again.
  void pause();
  // Continues after the lease has become valid again.
  void resume();
  // Stops all items of a cancelled job and confirms this in the chunk's row.
  void cancel();
  // Stops all items and releases the chunk.
  void release();

  const JobRow& job() const { return job_; }
  uint32_t number() const { return number_; }
  bool working() const { return phase_ == Phase::kWorking; }
  bool loading() const { return phase_ == Phase::kLoading; }
  // Unfinished items, including running ones; the whole chunk while it is loading.
  uint32_t unfinished_items() const;
  uint32_t running_items() const { return running_; }
  // @return the time since which items have been pending without any being started; empty while
  // items are running or none is pending.
  std::optional<MonotonicTime> idle_since() const;
  bool has_results() const { return finished_ > 0; }

 private:
  enum class Phase { kLoading, kWorking, kSaving, kLeaving };
  struct Item;

  void on_input(Expected<std::shared_ptr<const std::string>> input);
  void parse_slice();
  void parse_line(std::string_view line);
  GenerateRequest generate_request(const Item& item, uint32_t index);
  void on_attempt_end(uint32_t index, AttemptOutcome outcome);
  void on_item_failed(uint32_t index);
  void retry_item(uint32_t index, Duration delay);
  void finish_item(uint32_t index, std::string line, bool failed);
  void fail_item(uint32_t index, const Error& error);
  // Id of an item's run by this owner; identifies in the output whose result was committed.
  std::string request_id(uint32_t index) const;
  void abandon_attempt(Item& item);
  void stop_items();

  void save();
  void leave();
  bool passes_lease_check() const;

  ChunkEnvironment environment_;
  JobRow job_;
  uint32_t number_;
  ChunkRow row_;
  Events events_;
  Phase phase_ = Phase::kLoading;
  bool cancelled_ = false;

  std::shared_ptr<const std::string> input_;
  size_t parsed_bytes_ = 0;
  std::vector<std::unique_ptr<Item>> items_;
  std::deque<uint32_t> ready_;  // items to start, in order
  uint32_t running_ = 0;
  uint32_t finished_ = 0;
  uint32_t failed_ = 0;
  size_t result_bytes_ = 0;
  size_t unsaved_bytes_ = 0;  // result_bytes_ once all items have finished
  uint64_t attempts_ = 0;     // over all items; makes attempt ids unique within the epoch
  MonotonicTime last_progress_{};
  MonotonicTime quiesced_at_{};  // by then all abandoned attempts are guaranteed to have ended on
                                 // their engines
  uint32_t input_failures_ = 0;
  TimerPtr input_timer_;
  ChunkCommit commit_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
