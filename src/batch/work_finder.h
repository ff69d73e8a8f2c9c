// Polls the table for open jobs, claimable chunks, expired sessions and jobs to end.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "src/batch/batch_store.h"
#include "src/batch/job_finisher.h"
#include "src/batch/open_job_cache.h"
#include "src/batch/session_watch.h"
#include "src/membership/rendezvous.h"

namespace chalkshed {

// Polls at an interval that grows with the number of live nodes. Each round reads the list of open
// jobs; the chunks of the jobs that this node is responsible for ending (by rendezvous hashing) and
// of one other job without claimable chunks; and the sessions, if other nodes own chunks.
class WorkFinder {
 public:
  struct Events {
    std::function<void(const JobId&)> on_cancelled;  // a job was found to be cancelled
    std::function<void()> on_found;                  // a round ended; chunks may be claimable
  };

  WorkFinder(const NodeIdentity& identity, NodeDependencies& dependencies,
             const MembershipView& membership, BatchStore& store, OpenJobCache& open_jobs,
             const BatchKnobs& knobs, Events events);

  void start();
  void stop();
  // Schedules a scan of the job's chunks outside of the regular rounds.
  void refresh(const JobId& job);
  bool is_session_dead(const std::string& session) const { return watch_.is_dead(session); }

 private:
  void begin_round();
  void on_open_jobs(Expected<std::vector<Row>> rows);
  std::vector<JobId> jobs_to_scan();
  void scan_requested();
  template <typename Done>
  void scan_job(const JobId& job, Done done);
  bool is_job_finisher(const JobId& job) const;
  void scan_jobs();
  void on_chunks(const OpenJobRow& job, Expected<std::vector<Row>> rows);
  void check_sessions();
  bool should_delete(const SessionWatch::Expired& expired) const;
  void delete_session(const SessionWatch::Expired& expired);
  void end_round();
  void update_position();

  const NodeIdentity& identity_;
  NodeDependencies& dependencies_;
  const MembershipView& membership_;
  BatchStore& store_;
  OpenJobCache& open_jobs_;
  const BatchKnobs& knobs_;
  Events events_;
  JobFinisher finisher_;
  SessionWatch watch_;
  TimerPtr timer_;
  TimerPtr refresh_timer_;
  bool stopped_ = true;
  bool in_round_ = false;
  uint32_t failures_ = 0;  // consecutive rounds in which the store was unavailable
  std::set<JobId> requested_;
  std::vector<JobId> scans_;  // pending in this round
  JobId last_idle_scan_;      // for round-robin over the jobs
  Lifetime lifetime_;
};

}  // namespace chalkshed
