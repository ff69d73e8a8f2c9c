#include "chalkshed/resumption_outcome.h"

#include <string>

namespace chalkshed {
namespace {

std::string_view name_of(resumed_work work) {
    switch (work) {
    case resumed_work::kAnswer:
        return "answer";
    case resumed_work::kCaller:
        return "caller";
    case resumed_work::kItem:
        return "item";
    }
    return "answer";
}

} // namespace

std::string_view resumption_outcome_name(resumption_outcome outcome) {
    switch (outcome) {
    case resumption_outcome::kSameVersion:
        return "same_version";
    case resumption_outcome::kNoWorker:
        return "no_worker";
    case resumption_outcome::kOriginUnknown:
        return "origin_unknown";
    }
    return "origin_unknown";
}

void count_resumption(MetricsRegistry &metrics, resumed_work work, resumption_outcome outcome) {
    metrics
        .counter("chalkshed_resumptions_total",
                 "Interrupted streams and items that were to go on, by how that ended.",
                 {{"work", std::string(name_of(work))},
                  {"outcome", std::string(resumption_outcome_name(outcome))}})
        .add(1);
}

} // namespace chalkshed
