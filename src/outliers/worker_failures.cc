#include "chalkshed/worker_failures.h"

#include <algorithm>

namespace chalkshed {
namespace {

/** The connection was lost, as it is for all requests of a worker that crashes. */
bool connection_lost(answer_fault fault) {
    return fault == answer_fault::kReset || fault == answer_fault::kTruncated;
}

} // namespace

worker_failures::worker_failures(const failure_knobs &knobs, uint64_t own, place_lookup place_of)
    : knobs_(knobs), own_(own), place_of_(std::move(place_of)) {}

worker_failures::worker_record &worker_failures::record_of(uint32_t worker, uint64_t service) {
    worker_record &record = workers_[worker];
    record.standing.worker = worker;
    record.service = service;
    return record;
}

const worker_failures::worker_record *worker_failures::find(uint32_t worker) const {
    const auto found = workers_.find(worker);
    return found == workers_.end() ? nullptr : &found->second;
}

void worker_failures::note(const worker_answer &answer, MonotonicTime now) {
    worker_record &record = record_of(answer.worker, answer.service);
    service_record &service = services_[answer.service];
    const bool failed = answer.fault != answer_fault::kNone;
    if (!failed) {
        service.own_successes.push_back(now);
        prune(service.own_successes, now);
    }
    // Requests sent before the last ejection or readmission say nothing about the time since.
    if (answer.sent < record.standing.since) {
        return;
    }
    if (record.standing.state == worker_state::kEjected) {
        note_probe_result(answer, record, now);
        return;
    }
    if (!failed) {
        record.own_successes.push_back(now);
        prune(record.own_successes, now);
        note_success(answer, record, now);
        forget_expired(now);
        return;
    }
    note_sender(own_, answer.worker, now);
    add_failure({answer.content, answer.worker, now, answer.fault}, answer.service, own_, now);
    on_update_(answer.worker, failure_update::kFailed);
    judge(answer.worker, record, now);
    forget_expired(now);
}

void worker_failures::note_success(const worker_answer &answer, worker_record &record,
                                   MonotonicTime now) {
    const bool newer = answer.sent > record.standing.succeeded;
    record.standing.succeeded = std::max(record.standing.succeeded, answer.sent);
    if (newer && under_review(answer.worker, now)) {
        on_update_(answer.worker, failure_update::kSuccesses);
    }
}

void worker_failures::note_begun(const worker_answer &answer, MonotonicTime now) {
    const auto found = workers_.find(answer.worker);
    if (found == workers_.end()) {
        return;
    }
    worker_record &record = found->second;
    if (answer.sent < record.standing.since || record.fails_late) {
        return;
    }
    if (record.standing.state == worker_state::kEjected) {
        pass_probe(answer.worker, record, answer.content, now);
    } else {
        note_success(answer, record, now);
    }
}

void worker_failures::note_sender(uint64_t sender, uint32_t worker, MonotonicTime at) {
    MonotonicTime &newest = senders_[sender].failing[worker];
    newest = std::max(newest, at);
}

bool worker_failures::trusted(uint64_t sender, MonotonicTime now) const {
    const auto found = senders_.find(sender);
    if (found == senders_.end() || found->second.failing.size() <= knobs_.min_failing_workers) {
        return true;
    }
    const auto failing = static_cast<size_t>(
        std::count_if(found->second.failing.begin(), found->second.failing.end(),
                      [&](const auto &entry) { return now - entry.second <= knobs_.window; }));
    size_t successes = found->second.successes;
    if (sender == own_) {
        for (const auto &[name, service] : services_) {
            successes += sum(service.own_successes, {}, now);
        }
    }
    return failing <= std::max(knobs_.min_failing_workers, successes);
}

void worker_failures::add_failure(const failed_answer &failed, uint64_t service, uint64_t sender,
                                  MonotonicTime now) {
    worker_record &record = record_of(failed.worker, service);
    const auto known =
        std::find_if(record.failures.begin(), record.failures.end(),
                     [&](const failure &entry) { return entry.answer.content == failed.content; });
    if (known != record.failures.end()) {
        known->answer.at = std::max(known->answer.at, failed.at);
        return; // the other counts are unchanged
    }
    if (record.failures.size() >= knobs_.max_failures_per_worker) {
        record.failures.erase(record.failures.begin());
    }
    record.failures.push_back({failed, sender});
    record.fails_late = record.fails_late || failed.fault == answer_fault::kTruncated;
    suspects_.insert(failed.worker);
    services_[service].suspects.insert(failed.worker);
    remember_content(failed, now);
    evaluate(failed.worker, record, now);
    evaluate_sharing(failed.content, now);
    if (record.raw == 2) {
        record.settled = now + knobs_.settle;
        if (!record.own_successes.empty()) {
            on_update_(failed.worker, failure_update::kSuccesses);
        }
    }
}

void worker_failures::remember_content(const failed_answer &failed, MonotonicTime now) {
    if (contents_.size() >= knobs_.max_contents) {
        std::erase_if(contents_,
                      [&](const auto &entry) { return now - entry.second.newest > knobs_.window; });
    }
    content_record &content = contents_[failed.content];
    content.newest = std::max(content.newest, failed.at);
    constexpr size_t kMaxWorkers = 16;
    const auto known =
        std::find_if(content.workers.begin(), content.workers.end(),
                     [&](const auto &entry) { return entry.first == failed.worker; });
    if (known != content.workers.end()) {
        known->second = std::max(known->second, failed.at);
    } else if (content.workers.size() < kMaxWorkers) {
        content.workers.emplace_back(failed.worker, failed.at);
    }
}

// A worker that fails whatever it gets does not show that a content is at fault.
bool worker_failures::failed_elsewhere(uint64_t content, uint32_t worker, MonotonicTime now) const {
    const auto found = contents_.find(content);
    if (found == contents_.end()) {
        return false;
    }
    const auto &workers = found->second.workers;
    return std::any_of(workers.begin(), workers.end(), [&](const auto &entry) {
        const worker_record *other = entry.first == worker ? nullptr : find(entry.first);
        return other != nullptr && now - entry.second <= knobs_.content_memory &&
               entry.second > other->standing.since &&
               other->standing.state != worker_state::kEjected && !looks_bad(*other, now);
    });
}

void worker_failures::evaluate(uint32_t worker, worker_record &record, MonotonicTime now) {
    std::vector<MonotonicTime> lost;
    record.raw = 0;
    record.counted = 0;
    record.error_statuses = 0;
    record.oldest = now;
    record.newest = {};
    record.newest_status = {};
    for (const failure &entry : record.failures) {
        const failed_answer &failed = entry.answer;
        if (now - failed.at > knobs_.window || failed.at < record.standing.since ||
            !trusted(entry.sender, now)) {
            continue;
        }
        const bool same_cause = connection_lost(failed.fault) &&
                                std::any_of(lost.begin(), lost.end(), [&](MonotonicTime other) {
                                    return std::chrono::abs(other - failed.at) <= knobs_.same_cause;
                                });
        if (connection_lost(failed.fault)) {
            lost.push_back(failed.at);
        }
        if (same_cause) {
            continue;
        }
        ++record.raw;
        if (!failed_elsewhere(failed.content, worker, now)) {
            ++record.counted;
            record.oldest = std::min(record.oldest, failed.at);
            record.newest = std::max(record.newest, failed.at);
            if (failed.fault == answer_fault::kStatus) {
                ++record.error_statuses;
                record.newest_status = std::max(record.newest_status, failed.at);
            }
        }
    }
}

// A second worker at which a content failed clears the first one.
void worker_failures::evaluate_sharing(uint64_t content, MonotonicTime now) {
    const auto found = contents_.find(content);
    if (found == contents_.end() || found->second.workers.size() < 2) {
        return;
    }
    for (const auto &[worker, at] : found->second.workers) {
        const auto known = workers_.find(worker);
        if (known != workers_.end()) {
            evaluate(worker, known->second, now);
        }
    }
}

void worker_failures::prune(std::deque<MonotonicTime> &times, MonotonicTime now) const {
    while (!times.empty() && now - times.front() > knobs_.window) {
        times.pop_front();
    }
}

size_t worker_failures::sum(const std::deque<MonotonicTime> &own,
                            const std::map<uint64_t, reported_count> &told,
                            MonotonicTime now) const {
    const auto recent = [&](MonotonicTime at) { return now - at <= knobs_.window; };
    auto total = static_cast<double>(std::count_if(own.begin(), own.end(), recent));
    for (const auto &[sender, count] : told) {
        const double age = std::chrono::duration<double>(now - count.at) / knobs_.window;
        total += count.successes * std::max(1.0 - age, 0.0);
    }
    return static_cast<size_t>(total);
}

size_t worker_failures::successes_of(const worker_record &record, MonotonicTime now) const {
    return sum(record.own_successes, record.told, now);
}

double worker_failures::rate_of(const worker_record &record, size_t failures,
                                MonotonicTime now) const {
    if (failures == 0) {
        return 0;
    }
    return static_cast<double>(failures) /
           static_cast<double>(failures + successes_of(record, now));
}

bool worker_failures::looks_bad(const worker_record &record, MonotonicTime now) const {
    return record.raw >= knobs_.min_contents && rate_of(record, record.raw, now) >= knobs_.min_rate;
}

// Workers that look bad are left out: a few of them can take most of the requests.
double worker_failures::rest_rate(uint32_t worker, const service_record &service,
                                  MonotonicTime now) const {
    size_t failures = 0;
    for (const uint32_t other : service.suspects) {
        const worker_record *record = other == worker ? nullptr : find(other);
        if (record != nullptr && record->standing.state != worker_state::kEjected &&
            !looks_bad(*record, now)) {
            failures += record->counted;
        }
    }
    const size_t successes = sum(service.own_successes, service.told, now);
    return failures == 0
               ? 0
               : static_cast<double>(failures) / static_cast<double>(failures + successes);
}

bool worker_failures::fails_everything(uint32_t worker, const worker_record &record, size_t workers,
                                       MonotonicTime now) const {
    if (now - record.oldest < knobs_.alone_for) {
        return false;
    }
    MonotonicTime succeeded = record.standing.succeeded;
    for (const auto &[sender, count] : record.told) {
        succeeded = std::max(succeeded, count.succeeded);
    }
    if (succeeded > record.oldest) {
        return false;
    }
    const auto service = services_.find(record.service);
    const auto failing =
        service == services_.end()
            ? 0
            : std::count_if(service->second.suspects.begin(), service->second.suspects.end(),
                            [&](uint32_t other) {
                                const worker_record *known = find(other);
                                return other != worker && known != nullptr && known->counted > 0;
                            });
    return static_cast<double>(failing) <= knobs_.max_other_failing * static_cast<double>(workers);
}

bool worker_failures::service_broken(const service_record &service, size_t workers,
                                     MonotonicTime now) const {
    const auto bad =
        std::count_if(service.suspects.begin(), service.suspects.end(), [&](uint32_t worker) {
            const worker_record *record = find(worker);
            return record != nullptr &&
                   (record->standing.state == worker_state::kEjected || looks_bad(*record, now));
        });
    return static_cast<double>(bad) > knobs_.broken_service_share * static_cast<double>(workers);
}

bool worker_failures::room_to_eject(uint64_t service, uint32_t worker) const {
    const std::optional<worker_place> place = place_of_(worker);
    const auto found = services_.find(service);
    const size_t ejected = found == services_.end() ? 0 : found->second.ejected;
    return place && static_cast<double>(ejected + 1) <=
                        knobs_.max_ejected_share * static_cast<double>(place->workers);
}

void worker_failures::judge(uint32_t worker, worker_record &record, MonotonicTime now) {
    if (record.standing.state == worker_state::kEjected || record.counted < knobs_.min_contents ||
        now < record.settled) {
        return;
    }
    evaluate(worker, record, now); // some failures may have expired
    const service_record &service = services_[record.service];
    const std::optional<worker_place> place = place_of_(worker);
    if (record.counted < knobs_.min_contents) {
        return;
    }
    const bool all_fail = place && fails_everything(worker, record, place->workers, now);
    const double rate = all_fail ? 1.0 : rate_of(record, record.counted, now);
    if (rate < knobs_.min_rate || !place || service_broken(service, place->workers, now) ||
        !room_to_eject(record.service, worker)) {
        return;
    }
    const double rest = rest_rate(worker, service, now);
    if (rate < 2 * rest + knobs_.rate_margin) {
        return;
    }
    standing_change why;
    why.failures = record.counted;
    why.successes = successes_of(record, now);
    why.rest_rate = rest;
    const uint8_t level = next_level(record, now);
    eject(worker, record, now, level, passes_needed(record, level, all_fail), why);
    on_update_(worker, failure_update::kEjected);
}

void worker_failures::eject(uint32_t worker, worker_record &record, MonotonicTime since,
                            uint8_t level, uint8_t needed, const standing_change &why) {
    record.standing = {};
    record.standing.worker = worker;
    record.standing.state = worker_state::kEjected;
    record.standing.since = since;
    record.standing.level = level;
    record.standing.needed = needed;
    record.probe_failed = {};
    record.passed_content = 0;
    ++services_[record.service].ejected;
    services_[record.service].suspects.insert(worker);
    suspects_.insert(worker);
    standing_change change = why;
    change.worker = worker;
    change.service = record.service;
    change.ejected = true;
    change.level = level;
    on_changed_(change);
}

bool worker_failures::ejected(uint32_t worker, MonotonicTime) const {
    const worker_record *record = suspects_.contains(worker) ? find(worker) : nullptr;
    return record != nullptr && record->standing.state == worker_state::kEjected;
}

double worker_failures::cost(uint32_t worker, MonotonicTime now) const {
    const worker_record *record = suspects_.contains(worker) ? find(worker) : nullptr;
    if (record == nullptr || record->error_statuses == 0 ||
        now - record->newest_status > knobs_.cost_lifetime) {
        return 0;
    }
    constexpr size_t kMaxDoublings = 8;
    const auto doublings = std::min(record->error_statuses - 1, kMaxDoublings);
    return std::min(knobs_.cost_milliseconds * static_cast<double>(1U << doublings),
                    knobs_.max_cost_milliseconds);
}

bool worker_failures::pauses_batch(uint32_t worker, MonotonicTime now) const {
    const worker_record *record = suspects_.contains(worker) ? find(worker) : nullptr;
    return record != nullptr && record->error_statuses >= 2 &&
           now - record->newest_status <= knobs_.batch_pause;
}

bool worker_failures::under_review(uint32_t worker, MonotonicTime now) const {
    const worker_record *record = find(worker);
    return record != nullptr && record->raw >= 2 && now - record->newest <= knobs_.window;
}

size_t worker_failures::ejected_count(uint64_t service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.ejected;
}

bool worker_failures::add_to(failure_report &report, uint32_t worker, MonotonicTime now) const {
    const worker_record *record = find(worker);
    if (record == nullptr || !trusted(own_, now)) {
        return false;
    }
    const size_t before = report.failures.size();
    for (auto entry = record->failures.rbegin(); entry != record->failures.rend(); ++entry) {
        if (entry->sender == own_ && now - entry->answer.at <= knobs_.window &&
            report.failures.size() < kMaxFailureEntries) {
            report.failures.push_back(entry->answer);
        }
    }
    worker_standing standing = record->standing;
    standing.successes =
        static_cast<uint16_t>(std::min<size_t>(sum(record->own_successes, {}, now), UINT16_MAX));
    const bool useful = report.failures.size() > before || standing.successes > 0 ||
                        standing.state != worker_state::kNormal;
    if (!useful) {
        return false;
    }
    report.workers.push_back(standing);
    const bool listed =
        std::any_of(report.services.begin(), report.services.end(),
                    [&](const service_successes &own) { return own.service == record->service; });
    const auto service = services_.find(record->service);
    if (!listed && service != services_.end() && report.services.size() < kMaxServiceEntries) {
        report.services.push_back(
            {record->service, static_cast<uint32_t>(sum(service->second.own_successes, {}, now))});
    }
    return true;
}

} // namespace chalkshed
