// A job that this node owns: runs its items and appends their results to the list in the store in
// completion order. Every append is conditional on the version of the record, so that a superseded
// owner cannot write.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chalkshed/caller_identity.h"
#include "chalkshed/item_continuation.h"
#include "chalkshed/item_wait.h"
#include "chalkshed/preemption_cause.h"
#include "src/core/lifetime.h"
#include "src/jobs/job.h"
#include "src/jobs/job_environment.h"
#include "src/jobs/job_item_run.h"
#include "src/jobs/job_loader.h"

namespace chalkshed {

// What became of an item that was to start.
enum class item_start : uint8_t {
  kStarted,
  // It ended without a run.
  kEnded,
  // Only this item cannot start now; it waits for a while.
  kDelayed,
  // No item that needs the same services can start now.
  kNoRoom,
};

class OwnedJob {
 public:
  // Called when this node no longer owns the job, or the job was ended.
  using OnLost = std::function<void(const std::string& reason)>;

  // @param version of the record's row.
  // @param known_since when the write that made this node the owner was sent.
  // @param recorder must outlive the job; it completes its records of failed runs after the job is
  // dropped.
  OwnedJob(JobEnvironment& environment, failure_recorder& recorder, StoredJob record,
           StoreVersion version, MonotonicTime known_since, LoadedJob loaded, OnLost on_lost);

  const StoredJob& record() const { return record_; }
  StoreVersion version() const { return version_; }
  // When the last successful write conditional on this ownership was sent: at that time this node
  // owned the job, and the job was not ended.
  MonotonicTime confirmed() const { return confirmed_; }
  // The time by which all results are due, by the store's clock.
  Duration due() const;
  // How long the item may still wait and meet its target; negative when it cannot meet it.
  Duration slack(size_t item) const { return slack_of(items_[item]); }

  // A run that may be preempted for online work.
  struct Preemptible {
    size_t item = 0;
    Duration slack{0};  // the run with the lowest start priority is preempted first
  };
  using AtWorker = std::function<bool(const ServingWorker&)>;
  // @return the run to preempt first among those at the workers that `at` selects, if any.
  std::optional<Preemptible> first_to_preempt(const AtWorker& at) const;
  // Stops the run; its item is requeued and resumes later.
  void preempt(const Preemptible& run, preemption_cause cause);
  bool has_running() const { return running_ > 0; }
  // Starts a waiting item if a worker has a free slot for it.
  item_start start_item(size_t index);
  // Lets a waiting item wait for at least that long.
  void delay_item(size_t index, item_wait why, Duration delay) { wait(items_[index], why, delay); }
  // Adds the items that have not been listed and are not running to the counts, by what they wait
  // for, and logs the waits that have become long.
  void note_waits(item_wait_counts& counts);
  // Appends such items until there are `limit` of them.
  void list_waiting(std::vector<waiting_item>& list, size_t limit);
  // The configuration has changed: the waiting items may need other services.
  void update_places();
  // Ends waiting items as errored whose retention has passed, whose route was removed or whose
  // attempts are exhausted.
  void fail_unrunnable_items();
  // Ends runs whose workers send something other than an answer.
  void end_stalled_runs();
  // Records the output of the running items so far, so that the next owner can resume them.
  // @param done called once, whether or not it was recorded.
  void checkpoint(std::function<void()> done);
  // Stops all runs; no further results are appended.
  // @param ended the job was ended, as opposed to taken over by another node.
  void cancel(bool ended = false);
  // Whether all results are in the store.
  bool finished() const { return record_.finished; }
  // Whether results or failed runs have not been written to the store yet.
  bool has_uncommitted() const {
    return !pending_.empty() || !committing_.empty() || recording_ > 0;
  }

  // Results that are both in the store and in memory: positions [first_held(), first_held() +
  // size).
  uint32_t first_held() const { return first_held_; }
  const std::vector<JobResult>& held() const { return held_; }
  // Calls `callback` once, after the next commit.
  void on_next_commit(std::function<void()> callback);
  // Tokens of the items that have not ended.
  uint64_t remaining_tokens() const;
  // @return the item while it has no listed result, or null.
  const ServingRequest* unlisted_item(const std::string& id) const;

 private:
  // kRecording: a failed run of the item is being written to the store. The item may run again only
  // when it is stored, so that at most one failed run is lost if all nodes that know it are lost.
  enum class Phase { kWaiting, kRunning, kRecording, kEnded };
  struct Item {
    ServingRequest request;
    Phase phase = Phase::kWaiting;
    ItemProgress progress;
    item_failures failures;
    waiting_items::entry waiting;  // while the item waits
    item_wait_state wait;          // unless it runs or is listed
    MonotonicTime started{};
    Duration ran{0};  // total duration of the runs that have ended
    std::unique_ptr<JobItemRun> run;
    bool listed = false;
    std::optional<uint64_t> recorded_event;  // the last event in its checkpoint
    std::optional<ProgressOrigin> origin;    // of the text in its checkpoint
    // Since when it has been waiting for a worker of the version that wrote its text.
    std::optional<MonotonicTime> waits_for_version;
  };

