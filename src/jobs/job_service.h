// Batch jobs as callers see them, at every node: accepts, reads results and bodies, ends. Owns the
// jobs that this node runs, and takes over those whose owners are gone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chalkshed/caller_identity.h"
#include "chalkshed/item_scheduler.h"
#include "chalkshed/job_ender.h"
#include "chalkshed/queue_admission.h"
#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"
#include "src/jobs/job_index.h"
#include "src/jobs/job_loader.h"
#include "src/jobs/job_queues.h"
#include "src/jobs/job_remover.h"
#include "src/jobs/job_submit.h"
#include "src/jobs/result_reader.h"
#include "src/peers/session_view.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

class JobService : public TableObserver {
 public:
  // @param may_start whether batch may take places now: no online request waits for one.
  JobService(JobEnvironment& environment, SessionView& sessions, std::function<bool()> may_start);

  void start();
  // Changes of the job table.
  void on_row(const StoredRow& row) override;
  void on_listed() override { queues_.note_listed(); }

  // Accepts the job durably. Sending it again under its id succeeds again.
  // Errors: kStoreUnavailable with Ran::kNo when certainly nothing was accepted; kOutcomeUnknown.
  void submit(RequestJob submission, Callback<std::monostate> callback);
  // @param wait the answer may be held back that long while there is no result.
  // Errors: kNotFound, kStoreUnavailable.
  void read_results(const std::string& job, uint32_t from, Duration wait,
                    Callback<ResultPage> callback);
  // The body of an item that is not listed yet. Errors: kNotFound, kStoreUnavailable.
  void read_body(const std::string& job, const std::string& item, Callback<std::string> callback);
  // Ends the job; no item is started any more, here or at its owner. A job that the store does not
  // hold is fenced: a write of it that is under way does not succeed. Errors: kNotFound,
  // kStoreUnavailable, kOutcomeUnknown.
  void end(const std::string& job, Callback<std::monostate> callback);
  // Whether the row ends a job that this session owns by that row.
  bool is_end_of_own_job(const StoredRow& row) const;
  // How the owner of a job hears that another node has ended it.
  void set_owner_notice(job_ender::owner_notice notice) {
    ender_.set_owner_notice(std::move(notice));
  }

  // Starts waiting items while workers have room.
  void start_items() { scheduler_.start_items(); }
  // Stops up to `count` runs: online requests wait for their places.
  void preempt_items(size_t count) { scheduler_.preempt_items(count); }
  // Planned stop: starts nothing more, lets items under way end, gives the jobs to other nodes,
  // then calls `done` once.
  void drain(std::function<void()> done);
  size_t owned_jobs() const { return owned_.size(); }

  // Queues of the routes that limit them: own remainders to report, and those of other nodes.
  job_queues& queues() { return queues_; }
  // Called when this node owns a further job, so that peers hear of it soon.
  void set_on_queue_changed(std::function<void()> callback) {
    on_queue_changed_ = std::move(callback);
  }

  // Whether this node owns a job that is not finished.
  bool owns_open_jobs() const;
  // Called when that may have changed.
  void set_on_ownership_changed(std::function<void()> callback) {
    on_ownership_changed_ = std::move(callback);
  }

 private:
  using Found = std::function<void(Expected<indexed_job>)>;

  void find(const std::string& job, Found callback);
  void note(const StoredJob& record, StoreVersion version);
  // @param known_since when the write was sent by which the job became this node's.
  void adopt(const StoredJob& record, StoreVersion version, MonotonicTime known_since,
             LoadedJob loaded);
  void drop(const std::string& job, const std::string& reason);
  void sweep();
  // Looks after the rows of refusals of one partition after another, at one node of the fleet.
  void sweep_refusals(MonotonicTime now);
  void sweep_job(const std::string& id, indexed_job& indexed);
  // Removes the job from the store when it is old and this node's turn.
  void remove_if_old(const std::string& id, const indexed_job& indexed);
  // Whether one takeover more would only make a slow store slower.
  bool enough_takeovers() const;
  // A takeover or load of the job is over.
  void note_takeover_over(indexed_job& indexed, bool answered);
  void take_over(const std::string& id);
  void load(const StoredJob& record, StoreVersion version, MonotonicTime known_since);
  void release(const std::string& id);
  void check_drained();
  ResultPage page_of(const OwnedJob& job, uint32_t from) const;
  void log(LogLevel level, std::string_view event, const StoredJob& record,
           const std::string& reason) const;

  JobEnvironment& environment_;
  SessionView& sessions_;
  JobLoader loader_;
  ResultReader reader_;
  JobRemover remover_;
  job_forwarder forwarder_;
  job_index_map index_;
  owned_job_map owned_;
  job_queues queues_;
  queue_admission admission_;
  job_ender ender_;
  failure_recorder recorder_;
  item_scheduler scheduler_;
  std::function<void()> on_queue_changed_;
  std::function<void()> on_ownership_changed_;
  bool removing_ = false;
  MonotonicTime refusals_swept_{};
  size_t next_refusals_ = 0;  // partition
  std::map<uint64_t, std::unique_ptr<JobSubmit>> submits_;
  uint64_t next_submit_ = 0;
  std::map<std::string, uint32_t> submitting_;  // submissions under way, by job
  bool takeovers_slow_ = false;  // the last takeover or load was slow, or was not answered
  bool draining_ = false;
  MonotonicTime drain_began_{};
  std::function<void()> on_drained_;
  TimerPtr sweep_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
