// Finds work in the table: open jobs, free chunks, sessions whose lease has run out, jobs to end.
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

// Looks at the open jobs at an interval that grows with the number of live nodes. In each round:
// the list of open jobs; the chunks of the jobs that this node is to end (a rendezvous choice) and
// of one more whose known chunks are all taken; the sessions, if others own chunks.
class WorkFinder {
 public:
  struct Events {
    std::function<void(const JobId&)> on_cancelled;  // learned that a job is cancelled
    std::function<void()> on_found;                  // a round ended; chunks may be claimable
  };

  WorkFinder(const NodeIdentity& identity, NodeDependencies& dependencies,
             const MembershipView& membership, BatchStore& store, OpenJobCache& board,
             const BatchKnobs& knobs, Events events);

  void start();
  void stop();
  // Has the job's chunks read soon, apart from the rounds.
  void refresh(const JobId& job);
  bool session_dead(const std::string& session) const { return watch_.dead(session); }

 private:
  void begin_round();
  void on_open_jobs(Expected<std::vector<Row>> rows);
  std::vector<JobId> jobs_to_scan();
  void scan_requested();
  template <typename Done>
  void scan_job(const JobId& job, Done done);
  bool ends_here(const JobId& job) const;
  void scan_jobs();
  void on_chunks(const OpenJobRow& job, Expected<std::vector<Row>> rows);
  void check_sessions();
  bool deletes_here(const SessionWatch::Expired& expired) const;
  void delete_session(const SessionWatch::Expired& expired);
  void end_round();
  void update_position();

  const NodeIdentity& identity_;
  NodeDependencies& dependencies_;
  const MembershipView& membership_;
  BatchStore& store_;
  OpenJobCache& board_;
  const BatchKnobs& knobs_;
  Events events_;
  JobFinisher finisher_;
  SessionWatch watch_;
  TimerPtr timer_;
  TimerPtr refresh_timer_;
  bool stopped_ = true;
  bool in_round_ = false;
  uint32_t failures_ = 0;  // rounds in a row that found the store unavailable
  std::set<JobId> requested_;
  std::vector<JobId> scans_;  // still to do in this round
  JobId last_idle_scan_;      // rotates over the jobs
  Lifetime lifetime_;
};

}  // namespace chalkshed
