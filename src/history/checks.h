// The individual checks behind check_history(), one function per guarantee.
#pragma once

#include "src/history/checker.h"
#include "src/history/history_index.h"

namespace chalkshed {

GuaranteeResult check_exactly_once(const HistoryIndex& index);
GuaranteeResult check_cancelled_stops(const HistoryIndex& index);
GuaranteeResult check_online_before_batch(const HistoryIndex& index, const CheckerBounds& bounds);
GuaranteeResult check_whole_answers(const HistoryIndex& index);
GuaranteeResult check_not_run_is_true(const HistoryIndex& index);
GuaranteeResult check_at_most_once(const HistoryIndex& index);
GuaranteeResult check_leaving_gets_no_work(const HistoryIndex& index, const CheckerBounds& bounds);
GuaranteeResult check_planned_stop_cuts_nothing(const HistoryIndex& index);
GuaranteeResult check_configuration_in_force(const History& history, const HistoryIndex& index,
                                             const CheckerBounds& bounds);

}  // namespace chalkshed
