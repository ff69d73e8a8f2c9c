#include "src/history/checker.h"

#include "src/history/checks.h"
#include "src/history/history_index.h"

namespace chalkshed {

std::string_view guarantee_name(Guarantee guarantee) {
  constexpr std::array<std::string_view, kGuaranteeCount> kNames{
      "exactly_once",         "cancelled_stops",           "online_before_batch",
      "whole_answers",        "not_run_is_true",           "at_most_once",
      "leaving_gets_no_work", "planned_stop_cuts_nothing", "configuration_in_force"};
  return kNames[static_cast<size_t>(guarantee)];
}

size_t CheckResult::violation_count() const {
  size_t count = 0;
  for (const GuaranteeResult& result : guarantees) {
    count += result.violations.size();
  }
  return count;
}

CheckResult check_history(const History& history, const CheckerBounds& bounds) {
  const HistoryIndex index(history);
  CheckResult result;
  result[Guarantee::kExactlyOnce] = check_exactly_once(index);
  result[Guarantee::kCancelledStops] = check_cancelled_stops(index);
  result[Guarantee::kOnlineBeforeBatch] = check_online_before_batch(index, bounds);
  result[Guarantee::kWholeAnswers] = check_whole_answers(index);
  result[Guarantee::kNotRunIsTrue] = check_not_run_is_true(index);
  result[Guarantee::kAtMostOnce] = check_at_most_once(index);
  result[Guarantee::kLeavingGetsNoWork] = check_leaving_gets_no_work(index, bounds);
  result[Guarantee::kPlannedStopCutsNothing] = check_planned_stop_cuts_nothing(index);
  result[Guarantee::kConfigurationInForce] = check_configuration_in_force(history, index, bounds);
  return result;
}

}  // namespace chalkshed
