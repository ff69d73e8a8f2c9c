// Job checks: every accepted item completes exactly once, and no work is done after a job is
// reported as cancelled.
#include "src/history/checks.h"

namespace chalkshed {

namespace {

using Violations = std::vector<std::string>;

// Indexes the lines of one output read by item. A duplicate line is a violation.
std::map<std::string, JobOutputLine> lines_by_item(const JobOutput& output,
                                                   Violations& violations) {
  std::map<std::string, JobOutputLine> lines;
  for (const JobOutputLine& line : output.lines) {
    if (!lines.emplace(line.custom_id, line).second) {
      violations.push_back("job " + output.job + ": item " + line.custom_id +
                           " completed twice in one output");
    }
  }
  return lines;
}

std::string about_item(const std::string& job, const std::string& item, std::string_view what) {
  std::string sentence = "job ";
  sentence += job;
  sentence += ": item ";
  sentence += item;
  sentence += what;
  return sentence;
}

// A result that was once readable must remain readable and unchanged.
void check_reads_agree(const std::string& job, const std::map<std::string, JobOutputLine>& before,
                       const std::map<std::string, JobOutputLine>& after, Violations& violations) {
  for (const auto& [item, line] : before) {
    const auto found = after.find(item);
    if (found == after.end()) {
      violations.push_back(about_item(job, item, " is no longer readable"));
    } else if (found->second.text != line.text || found->second.error_kind != line.error_kind ||
               found->second.completion != line.completion) {
      violations.push_back(about_item(job, item, " completed again with a different result"));
    }
  }
}

void check_final_output(const std::string& job, const std::vector<JobItem>& items,
                        const std::map<std::string, JobOutputLine>& lines, bool cancelled,
                        Violations& violations) {
  for (const JobItem& item : items) {
    const auto found = lines.find(item.custom_id);
    if (found == lines.end()) {
      if (!cancelled) {
        violations.push_back("job " + job + ": item " + item.custom_id + " was lost");
      }
    } else if (!cancelled && !found->second.error_kind.empty()) {
      violations.push_back("job " + job + ": item " + item.custom_id + " failed with " +
                           found->second.error_kind);
    }
  }
  if (lines.size() > items.size()) {
    violations.push_back("job " + job + ": output contains items that were never submitted");
  }
}

MonotonicTime read_began_at(const OutputRead& read, const HistoryIndex& index) {
  const auto call = index.calls.find(read.output.call);
  return call == index.calls.end() ? read.read_at : call->second.began_at;
}

void check_job(const std::string& id, const JobRecord& job, const HistoryIndex& index,
               Violations& violations) {
  const auto offer = index.offers.find(job.key);
  if (offer == index.offers.end()) {
    return;
  }
  std::map<std::string, JobOutputLine> previous;
  MonotonicTime previous_read_at{};
  bool read_at_end = false;
  for (const OutputRead& read : job.outputs) {
    std::map<std::string, JobOutputLine> lines = lines_by_item(read.output, violations);
    // A read that began before the previous one ended may return an older state.
    if (read_began_at(read, index) >= previous_read_at) {
      check_reads_agree(id, previous, lines, violations);
    }
    previous = std::move(lines);
    previous_read_at = read.read_at;
    read_at_end = read_at_end || (index.quiescent_at && read.read_at >= *index.quiescent_at);
  }
  if (!index.quiescent_at) {
    return;
  }
  const bool cancelled = job.cancel_requested_at.has_value();
  if (!read_at_end && !cancelled) {
    violations.push_back("job " + id +
                         ": its output was not read after the cluster became quiescent");
    return;
  }
  check_final_output(id, offer->second.items, previous, cancelled, violations);
}

// @return whether the engine worked on the run after `time`.
bool ran_after(const RunRecord& run, MonotonicTime time, const HistoryIndex& index) {
  const MonotonicTime last = run.ended ? run.ended_at : index.end;
  const MonotonicTime first = std::max(run.arrived_at, time);
  if (run.refused() || last <= first) {
    return false;
  }
  // A frozen engine keeps its runs but makes no progress on them.
  return std::none_of(index.faults.begin(), index.faults.end(), [&](const auto& entry) {
    const FaultRecord& fault = entry.second;
    return fault.fault.kind == "freeze_worker" && fault.affects(run.arrived.backend) &&
           fault.interval.begin <= first && fault.interval.end && *fault.interval.end >= last;
  });
}

}  // namespace

GuaranteeResult check_exactly_once(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [key, offer] : index.offers) {
    if (offer.job_ids.size() > 1) {
      result.violations.push_back("submission " + key + " was accepted as " +
                                  std::to_string(offer.job_ids.size()) + " jobs");
    }
    if (!offer.job_ids.empty()) {
      result.checked += offer.items.size();
    }
  }
  for (const auto& [id, job] : index.jobs) {
    check_job(id, job, index, result.violations);
  }
  return result;
}

GuaranteeResult check_cancelled_stops(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [id, job] : index.jobs) {
    const auto offer = index.offers.find(job.key);
    if (!job.reported_cancelled_at || offer == index.offers.end()) {
      continue;
    }
    const MonotonicTime cancelled = *job.reported_cancelled_at;
    for (const JobItem& item : offer->second.items) {
      ++result.checked;
      const auto runs = index.runs_by_request.find(item.request);
      if (runs == index.runs_by_request.end()) {
        continue;
      }
      for (const RunRecord* run : runs->second) {
        if (ran_after(*run, cancelled, index)) {
          result.violations.push_back("job " + id + ": item " + item.custom_id + " ran on " +
                                      run->arrived.backend +
                                      " after the job was reported as cancelled");
        }
      }
    }
  }
  return result;
}

}  // namespace chalkshed