  // The service that the item runs at next: that of its text, if it has one.
  std::string service_for(const Route& route, const Item& item);
  WorkerSlotPtr acquire_slot(const Item& item, const std::string& service, software_id software);
  item_continuation next_step(const Item& item, const std::string& service) const;
  // The item starts over.
  void drop_text(Item& item);
  // Puts the item among those that wait. @param delay until it may start at the earliest.
  // @param until when the wait ends, as far as is known.
  void wait(Item& item, item_wait why, Duration delay, std::optional<MonotonicTime> until = {});
  void log_wait(const Item& item, MonotonicTime now) const;
  bool is_waiting(const Item& item) const { return !item.listed && item.phase != Phase::kRunning; }
  waiting_item described(const Item& item, MonotonicTime now) const;
  // @return the services that the item needs, and its place in the order of starting.
  waiting_place place_of(const RouteTable& table, const Item& item) const;
  // Lets the item wait a little for a worker of the version that wrote its text.
  void defer(Item& item);
  // Acquires a slot for the item's next run. @return null: there is none, or the item should wait.
  WorkerSlotPtr acquire_next(Item& item, const std::string& service);
  // Whether a part of the item's prompt keeps it from workers of some version.
  bool avoids_software(const Item& item, const std::string& service) const;
  void start_run(size_t index, WorkerSlotPtr slot, uint64_t configuration);
  // Logs and counts how an item with a partial text goes on.
  // @param at null: it starts over.
  void note_continuation(const Item& item, const WorkerRecord* at) const;
  // Adds the row with the versions that wrote the recorded texts.
  void add_origins(StoreTransaction& transaction);

  void log_start(const Item& item, uint64_t configuration) const;
  void handle_run_end(size_t index, JobItemRunEnd end, const std::string& reason);
  void log_failed_run(const Item& item, const JobItemRun& run, JobItemRunEnd end,
                      const std::string& reason) const;
  void record_failed_run(size_t index, run_failure failure);
  // Records a failed run that an earlier owner could not record. @return whether there was one.
  bool record_known_run(size_t index);
  void record_run(size_t index, const failed_run& run);
  uint32_t max_attempts_of(const Item& item) const;
  void requeue_item(Item& item);
  void end_item(Item& item, ItemState state);
  void checkpoint_later();
  // Records as many items from `first` on as fit one transaction, then the rest in further ones.
  void checkpoint_from(size_t first, std::function<void()> done);
  void commit_later();
  void commit();
  void put_large_results(size_t index, std::function<void()> then);
  void send_commit();
  void handle_commit(const Expected<StoreCommit>& commit);
  void handle_conflict(const StoreCommit& commit);
  void handle_refused_checkpoint(const StoreCommit& refused);
  // The state of this ownership of the job, from the record that a rejected transaction returns.
  enum class Ownership { kOwned, kFinished, kEnded, kSuperseded, kGone };
  Ownership ownership_from(const StoredRow* record) const;
  static const char* name_of(Ownership ownership);
  static const StoredRow* row_of(const StoreCommit& refused, const char* table);
  void accept_commit(StoreVersion version);
  void lose_ownership(Ownership ownership);
  Duration slack_of(const Item& item) const;
  batch_urgency urgency_of(const Item& item) const;
  // Whether the item may run, as far as crashes of workers are concerned; if not, it waits.
  bool may_run_now(Item& item);
  bool may_crash_worker(const Item& item, const std::string& service) const;
  const Route* route_of(const RouteTable& table, const Item& item) const;

  JobEnvironment& environment_;
  failure_recorder& recorder_;
  StoredJob record_;
  StoreVersion version_;
  MonotonicTime confirmed_;  // see confirmed()
  std::vector<Item> items_;
  OnLost on_lost_;
  uint32_t running_ = 0;
  uint32_t recording_ = 0;
  uint64_t failed_runs_ = 0;  // during this ownership
  bool ownership_lost_ = false;
  uint32_t first_held_;
  std::vector<JobResult> held_;
  std::vector<JobResult> pending_;      // ended, not yet sent to the store
  std::vector<JobResult> committing_;   // sent; unchanged until the outcome is known
  std::string first_committing_value_;  // as written to the store
  bool origins_recorded_ = false;       // a row with the versions of the texts was written
  bool commit_finishes_ = false;        // the commit in progress contains the last result
  std::vector<std::function<void()>> on_commit_;
  TimerPtr commit_timer_;
  TimerPtr checkpoint_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
