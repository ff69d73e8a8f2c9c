/** \file
 * The trials of blamed parts, as request_quarantine decides on them: which requests may be one, and
 * at which software versions. */

#include <algorithm>

#include "chalkshed/request_quarantine.h"

namespace chalkshed {

std::vector<software_id> request_quarantine::crashing_software(const ServingRequest &request,
                                                               const std::string &service) const {
    std::vector<software_id> crashing;
    if (!any_evidence(request)) {
        return crashing;
    }
    const part_verdict best = blame(request, service).verdict;
    const MonotonicTime now = time_source_.monotonic_now();
    const std::optional<trial_offer> trial =
        best == part_verdict::kHeld ? earliest_trial(request, service, now) : std::nullopt;
    for (const auto &[version, workers] : workers_.workers_by_version(service)) {
        const software_id software = software_of(service, version, "");
        const bool tried_elsewhere = trial && trial->software != software;
        if (tried_elsewhere || part_blame_.blame(request, software, now).verdict > best) {
            crashing.push_back(software);
        }
    }
    return crashing;
}

size_t request_quarantine::workers_of(const std::string &service) const {
    size_t sum = 0;
    for (const auto &[version, workers] : workers_.workers_by_version(service)) {
        sum += workers;
    }
    return sum;
}

std::optional<request_quarantine::trial_offer>
request_quarantine::earliest_trial(const ServingRequest &request, const std::string &service,
                                   MonotonicTime now) const {
    const part_verdict best = blame(request, service).verdict;
    const size_t all_workers = workers_of(service);
    std::optional<trial_offer> earliest;
    for (const auto &[version, workers] : workers_.workers_by_version(service)) {
        trial_offer offer{{}, software_of(service, version, ""), {}};
        if (workers == 0 || part_blame_.blame(request, offer.software, now).verdict != best) {
            continue;
        }
        bool tried = true;
        for (const uint64_t part : part_blame_.blamed_parts(request, offer.software, now)) {
            const std::optional<MonotonicTime> due = trial_schedule_.next_trial(
                part, {request.digest, request.owed}, offer.software, all_workers, now);
            tried = tried && due;
            offer.due = std::max(offer.due, due.value_or(MonotonicTime{}));
            offer.parts.push_back(part);
        }
        if (tried && !offer.parts.empty() && (!earliest || offer.due < earliest->due)) {
            earliest = std::move(offer);
        }
    }
    return earliest;
}

std::optional<MonotonicTime> request_quarantine::next_trial(uint64_t part) const {
    const MonotonicTime now = time_source_.monotonic_now();
    std::optional<MonotonicTime> earliest;
    for (const broken_run &run : evidence_.suspect_runs(part, now)) {
        const std::optional<MonotonicTime> due =
            trial_schedule_.next_trial(part, {}, run.software, workers_.workers().size(), now);
        if (due && (!earliest || *due < *earliest)) {
            earliest = due;
        }
    }
    return earliest;
}

bool request_quarantine::may_be_trial(const ServingRequest &request, const std::string &service,
                                      MonotonicTime now) const {
    const std::optional<trial_offer> offer = earliest_trial(request, service, now);
    return offer && now >= offer->due && trials_.open(offer->parts);
}

run_permit request_quarantine::claim_trial(const ServingRequest &request,
                                           const std::string &service, const trial_claim &claim,
                                           MonotonicTime now) {
    const std::optional<trial_offer> offer = earliest_trial(request, service, now);
    if (!offer || now < offer->due || !trials_.open(offer->parts)) {
        return claim.otherwise;
    }
    if (claim.of_content == run_permit::kWait) {
        return run_permit::kWait;
    }
    if (trials_.take(offer->parts)) {
        return take_turn(request.digest, run_permit::kExclusive, now);
    }
    retry_claims();
    return run_permit::kWait;
}

// While the answer of a trial goes on, clear_proved_parts decides.
void request_quarantine::finish_trials(const std::vector<uint64_t> &parts) {
    for (const uint64_t part : parts) {
        const bool answered =
            std::any_of(begun_answers_.begin(), begun_answers_.end(), [&](const auto &begun) {
                return std::find(begun.parts.begin(), begun.parts.end(), part) != begun.parts.end();
            });
        if (!answered) {
            trials_.note_finished(part, time_source_.monotonic_now());
        }
    }
}

bool request_quarantine::outlived_parts(const lost_run &run) const {
    return run.begun && time_source_.monotonic_now() - *run.begun >= knobs_.evidence.crash_time;
}

} // namespace chalkshed
