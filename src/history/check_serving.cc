// Serving checks: online priority over batch, leaving back ends and planned stops.
#include "src/history/checks.h"

namespace chalkshed {

namespace {

// Gossip must tolerate lost and reordered datagrams, so these faults extend no deadline.
constexpr std::string_view kDatagramFaultKind = "datagram_faults";

// @return whether a batch sequence ran or was admitted while `online` waited past its bound.
bool waited_behind_batch(const RunRecord& online, const std::vector<const RunRecord*>& runs,
                         const CheckerBounds& bounds) {
  const uint64_t last_allowed_step = online.arrived.step + bounds.online_wait_steps;
  if (online.admitted->step <= last_allowed_step) {
    return false;
  }
  return std::any_of(runs.begin(), runs.end(), [&](const RunRecord* run) {
    const bool started_before =
        run->arrived.batch && run->admitted && run->admitted->step <= online.admitted->step;
    const bool still_running = !run->ended || run->ended->step > last_allowed_step;
    return started_before && still_running;
  });
}

void check_engines(const HistoryIndex& index, const CheckerBounds& bounds,
                   GuaranteeResult& result) {
  for (const auto& [backend, runs] : index.runs_by_backend) {
    for (const RunRecord* run : runs) {
      if (run->arrived.batch || !run->admitted) {
        continue;
      }
      ++result.checked;
      if (waited_behind_batch(*run, runs, bounds)) {
        result.violations.push_back("online run " + run->arrived.attempt + " waited on " + backend +
                                    " while a batch run was in progress");
      }
    }
  }
}

// @return when the call's node first sent its request to an engine during the call.
std::optional<MonotonicTime> first_sent(const CallRecord& call, const HistoryIndex& index) {
  const auto sent = index.sent.find(call.began.request);
  if (sent == index.sent.end()) {
    return std::nullopt;
  }
  for (const SentRecord& record : sent->second) {
    const bool during =
        record.time >= *call.arrived_at && (!call.ended || record.time <= call.ended_at);
    if (during && record.node == call.began.node) {
      return record.time;
    }
  }
  return std::nullopt;
}

void check_dispatch(const HistoryIndex& index, const CheckerBounds& bounds,
                    GuaranteeResult& result) {
  for (const auto& [id, call] : index.calls) {
    const bool online =
        call.began.kind == CallKind::kCompletion || call.began.kind == CallKind::kStream;
    if (!online || call.began.not_repeatable || !call.arrived_at) {
      continue;
    }
    const std::optional<MonotonicTime> sent = first_sent(call, index);
    if (!sent) {
      continue;
    }
    ++result.checked;
    const bool late = *sent - *call.arrived_at > bounds.online_dispatch;
    if (late && !index.has_fault(call.began.node, *call.arrived_at, *sent)) {
      result.violations.push_back("call " + id +
                                  " waited too long in its node before it was sent to an engine");
    }
  }
}

bool affects_node(const FaultRecord& fault, const std::string& node) {
  return !node.empty() && fault.affects(node);
}

// @return the time from which the sender must not use the back end. A node that is paused or
// partitioned neither learns of a leave order nor propagates one that it received until it
// recovers.
MonotonicTime exclusion_start(const Interval& leaving, const RunRecord& run,
                              const HistoryIndex& index, const CheckerBounds& bounds) {
  MonotonicTime known_since = leaving.begin;
  for (const auto& [id, fault] : index.faults) {
    const bool cluster_wide =
        fault.fault.processes.empty() || fault.fault.kind == kDatagramFaultKind;
    const bool affects = !cluster_wide && (affects_node(fault, run.arrived.sender) ||
                                           affects_node(fault, leaving.ordered_at));
    if (affects && fault.interval.overlaps(leaving.begin, run.arrived_at)) {
      known_since = std::max(known_since, fault.interval.end.value_or(run.arrived_at));
    }
  }
  return known_since + bounds.leaving_grace;
}

// @return the interval containing `time` in which the back end must receive no work, or null.
const Interval* find_exclusion(const std::vector<Interval>& intervals, MonotonicTime time,
                               Duration grace) {
  const auto found =
      std::find_if(intervals.begin(), intervals.end(), [&](const Interval& interval) {
        return time > interval.begin + grace && (!interval.end || time < *interval.end);
      });
  return found == intervals.end() ? nullptr : &*found;
}

}  // namespace

GuaranteeResult check_online_before_batch(const HistoryIndex& index, const CheckerBounds& bounds) {
  GuaranteeResult result;
  check_engines(index, bounds, result);
  check_dispatch(index, bounds, result);
  return result;
}

// @return when the run was sent if that is known, else when it arrived. A paused back end receives
// a run later than it was sent.
MonotonicTime sent_at(const RunRecord& run, const HistoryIndex& index) {
  MonotonicTime sent = run.arrived_at;
  const auto records = index.sent.find(run.arrived.request);
  if (records == index.sent.end()) {
    return sent;
  }
  for (const SentRecord& record : records->second) {
    if (record.node == run.arrived.sender && record.time <= run.arrived_at) {
      sent = record.time;
    }
  }
  return sent;
}

GuaranteeResult check_leaving_gets_no_work(const HistoryIndex& index, const CheckerBounds& bounds) {
  GuaranteeResult result;
  for (const auto& [attempt, run] : index.runs) {
    const MonotonicTime time = sent_at(run, index);
    // Every run sent while any back end had to be excluded counts as checked.
    const bool counts =
        std::any_of(index.leaving.begin(), index.leaving.end(), [&](const auto& entry) {
          return find_exclusion(entry.second, time, bounds.leaving_grace) != nullptr;
        });
    result.checked += counts ? 1 : 0;
    const auto leaving = index.leaving.find(run.arrived.backend);
    if (leaving == index.leaving.end()) {
      continue;
    }
    const Interval* interval = find_exclusion(leaving->second, time, bounds.leaving_grace);
    if (interval != nullptr && time > exclusion_start(*interval, run, index, bounds)) {
      result.violations.push_back("leaving back end " + run.arrived.backend + " received run " +
                                  attempt);
    }
  }
  return result;
}

GuaranteeResult check_planned_stop_cuts_nothing(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [id, call] : index.calls) {
    const auto stops = index.stops.find(call.began.node);
    if (stops == index.stops.end() || !call.ended) {
      continue;
    }
    const MonotonicTime from = call.arrived_at.value_or(call.began_at);
    const MonotonicTime to = call.ended_at;
    const bool during = std::any_of(stops->second.begin(), stops->second.end(),
                                    [&](const Interval& stop) { return stop.overlaps(from, to); });
    if (!during) {
      continue;
    }
    ++result.checked;
    const bool broken = call.ended_with(CallOutcome::kBroken) &&
                        !index.has_fault(call.began.node, call.began_at, call.ended_at);
    if (call.ended_with(CallOutcome::kCutOffByExit) || broken) {
      result.violations.push_back("call " + id + " was cut off by the planned stop of " +
                                  call.began.node);
    }
  }
  for (const auto& [attempt, run] : index.runs) {
    const auto stops = index.stops.find(run.arrived.backend);
    if (stops == index.stops.end()) {
      continue;
    }
    for (const Interval& stop : stops->second) {
      const bool during = stop.overlaps(run.arrived_at, run.ended ? run.ended_at : index.end);
      result.checked += during ? 1 : 0;
      if (during && run.ended_with(RunOutcome::kCutOffByExit)) {
        result.violations.push_back("run " + attempt + " was cut off by the planned stop of " +
                                    run.arrived.backend);
      }
    }
  }
  return result;
}

}  // namespace chalkshed
