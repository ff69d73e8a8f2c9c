#include "src/history/history_index.h"

#include <algorithm>

namespace chalkshed {

bool FaultRecord::affects(const std::string& process) const {
  const std::vector<std::string>& processes = fault.processes;
  return processes.empty() ||
         std::find(processes.begin(), processes.end(), process) != processes.end();
}

HistoryIndex::HistoryIndex(const History& history) {
  for (const Event& event : history) {
    end = std::max(end, event.time);
    add_call(event.time, event.data);
    add_run(event.time, event.data);
    add_job(event.time, event.data);
    add_fault(event.time, event.data);
    if (std::holds_alternative<Quiescent>(event.data)) {
      quiescent_at = event.time;
    }
  }
  link();
}

void HistoryIndex::add_call(MonotonicTime time, const EventData& data) {
  if (const auto* began = std::get_if<CallBegan>(&data)) {
    CallRecord& record = calls[began->call];
    record.began = *began;
    record.began_at = time;
  } else if (const auto* arrived = std::get_if<CallArrived>(&data)) {
    calls[arrived->call].arrived_at = time;
  } else if (const auto* ended = std::get_if<CallEnded>(&data)) {
    CallRecord& record = calls[ended->call];
    record.ended = *ended;
    record.ended_at = time;
  }
}

void HistoryIndex::add_run(MonotonicTime time, const EventData& data) {
  if (const auto* handed = std::get_if<RunSent>(&data)) {
    sent[handed->request].push_back({handed->node, time});
  } else if (const auto* arrived = std::get_if<RunArrived>(&data)) {
    RunRecord& record = runs[arrived->attempt];
    record.arrived = *arrived;
    record.arrived_at = time;
  } else if (const auto* admitted = std::get_if<RunAdmitted>(&data)) {
    RunRecord& record = runs[admitted->attempt];
    if (!record.admitted) {  // a preempted sequence is admitted again
      record.admitted = *admitted;
      record.admitted_at = time;
    }
  } else if (const auto* ended = std::get_if<RunEnded>(&data)) {
    RunRecord& record = runs[ended->attempt];
    record.ended = *ended;
    record.ended_at = time;
  }
}

void HistoryIndex::add_job(MonotonicTime time, const EventData& data) {
  if (const auto* offered = std::get_if<JobOffered>(&data)) {
    offers[offered->key].items = offered->items;
  } else if (const auto* accepted = std::get_if<JobAccepted>(&data)) {
    offers[accepted->key].job_ids.insert(accepted->job);
    JobRecord& job = jobs[accepted->job];
    if (job.key.empty()) {
      job.key = accepted->key;
      job.accepted_at = time;
    }
  } else if (const auto* requested = std::get_if<JobCancelRequested>(&data)) {
    JobRecord& job = jobs[requested->job];
    job.cancel_requested_at = job.cancel_requested_at.value_or(time);
  } else if (const auto* reported = std::get_if<JobReported>(&data)) {
    JobRecord& job = jobs[reported->job];
    job.reports.push_back(*reported);
    if (reported->status == "cancelled") {
      job.reported_cancelled_at = job.reported_cancelled_at.value_or(time);
    }
  } else if (const auto* output = std::get_if<JobOutput>(&data)) {
    jobs[output->job].outputs.push_back({time, *output});
  }
}

namespace {

void update_interval(std::vector<Interval>& intervals, MonotonicTime time, bool open,
                     const std::string& ordered_at = "") {
  const bool is_open = !intervals.empty() && !intervals.back().end;
  if (open && !is_open) {
    intervals.push_back({time, std::nullopt, ordered_at});
  } else if (!open && is_open) {
    intervals.back().end = time;
  }
}

}  // namespace

void HistoryIndex::add_fault(MonotonicTime time, const EventData& data) {
  if (const auto* began = std::get_if<FaultBegan>(&data)) {
    faults[began->fault] = FaultRecord{*began, {time, std::nullopt, ""}};
  } else if (const auto* ended = std::get_if<FaultEnded>(&data)) {
    faults[ended->fault].interval.end = time;
  } else if (const auto* changed = std::get_if<LeavingChanged>(&data)) {
    update_interval(leaving[changed->backend], time, changed->leaving, changed->ordered_at);
  } else if (const auto* stop = std::get_if<PlannedStop>(&data)) {
    update_interval(stops[stop->process], time, !stop->ended);
  }
}

void HistoryIndex::link() {
  for (const auto& [id, call] : calls) {
    calls_by_request[call.began.request].push_back(&call);
  }
  for (const auto& [attempt, run] : runs) {
    runs_by_request[run.arrived.request].push_back(&run);
    runs_by_backend[run.arrived.backend].push_back(&run);
  }
  const auto by_arrival = [](const RunRecord* left, const RunRecord* right) {
    return left->arrived_at < right->arrived_at;
  };
  for (auto& [backend, list] : runs_by_backend) {
    std::stable_sort(list.begin(), list.end(), by_arrival);
  }
}

bool HistoryIndex::has_fault(const std::string& process, MonotonicTime from,
                             MonotonicTime to) const {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& entry) {
    const FaultRecord& record = entry.second;
    return record.affects(process) && record.interval.overlaps(from, to);
  });
}

}  // namespace chalkshed
