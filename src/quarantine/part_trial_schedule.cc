#include "chalkshed/part_trial_schedule.h"

#include <algorithm>

namespace chalkshed {

std::vector<broken_run> part_trial_schedule::runs_by_time(uint64_t part, MonotonicTime now) const {
    std::vector<broken_run> runs = evidence_.suspect_runs(part, now);
    std::sort(runs.begin(), runs.end(),
              [](const broken_run &a, const broken_run &b) { return a.at < b.at; });
    return runs;
}

// Requests with a held part don't run, so what crashes so long after the previous worker is a
// trial.
size_t part_trial_schedule::failed_trials(const std::vector<broken_run> &runs, software_id software,
                                          size_t workers) const {
    size_t failed = 0;
    for (size_t index = evidence_.knobs().quarantine_threshold; index < runs.size(); ++index) {
        const broken_run &run = runs[index];
        const bool is_trial = run.at - runs[index - 1].at >= knobs_.trial_delay;
        if (is_trial && run.software == software && !evidence_.within_storm(run, workers)) {
            ++failed;
        }
    }
    return failed;
}

size_t part_trial_schedule::failed_trials(uint64_t part, software_id software, size_t workers,
                                          MonotonicTime now) const {
    return failed_trials(runs_by_time(part, now), software, workers);
}

std::optional<MonotonicTime> part_trial_schedule::next_trial(uint64_t part, uint64_t content,
                                                             software_id software, size_t workers,
                                                             MonotonicTime now) const {
    const std::vector<broken_run> runs = runs_by_time(part, now);
    if (runs.empty()) {
        return MonotonicTime{};
    }
    const size_t failed = failed_trials(runs, software, workers);
    const bool proved =
        failed >= knobs_.max_failed_trials || (failed > 0 && runs.size() >= knobs_.max_crashes);
    if (proved) {
        return std::nullopt;
    }
    const size_t crashes_of_content = evidence_.possible_crashes(content) + 1;
    const bool explains = 2 * crashes_of_content > runs.size() + 1;
    return runs.back().at + knobs_.trial_delay +
           (explains ? knobs_.same_content_delay : Duration(0));
}

} // namespace chalkshed
