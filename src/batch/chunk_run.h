// One claimed chunk on its owner, from its input to its result.
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

// What a chunk takes from its node. All references outlive it.
struct ChunkEnvironment {
  NodeDependencies& dependencies;
  const ConfigurationSource& configuration;
  PolicyEvaluator& policy;
  BatchStore& store;
  const SessionLease& lease;
  const BatchKnobs& knobs;
  size_t& unsaved_result_bytes;  // of the node's chunks whose items have all finished
};

// Runs the items of a chunk; ChunkCommit then writes their results. The lease is checked before
// each item is started.
class ChunkRun {
 public:
  struct Events {
    std::function<void()> on_ready;                   // items may have become startable
    std::function<void(ChunkEnd)> on_end;             // last event; not inside a call of ours
    std::function<void(double cost)> on_item_charge;  // tokens that an item starting may take
  };

  // @param row the chunk's row as this node has written it, at `version`.
  ChunkRun(ChunkEnvironment environment, JobRow job, uint32_t number, ChunkRow row,
           RowVersion version, Events events);
  ~ChunkRun();

  // Reads the input, then parses it in slices.
  void load();

  // An item that could start now: the service and size of its prompt.
  struct Startable {
    uint32_t item = 0;
    std::string service;
    uint32_t prompt_tokens = 0;
    WorkerId avoided_worker;  // the one that failed it last; may be empty
  };
  // @param blocked services that have no free slot. Items of unknown models are failed on the way.
  std::optional<Startable> next_startable(const std::set<std::string>& blocked);
  void start_item(uint32_t item, BatchSlotPtr slot);

  // Stops all items but keeps their tokens; they become startable again. For a lapsed lease.
  void pause();
  // The lease is valid again.
  void resume();
  // The job is cancelled: stops all items and confirms it in the chunk's row.
  void cancel();
  // Stops all items and gives the chunk back.
  void release();

  const JobRow& job() const { return job_; }
  uint32_t number() const { return number_; }
  bool working() const { return phase_ == Phase::kWorking; }
  bool loading() const { return phase_ == Phase::kLoading; }
  // Items not finished, running ones included; the whole chunk while it loads.
  uint32_t unfinished_items() const;
  uint32_t running_items() const { return running_; }
  // @return since when items wait to start and none has started; empty while some run or none wait.
  std::optional<MonotonicTime> idle_since() const;
  bool has_results() const { return finished_ > 0; }

 private:
  enum class Phase { kLoading, kWorking, kSaving, kLeaving };
  struct Item;

  void on_input(Expected<std::shared_ptr<const std::string>> input);
  void parse_slice();
  void parse_line(std::string_view line);
  GenerateRequest generate_request(const Item& item, uint32_t index);
  void on_item_end(uint32_t index, AttemptOutcome how);
  void on_item_failed(uint32_t index);
  void retry_item(uint32_t index, Duration delay);
  void finish_item(uint32_t index, std::string line, bool failed);
  void fail_item(uint32_t index, const Error& error);
  // Id of an item's run by this owner; in the output it tells which owner's result is in force.
  std::string request_id(uint32_t index) const;
  void abandon_attempt(Item& item);
  void stop_items();

  void save();
  void leave();
  bool may_act() const;

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
  uint64_t attempts_ = 0;     // of all items; makes attempt ids unique within the epoch
  MonotonicTime last_progress_{};
  MonotonicTime quiet_at_{};  // all attempts given up before have surely ended on their engines
  uint32_t input_failures_ = 0;
  TimerPtr input_timer_;
  ChunkCommit commit_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
