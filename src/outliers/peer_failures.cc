/** \file
 * The part of worker_failures that takes in the reports of peers and forgets expired evidence. */

#include <algorithm>

#include "chalkshed/worker_failures.h"

namespace chalkshed {

void worker_failures::merge(const failure_report &report, MonotonicTime now) {
    if (report.sender == own_) {
        return;
    }
    sender_record &sender = senders_[report.sender];
    sender.successes = 0;
    for (const service_successes &service : report.services) {
        services_[service.service].told[report.sender] = {service.successes, now, {}};
        sender.successes += service.successes;
    }
    for (const failed_answer &failed : report.failures) {
        note_sender(report.sender, failed.worker, failed.at);
    }
    if (!trusted(report.sender, now)) {
        return;
    }
    for (const worker_standing &told : report.workers) {
        if (const std::optional<worker_place> place = place_of_(told.worker)) {
            record_of(told.worker, place->service);
            merge_standing(told, report, now);
        }
    }
    for (const failed_answer &failed : report.failures) {
        const std::optional<worker_place> place = place_of_(failed.worker);
        if (!place || failed.at < record_of(failed.worker, place->service).standing.since) {
            continue;
        }
        add_failure(failed, place->service, report.sender, now);
        judge(failed.worker, workers_[failed.worker], now);
    }
    forget_expired(now);
}

void worker_failures::merge_standing(const worker_standing &told, const failure_report &report,
                                     MonotonicTime now) {
    worker_record &record = workers_[told.worker];
    if (told.successes > 0 && told.state == record.standing.state) {
        record.told[report.sender] = {told.successes, now, told.succeeded};
    }
    worker_standing &own = record.standing;
    // An ejection that a slow peer reports late must not undo a newer readmission.
    constexpr Duration kMaxLag = std::chrono::milliseconds(300);
    if (own.state != worker_state::kEjected && told.state == worker_state::kEjected &&
        told.since > own.since + kMaxLag && room_to_eject(record.service, told.worker)) {
        standing_change why;
        why.reported_by_peer = true;
        why.failures = record.counted;
        why.successes = successes_of(record, now);
        eject(told.worker, record, told.since, told.level,
              std::clamp<uint8_t>(told.needed, 1, knobs_.max_passes), why);
    }
    if (own.state != worker_state::kEjected) {
        return;
    }
    if (told.state == worker_state::kReadmitted && told.since > own.since) {
        own.level = std::max(own.level, told.level);
        readmit(told.worker, record, told.since, true, now);
        return;
    }
    if (told.state != worker_state::kEjected) {
        return;
    }
    own.level = std::max(own.level, told.level);
    own.needed = std::max(own.needed, std::min(told.needed, knobs_.max_passes));
    own.probed = std::max(own.probed, told.probed);
    if (told.result_at > own.result_at) {
        own.result_at = told.result_at;
        own.passed = told.passed;
    }
}

// Without this, a fault that begins at all workers at once would eject the first ones that show it.
void worker_failures::review_broken_services(MonotonicTime now) {
    for (auto &[name, service] : services_) {
        size_t failing = 0;
        std::vector<uint32_t> ejected;
        for (const uint32_t worker : service.suspects) {
            const worker_record *record = find(worker);
            if (record == nullptr) {
                continue;
            }
            if (record->standing.state == worker_state::kEjected) {
                ejected.push_back(worker);
            } else if (looks_bad(*record, now)) {
                ++failing;
            }
        }
        const std::optional<worker_place> place =
            ejected.empty() ? std::nullopt : place_of_(ejected.front());
        if (!place || static_cast<double>(failing + ejected.size()) <=
                          knobs_.broken_service_share * static_cast<double>(place->workers)) {
            continue;
        }
        for (const uint32_t worker : ejected) {
            worker_record &record = workers_[worker];
            readmit(worker, record, now, false, now);
            record.standing.level = 0;
        }
    }
}

void worker_failures::review(MonotonicTime now) {
    const std::set<uint32_t> suspects = suspects_;
    for (const uint32_t worker : suspects) {
        const auto found = workers_.find(worker);
        if (found == workers_.end()) {
            suspects_.erase(worker);
            continue;
        }
        worker_record &record = found->second;
        const bool gone = !place_of_(worker);
        if (record.standing.state == worker_state::kEjected && !gone) {
            continue;
        }
        evaluate(worker, record, now);
        judge(worker, record, now);
        const bool ejected = record.standing.state == worker_state::kEjected;
        if (gone || (record.raw == 0 && !ejected && !recently_readmitted(worker, now))) {
            service_record &service = services_[record.service];
            service.ejected -= ejected ? 1 : 0;
            service.suspects.erase(worker);
            suspects_.erase(worker);
            record.failures.clear();
            if (gone) {
                workers_.erase(found);
            }
        }
    }
    review_broken_services(now);
    forget_expired(now);
}

// Amortized: all records are searched once in a window.
void worker_failures::forget_expired(MonotonicTime now) {
    if (now - swept_ < knobs_.window) {
        return;
    }
    swept_ = now;
    const auto expired = [&](const auto &entry) { return now - entry.second.at > knobs_.window; };
    const auto expired_time = [&](const auto &entry) { return now - entry.second > knobs_.window; };
    for (auto &[worker, record] : workers_) {
        prune(record.own_successes, now);
        std::erase_if(record.told, expired);
    }
    std::erase_if(workers_, [&](const auto &entry) {
        const worker_record &record = entry.second;
        const bool relapsing = now - record.standing.since < knobs_.relapse;
        return record.own_successes.empty() && !relapsing && !suspects_.contains(entry.first);
    });
    for (auto &[name, service] : services_) {
        prune(service.own_successes, now);
        std::erase_if(service.told, expired);
    }
    for (auto &[sender, record] : senders_) {
        std::erase_if(record.failing, expired_time);
    }
    std::erase_if(senders_, [](const auto &entry) { return entry.second.failing.empty(); });
    std::erase_if(contents_, [&](const auto &entry) {
        return now - entry.second.newest > knobs_.content_memory;
    });
}

} // namespace chalkshed
