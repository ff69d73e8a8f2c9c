/** \file
 * The part of worker_failures that probes ejected workers and readmits them. */

#include <algorithm>

#include "chalkshed/worker_failures.h"

namespace chalkshed {

void worker_failures::note_probe(uint32_t worker, MonotonicTime now) {
    const auto found = workers_.find(worker);
    if (found != workers_.end() && found->second.standing.state == worker_state::kEjected) {
        found->second.standing.probed = now;
        on_update_(worker, failure_update::kProbe);
    }
}

void worker_failures::note_probe_result(const worker_answer &answer, worker_record &record,
                                        MonotonicTime now) {
    if (answer.fault == answer_fault::kNone) {
        pass_probe(answer.worker, record, answer.content, now);
        return;
    }
    record.standing.passed = 0;
    record.standing.result_at = now;
    record.probe_failed = now;
    record.passed_content = 0;
    record.fails_late = record.fails_late || answer.fault == answer_fault::kTruncated;
    on_update_(answer.worker, failure_update::kProbe);
}

void worker_failures::pass_probe(uint32_t worker, worker_record &record, uint64_t content,
                                 MonotonicTime now) {
    if (record.passed_content == content) {
        return; // counted when its answer began
    }
    record.passed_content = content;
    worker_standing &standing = record.standing;
    ++standing.passed;
    standing.result_at = now;
    if (standing.passed >= standing.needed && now >= standing.since + hold_of(standing.level)) {
        readmit(worker, record, now, false, now);
    } else {
        on_update_(worker, failure_update::kProbe);
    }
}

uint8_t worker_failures::next_level(const worker_record &record, MonotonicTime now) const {
    const bool relapsed = record.standing.state == worker_state::kReadmitted &&
                          now - record.standing.since < knobs_.relapse;
    return relapsed ? std::min<uint8_t>(record.standing.level + 1, knobs_.max_level) : 0;
}

uint8_t worker_failures::passes_needed(const worker_record &record, uint8_t level,
                                       bool all_fail) const {
    const int least =
        all_fail ? knobs_.min_passes - (record.fails_late ? 1 : 0) + level : knobs_.max_passes;
    return static_cast<uint8_t>(std::clamp<int>(least, 1, knobs_.max_passes));
}

Duration worker_failures::hold_of(uint8_t level) const {
    return level == 0 ? Duration(0) : knobs_.first_hold * (1 << (level - 1));
}

void worker_failures::readmit(uint32_t worker, worker_record &record, MonotonicTime since,
                              bool told, MonotonicTime now) {
    standing_change change;
    change.worker = worker;
    change.service = record.service;
    change.reported_by_peer = told;
    change.lasted = now - record.standing.since;
    change.level = record.standing.level;
    record.standing.state = worker_state::kReadmitted;
    record.standing.since = since;
    record.failures.clear();
    record.own_successes.clear();
    record.told.clear();
    record.raw = 0;
    record.counted = 0;
    record.error_statuses = 0;
    record.settled = {};
    record.fails_late = false;
    service_record &service = services_[record.service];
    service.ejected -= std::min<size_t>(service.ejected, 1);
    on_changed_(change);
    if (!told) {
        on_update_(worker, failure_update::kReadmitted);
    }
}

MonotonicTime worker_failures::probe_due(const worker_record &record) const {
    const worker_standing &standing = record.standing;
    const MonotonicTime first =
        standing.since + std::max(hold_of(standing.level), knobs_.first_probe);
    if (standing.probed == MonotonicTime{}) {
        return first;
    }
    Duration pause = knobs_.open_probe;
    if (standing.result_at >= standing.probed) {
        pause = standing.passed > 0 ? knobs_.next_probe : knobs_.failed_probe;
    }
    return std::max(first, standing.probed + pause);
}

bool worker_failures::may_probe(uint32_t worker, bool batch, MonotonicTime now) const {
    const worker_record *record = find(worker);
    if (record == nullptr || record->standing.state != worker_state::kEjected) {
        return false;
    }
    const MonotonicTime due = probe_due(*record) + (batch ? knobs_.batch_probe_delay : Duration(0));
    return now >= due &&
           now >= due + knobs_.probe_rank_delay * static_cast<int64_t>(probe_rank_(worker));
}

bool worker_failures::recently_readmitted(uint32_t worker, MonotonicTime now) const {
    const worker_record *record = find(worker);
    return record != nullptr && record->standing.state == worker_state::kReadmitted &&
           now - record->standing.since <= knobs_.readmission_told;
}

} // namespace chalkshed
