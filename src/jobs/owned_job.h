// A job that this node owns: runs its items, and appends their results to the list in the store, in
// the order in which they end. Every append is conditional on the record's version, so that an
// owner that was superseded writes nothing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chalkshed/caller_identity.h"
#include "src/core/lifetime.h"
#include "src/jobs/job.h"
#include "src/jobs/job_environment.h"
#include "src/jobs/job_item_run.h"
#include "src/jobs/job_loader.h"

namespace chalkshed {

class OwnedJob {
 public:
  // Called when the job is not this node's any more, or was ended.
  using OnLost = std::function<void(const std::string& reason)>;

  // @param version of the record's row.
  // @param known_since when the write was sent by which the job became this node's.
  // @param recorder outlives the job; it records failed runs to the end though the job is given up.
  OwnedJob(JobEnvironment& environment, failure_recorder& recorder, StoredJob record,
           StoreVersion version, MonotonicTime known_since, LoadedJob loaded, OnLost on_lost);

  const StoredJob& record() const { return record_; }
  StoreVersion version() const { return version_; }
  // The job was this node's, and not ended, as the last write that the store took on this condition
  // was sent.
  MonotonicTime confirmed() const { return confirmed_; }
  // When all results are due, by the store's clock.
  Duration due() const;
  // How long the waiting item that is to start next may still wait and be in time; negative once it
  // can't be. Nothing when none waits.
  std::optional<Duration> next_slack() const;

  // A run that may be stopped to make room for online work.
  struct Preemptible {
    size_t item = 0;
    Duration slack{0};  // the run that would start last stops first
  };
  using AtWorker = std::function<bool(const ServingWorker&)>;
  // @return the run that is the first to give way among those at such workers, if any.
  std::optional<Preemptible> first_to_yield(const AtWorker& at) const;
  // Stops the run; its item waits again and continues later.
  void preempt(const Preemptible& run);
  bool has_running() const { return running_ > 0; }
  // Starts the next waiting item. @return false when no worker has room for it.
  bool start_item();
  // Gives up items that are too old, whose route is gone or whose attempts are used up.
  void give_up_hopeless();
  // Records what the running items have brought, for whoever takes the job over.
  // @param done called once, whether or not it could be recorded.
  void checkpoint(std::function<void()> done);
  // Ends all runs; nothing is appended any more.
  // @param ended the job was ended, and is not another node's.
  void cancel(bool ended = false);
  // Whether all results are in the store.
  bool finished() const { return record_.finished; }
  // Whether results wait for the store.
  bool has_uncommitted() const {
    return !pending_.empty() || !committing_.empty() || recording_ > 0;
  }

  // Results that are in the store and in memory: positions [first_held(), first_held() + size).
  uint32_t first_held() const { return first_held_; }
  const std::vector<JobResult>& held() const { return held_; }
  // Calls `callback` once, upon the next commit.
  void on_next_commit(std::function<void()> callback);
  // Tokens of the items that have not ended.
  uint64_t tokens_left() const;
  // @return the item while it has no listed result, or null.
  const ServingRequest* unlisted_item(const std::string& id) const;

 private:
  // kRecording: the item waits until the store holds that its last run failed. Only then may it run
  // again, so that the loss of its owner loses no failed run but the last.
  enum class Phase { kWaiting, kRunning, kRecording, kEnded };
  struct Item {
    ServingRequest request;
    Phase phase = Phase::kWaiting;
    ItemProgress progress;
    item_failures failures;
    MonotonicTime not_before{};
    MonotonicTime started{};
    Duration ran{0};  // in the runs that have ended
    std::unique_ptr<JobItemRun> run;
    bool listed = false;
    std::optional<uint64_t> recorded_event;  // the last one in its checkpoint
  };

  void log_start(const Item& item, uint64_t configuration) const;
  void handle_run_end(size_t index, JobItemRunEnd end, const std::string& reason);
  void log_failed_run(const Item& item, const std::string& worker, JobItemRunEnd end,
                      const std::string& reason) const;
  void record_failed_run(size_t index, run_failure failure);
  uint32_t attempts_of(const Item& item) const;
  void wait_again(Item& item);
  void end_item(Item& item, ItemState state);
  void checkpoint_later();
  // As many items as one transaction holds, from the `first` on; the rest in further ones.
  void checkpoint_from(size_t first, std::function<void()> done);
  void commit_later();
  void commit();
  void put_large_results(size_t index, std::function<void()> then);
  void send_commit();
  void handle_commit(const Expected<StoreCommit>& commit);
  void handle_conflict(const StoreCommit& commit);
  void handle_refused_checkpoint(const StoreCommit& refused);
  // What the record that a refused transaction tells says of this adoption of the job.
  enum class Standing { kOwned, kFinished, kEnded, kSuperseded, kGone };
  Standing standing_by(const StoredRow* record) const;
  static const char* name_of(Standing standing);
  static const StoredRow* row_of(const StoreCommit& refused, const char* table);
  void accept_commit(StoreVersion version);
  void lose(Standing standing);
  Duration slack_of(const Item& item) const;
  batch_urgency urgency_of(const Item& item) const;
  bool is_held(const Item& item) const;
  // @return the index of the waiting item that is to start next, or nothing.
  std::optional<size_t> next_waiting() const;
  const Route* route_of(const RouteTable& table, const Item& item) const;

  JobEnvironment& environment_;
  failure_recorder& recorder_;
  StoredJob record_;
  StoreVersion version_;
  MonotonicTime confirmed_;  // see there
  std::vector<Item> items_;
  OnLost on_lost_;
  uint32_t running_ = 0;
  uint32_t recording_ = 0;
  uint64_t failed_runs_ = 0;  // of this ownership
  bool lost_ = false;
  uint32_t first_held_;
  std::vector<JobResult> held_;
  std::vector<JobResult> pending_;      // ended, not yet sent to the store
  std::vector<JobResult> committing_;   // sent; the same until the store has answered clearly
  std::string first_committing_value_;  // as it is written to the store
  bool commit_finishes_ = false;        // the commit under way holds the last result
  std::vector<std::function<void()>> on_commit_;
  TimerPtr commit_timer_;
  TimerPtr checkpoint_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
