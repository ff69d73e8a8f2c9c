// The batch job interface of a node: accepts and ends jobs, and reads their results and bodies.
// Holds the jobs that this node runs, and takes over those whose owners are gone.
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
  // @param may_start whether batch items may take slots now: the loads of the workers are known.
  JobService(JobEnvironment& environment, SessionView& sessions, std::function<bool()> may_start);

  void start();
  // Changes of the job table.
  void on_row(const StoredRow& row) override;
  void on_listed() override { queues_.note_listed(); }

  // Accepts the job durably. Submitting it again under the same id is idempotent.
  // Errors: kStoreUnavailable with Ran::kNo when the job was certainly not accepted;
  // kOutcomeUnknown.
  void submit(RequestJob submission, Callback<std::monostate> callback);
  // @param wait how long the answer may be delayed while there is no result.
  // Errors: kNotFound, kStoreUnavailable.
  void read_results(const std::string& job, uint32_t from, Duration wait,
                    Callback<ResultPage> callback);
  // Reads the body of an item that has no listed result yet. Errors: kNotFound, kStoreUnavailable.
  void read_body(const std::string& job, const std::string& item, Callback<std::string> callback);
  // Ends the job; neither this node nor its owner starts further items. A job that is not in the
  // store is fenced: a write of it that is still in flight fails. Errors: kNotFound,
  // kStoreUnavailable, kOutcomeUnknown.
  void end(const std::string& job, Callback<std::monostate> callback);
  // Whether the row is the ended record of a job, with this session as its owner.
  bool is_end_of_own_job(const StoredRow& row) const;
  // Sets how the owner of a job is notified that this node has ended it.
  void set_owner_notice(job_ender::owner_notice notice) {
    ender_.set_owner_notice(std::move(notice));
  }

  // Starts waiting items while workers have free slots.
  void start_items() { scheduler_.start_items(); }
  // Preempts up to `count` runs for online requests that wait for slots of the service.
  void preempt_items(const std::string& service, size_t count) {
    scheduler_.preempt_items(service, count);
  }
  // Planned stop: starts no further items, lets running items end, releases the jobs to other
  // nodes, then calls `done` once.
  void drain(std::function<void()> done);
  size_t owned_jobs() const { return owned_.size(); }
  // @return the accepted items of this node's jobs that do not run, `limit` at most.
  std::vector<waiting_item> waiting(size_t limit) const;

  // The queues of routes with a queue limit: remaining tokens of this node's jobs, to be reported,
  // and those reported by other nodes.
  job_queues& queues() { return queues_; }
  // Called when this node owns a further job, so that peers are told soon.
  void set_on_queue_changed(std::function<void()> callback) {
    on_queue_changed_ = std::move(callback);
  }

  // Whether this node owns a job that is not finished.
  bool owns_open_jobs() const;
  // Called when the result of owns_open_jobs() may have changed.
  void set_on_ownership_changed(std::function<void()> callback) {
    on_ownership_changed_ = std::move(callback);
  }

 private:
  using Found = std::function<void(Expected<indexed_job>)>;

  void find(const std::string& job, Found callback);
  void note(const StoredJob& record, StoreVersion version);
  // @param known_since when the write that made this node the owner was sent.
  void adopt(const StoredJob& record, StoreVersion version, MonotonicTime known_since,
             LoadedJob loaded);
  void drop(const std::string& job, const std::string& reason);
  void sweep();
  void update_wait_gauges(const item_wait_counts& waits) const;
  // Removes old refusal rows, one partition per sweep, at one node of the fleet.
  void sweep_refusals(MonotonicTime now);
  void sweep_job(const std::string& id, indexed_job& indexed);
  // Whether another node has become the owner so lately that it must be taken to be alive.
  bool has_new_owner(const indexed_job& indexed, MonotonicTime now) const;
  // Removes the job from the store when it has expired and this node has the first rank for it.
  void remove_if_old(const std::string& id, const indexed_job& indexed);
  // Whether the store is slow and as many takeovers are in progress as are allowed then.
  bool takeover_limit_reached() const;
  // Records the end of a takeover or load of the job.
  void finish_takeover(indexed_job& indexed, bool answered);
  void take_over(const std::string& id);
  void load(const StoredJob& record, StoreVersion version, MonotonicTime known_since);
  void release(const std::string& id);
  void check_drained();
  ResultPage page_of(const OwnedJob& job, uint32_t from) const;
  void log_other_content(const StoredJob& record, const RequestJob& submission) const;
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
  std::map<std::string, uint32_t> submitting_;  // submissions in progress, by job
  bool takeovers_slow_ = false;  // the last takeover or load was slow or got no answer
  bool draining_ = false;
  MonotonicTime drain_began_{};
  std::function<void()> on_drained_;
  TimerPtr sweep_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
