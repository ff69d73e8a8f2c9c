#include "chalkshed/start_timeline.h"

#include "src/core/number_text.h"

namespace chalkshed {

const char *start_step_name(start_step step) {
    switch (step) {
    case start_step::kConfiguration:
        return "configuration";
    case start_step::kWorkers:
        return "workers";
    case start_step::kNodes:
        return "nodes";
    case start_step::kLoads:
        return "loads";
    case start_step::kJobs:
        return "jobs";
    case start_step::kReady:
        return "ready";
    }
    return "unknown";
}

void start_timeline::note(start_step step) {
    std::optional<Duration> &taken = taken_[static_cast<size_t>(step)];
    if (taken) {
        return;
    }
    taken = elapsed();
    logger_.write(LogLevel::kInfo, "start_step",
                  {{"step", start_step_name(step)}, {"elapsed_ms", milliseconds_text(*taken)}});
}

} // namespace chalkshed
