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
// trial. A part is held once workers have crashed at several moments: those that crash at the same
// one may have lost their power.
part_trial_schedule::trial_record
part_trial_schedule::record_of(const std::vector<broken_run> &runs, software_id software,
                               size_t workers) const {
    trial_record record;
    MonotonicTime last{};
    for (const broken_run &run : runs) {
        const Duration gap = run.at - last;
        const bool was_held = record.moments >= evidence_.knobs().quarantine_threshold;
        if (record.moments == 0 || gap >= evidence_.knobs().same_moment) {
            ++record.moments;
        }
        last = run.at;
        if (!was_held || gap < knobs_.trial_delay || run.software != software ||
            evidence_.within_storm(run, workers)) {
            continue;
        }
        record.failed_since_end += ended(record) ? 1 : 0;
        ++record.failed;
        record.late_failures += gap >= knobs_.late_trial_delay ? 1 : 0;
    }
    return record;
}

bool part_trial_schedule::ended(const trial_record &record) const {
    return record.failed >= knobs_.max_failed_trials ||
           (record.failed > 0 && record.moments >= knobs_.max_crash_moments);
}

bool part_trial_schedule::is_owed_trial(const trial_candidate &candidate,
                                        const trial_record &record,
                                        const std::vector<broken_run> &runs) const {
    return candidate.owed && ended(record) && record.failed_since_end < knobs_.max_owed_trials &&
           2 * evidence_.possible_crashes(candidate.content) > runs.size();
}

std::optional<Duration> part_trial_schedule::delay_after(const trial_record &record) const {
    if (!ended(record)) {
        return knobs_.trial_delay;
    }
    Duration delay = knobs_.late_trial_delay;
    for (size_t failure = 0; failure < record.late_failures; ++failure) {
        delay *= knobs_.late_trial_factor;
    }
    return delay < evidence_.knobs().evidence_lifetime ? std::optional(delay) : std::nullopt;
}

std::optional<MonotonicTime> part_trial_schedule::next_trial(uint64_t part,
                                                             const trial_candidate &candidate,
                                                             software_id software, size_t workers,
                                                             MonotonicTime now) const {
    const std::vector<broken_run> runs = runs_by_time(part, now);
    if (runs.empty()) {
        return MonotonicTime{};
    }
    const trial_record record = record_of(runs, software, workers);
    if (is_owed_trial(candidate, record, runs)) {
        return runs.back().at + knobs_.owed_trial_delay;
    }
    const std::optional<Duration> delay = delay_after(record);
    if (!delay) {
        return std::nullopt;
    }
    const size_t crashes_of_content = evidence_.possible_crashes(candidate.content) + 1;
    const bool explains = 2 * crashes_of_content > runs.size() + 1;
    return runs.back().at + *delay + (explains ? knobs_.same_content_delay : Duration(0));
}

} // namespace chalkshed
