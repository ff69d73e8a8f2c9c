// Indexes a history by call, run, job, fault and process. Built once and shared by all checks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/history/event.h"

namespace chalkshed {

struct CallRecord {
  CallBegan began;
  MonotonicTime began_at;
  std::optional<MonotonicTime> arrived_at;
  std::optional<CallEnded> ended;
  MonotonicTime ended_at;

  bool ended_with(CallOutcome outcome) const { return ended && ended->outcome == outcome; }
};

struct SentRecord {
  std::string node;
  MonotonicTime time;
};

struct RunRecord {
  RunArrived arrived;
  MonotonicTime arrived_at;
  std::optional<RunAdmitted> admitted;
  MonotonicTime admitted_at;
  std::optional<RunEnded> ended;
  MonotonicTime ended_at;

  bool ended_with(RunOutcome outcome) const { return ended && ended->outcome == outcome; }
  bool refused() const { return ended_with(RunOutcome::kRefused); }
};

struct OutputRead {
  MonotonicTime read_at;
  JobOutput output;
};

struct JobRecord {
  std::string key;
  MonotonicTime accepted_at;
  std::optional<MonotonicTime> cancel_requested_at;
  std::optional<MonotonicTime> reported_cancelled_at;
  std::vector<JobReported> reports;
  std::vector<OutputRead> outputs;
};

struct JobOffer {
  std::vector<JobItem> items;
  std::set<std::string> job_ids;  // job ids
};

// A time interval; `end` is absent if it lasts to the end of the history.
struct Interval {
  MonotonicTime begin;
  std::optional<MonotonicTime> end;
  std::string ordered_at;  // leaving back ends: the node that received the order

  bool overlaps(MonotonicTime from, MonotonicTime to) const {
    return begin <= to && (!end || *end >= from);
  }
};

struct FaultRecord {
  FaultBegan fault;
  Interval interval;

  bool affects(const std::string& process) const;
};

struct HistoryIndex {
  explicit HistoryIndex(const History& history);

  std::map<std::string, CallRecord> calls;                                 // by call
  std::map<std::string, std::vector<const CallRecord*>> calls_by_request;  // calls by request
  std::map<std::string, RunRecord> runs;                                   // by attempt
  std::map<std::string, std::vector<const RunRecord*>> runs_by_request;    // runs by request
  std::map<std::string, std::vector<const RunRecord*>> runs_by_backend;  // by back end, by arrival
  std::map<std::string, std::vector<SentRecord>> sent;                   // by request
  std::map<std::string, JobOffer> offers;                                // by key
  std::map<std::string, JobRecord> jobs;                                 // by job id
  std::map<uint64_t, FaultRecord> faults;
  std::map<std::string, std::vector<Interval>> leaving;  // by back end
  std::map<std::string, std::vector<Interval>> stops;    // by process
  MonotonicTime end;                                     // time of the last event
  std::optional<MonotonicTime> quiescent_at;

  // @return whether a fault that affects `process` overlaps the interval [from, to].
  bool has_fault(const std::string& process, MonotonicTime from, MonotonicTime to) const;

 private:
  void add_call(MonotonicTime time, const EventData& data);
  void add_run(MonotonicTime time, const EventData& data);
  void add_job(MonotonicTime time, const EventData& data);
  void add_fault(MonotonicTime time, const EventData& data);
  void link();
};

}  // namespace chalkshed
