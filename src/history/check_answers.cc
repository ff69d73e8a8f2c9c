// Per-request checks: complete answers, truthful refusals and at-most-once execution.
#include "src/history/checks.h"

namespace chalkshed {

namespace {

bool is_answer(CallKind kind) {
  return kind == CallKind::kCompletion || kind == CallKind::kStream || kind == CallKind::kService;
}

void check_answer(const CallRecord& call, GuaranteeResult& result) {
  if (!call.ended || call.began.expected_text.empty() || !is_answer(call.began.kind)) {
    return;
  }
  const std::string& text = call.ended->text;
  const std::string& expected = call.began.expected_text;
  const bool complete = call.ended->outcome == CallOutcome::kComplete;
  if (!complete && text.empty()) {
    return;
  }
  ++result.checked;
  if (complete && text != expected) {
    const bool is_short = expected.starts_with(text);
    result.violations.push_back("call " + call.began.call + ": " +
                                (is_short ? "a truncated answer was reported as complete"
                                          : "the answer does not match its request"));
  } else if (!complete && !expected.starts_with(text)) {
    result.violations.push_back("call " + call.began.call +
                                ": the partial answer is not a prefix of the expected answer");
  }
}

void check_job_answers(const std::string& id, const JobRecord& job, const HistoryIndex& index,
                       GuaranteeResult& result) {
  const auto offer = index.offers.find(job.key);
  if (offer == index.offers.end() || job.outputs.empty()) {
    return;
  }
  std::map<std::string, const JobItem*> items;
  for (const JobItem& item : offer->second.items) {
    items[item.custom_id] = &item;
  }
  for (const JobOutputLine& line : job.outputs.back().output.lines) {
    ++result.checked;
    const auto item = items.find(line.custom_id);
    if (item == items.end() ||
        (line.error_kind.empty() && line.text != item->second->expected_text)) {
      result.violations.push_back("job " + id + ": line " + line.custom_id +
                                  " does not contain the complete answer of its item");
    }
  }
}

// @return the request's runs that an engine or back end did not refuse.
std::vector<const RunRecord*> accepted_runs(const HistoryIndex& index, const std::string& request) {
  std::vector<const RunRecord*> runs;
  if (const auto found = index.runs_by_request.find(request);
      found != index.runs_by_request.end()) {
    for (const RunRecord* run : found->second) {
      if (!run->refused()) {
        runs.push_back(run);
      }
    }
  }
  return runs;
}

bool reported_not_run(const CallRecord* call) {
  return call->ended_with(CallOutcome::kNotConnected) ||
         (call->ended_with(CallOutcome::kFailed) && call->ended->said_not_run);
}

}  // namespace

GuaranteeResult check_whole_answers(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [id, call] : index.calls) {
    check_answer(call, result);
  }
  for (const auto& [id, job] : index.jobs) {
    check_job_answers(id, job, index, result);
  }
  return result;
}

GuaranteeResult check_not_run_is_true(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [request, calls] : index.calls_by_request) {
    const CallKind kind = calls.front()->began.kind;
    // A resend may run even though an earlier call did not. A run is a violation only if every call
    // reported that the request did not run.
    if (!is_answer(kind) || !std::all_of(calls.begin(), calls.end(), reported_not_run)) {
      continue;
    }
    result.checked += calls.size();
    const std::vector<const RunRecord*> runs = accepted_runs(index, request);
    if (!runs.empty()) {
      result.violations.push_back("call " + calls.front()->began.call +
                                  " was reported as not run, but it ran on " +
                                  runs.front()->arrived.backend);
    }
  }
  return result;
}

GuaranteeResult check_at_most_once(const HistoryIndex& index) {
  GuaranteeResult result;
  for (const auto& [request, calls] : index.calls_by_request) {
    if (!calls.front()->began.not_repeatable) {
      continue;
    }
    ++result.checked;
    const size_t runs = accepted_runs(index, request).size();
    if (runs > 1) {
      result.violations.push_back("request of call " + calls.front()->began.call +
                                  " is not repeatable, but ran " + std::to_string(runs) + " times");
    }
  }
  return result;
}

}  // namespace chalkshed
