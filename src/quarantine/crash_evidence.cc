#include "chalkshed/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace chalkshed {

crash_evidence::crash_evidence(const crash_knobs &knobs) : knobs_(knobs) {}

const crash_evidence::content *crash_evidence::find(uint64_t digest) const {
    const auto found = contents_.find(digest);
    return found == contents_.end() ? nullptr : &found->second;
}

size_t crash_evidence::crashes_of(const content &known) {
    return static_cast<size_t>(
        std::count_if(known.workers.begin(), known.workers.end(), &crash_evidence::counts));
}

MonotonicTime crash_evidence::newest_crash(const content &known) {
    MonotonicTime time{};
    for (const broken_worker &broken : known.workers) {
        time = std::max(time, counts(broken) ? broken.run.at : MonotonicTime{});
    }
    return time;
}

void crash_evidence::note_started(uint64_t digest, MonotonicTime now) {
    runs_under_way &runs = under_way_[digest];
    ++runs.count;
    runs.newest = now;
    const auto found = contents_.find(digest);
    if (found != contents_.end() && is_quarantined(found->second)) {
        found->second.last_probe = now;
    }
}

void crash_evidence::note_finished(uint64_t digest) {
    const auto found = under_way_.find(digest);
    if (found != under_way_.end() && --found->second.count == 0) {
        under_way_.erase(found);
    }
}

void crash_evidence::note_refused(uint64_t digest) {
    const auto found = contents_.find(digest);
    if (found != contents_.end()) {
        found->second.last_probe = {};
    }
}

bool crash_evidence::note_broken(const broken_run &run) {
    if (!contents_.contains(run.digest)) {
        evict_if_full();
    }
    content &known = contents_[run.digest];
    known.suspect = run.suspect;
    const auto same =
        std::find_if(known.workers.begin(), known.workers.end(),
                     [&](const broken_worker &broken) { return broken.run.worker == run.worker; });
    if (same != known.workers.end()) {
        return std::exchange(same->run.suspected, same->run.suspected && run.suspected) !=
               same->run.suspected;
    }
    const MonotonicTime cleared = std::max(known.cleared, proved_at(known, run.software));
    const size_t max_workers = run.suspect == crash_suspect::kPart ? knobs_.max_workers_per_part
                                                                   : knobs_.max_workers_per_content;
    if (run.at <= cleared) {
        return false;
    }
    if (known.workers.size() >= max_workers) {
        return replace_newest(known, run);
    }
    known.workers.push_back({run, worker_fate::kUnknown});
    index(run);
    return true;
}

bool crash_evidence::replace_newest(content &known, const broken_run &run) {
    const auto newest = std::max_element(
        known.workers.begin(), known.workers.end(),
        [](const broken_worker &a, const broken_worker &b) { return a.run.at < b.run.at; });
    if (run.at <= newest->run.at) {
        return false;
    }
    *newest = {run, worker_fate::kUnknown};
    index(run);
    return true;
}

void crash_evidence::index(const broken_run &run) {
    std::vector<uint64_t> &digests = lost_at_[run.worker];
    if (std::find(digests.begin(), digests.end(), run.digest) == digests.end()) {
        digests.push_back(run.digest);
    }
}

MonotonicTime crash_evidence::proved_at(const content &known, software_id software) {
    for (const software_proof &proof : known.proofs) {
        if (proof.software == software) {
            return proof.at;
        }
    }
    return {};
}

bool crash_evidence::clear_part(uint64_t digest, software_id software, MonotonicTime up_to) {
    const auto found = contents_.find(digest);
    if (found == contents_.end()) {
        return false;
    }
    content &known = found->second;
    const auto proof =
        std::find_if(known.proofs.begin(), known.proofs.end(),
                     [&](const software_proof &each) { return each.software == software; });
    const bool first = proof == known.proofs.end();
    if (first) {
        known.proofs.push_back({software, up_to});
    } else {
        proof->at = std::max(proof->at, up_to);
    }
    const size_t cleared = std::erase_if(known.workers, [&](const broken_worker &broken) {
        return broken.run.software == software && broken.run.at <= up_to;
    });
    return cleared > 0 || (first && !known.workers.empty());
}

bool crash_evidence::proved(uint64_t digest, software_id software) const {
    const content *known = find(digest);
    return known != nullptr && proved_at(*known, software) != MonotonicTime{} &&
           std::none_of(known->workers.begin(), known->workers.end(),
                        [&](const broken_worker &broken) {
                            return !survived(broken) && broken.run.software == software;
                        });
}

bool crash_evidence::is_part(uint64_t digest) const {
    const content *known = find(digest);
    return known != nullptr && known->suspect == crash_suspect::kPart;
}

bool crash_evidence::lost(const broken_run &run) const {
    const content *known = find(run.digest);
    return known != nullptr && std::any_of(known->workers.begin(), known->workers.end(),
                                           [&](const broken_worker &broken) {
                                               return broken.run.worker == run.worker;
                                           });
}

bool crash_evidence::has_evidence(uint64_t digest) const {
    const content *known = find(digest);
    return known != nullptr && !known->workers.empty();
}

std::vector<broken_run> crash_evidence::suspect_runs(uint64_t digest, MonotonicTime now) const {
    std::vector<broken_run> runs;
    if (const content *known = find(digest)) {
        for (const broken_worker &broken : known->workers) {
            if (suspect(broken, now)) {
                runs.push_back(broken.run);
                runs.back().suspected = !counts(broken);
            }
        }
    }
    return runs;
}

std::vector<uint64_t> crash_evidence::lost_at(uint32_t worker, MonotonicTime now) const {
    std::vector<uint64_t> digests;
    const auto found = lost_at_.find(worker);
    if (found == lost_at_.end()) {
        return digests;
    }
    for (const uint64_t digest : found->second) {
        const content *known = find(digest);
        const bool lost =
            known != nullptr && std::any_of(known->workers.begin(), known->workers.end(),
                                            [&](const broken_worker &broken) {
                                                return broken.run.worker == worker &&
                                                       suspect(broken, now);
                                            });
        if (lost) {
            digests.push_back(digest);
        }
    }
    return digests;
}

bool crash_evidence::lost_any(uint32_t worker, MonotonicTime after) const {
    const auto found = lost_at_.find(worker);
    return found != lost_at_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](uint64_t digest) {
               const content *known = find(digest);
               return known != nullptr && std::any_of(known->workers.begin(), known->workers.end(),
                                                      [&](const broken_worker &broken) {
                                                          return broken.run.worker == worker &&
                                                                 broken.run.at >= after;
                                                      });
           });
}

bool crash_evidence::suffices(std::vector<MonotonicTime> crash_times) const {
    std::sort(crash_times.begin(), crash_times.end());
    size_t moments = 0;
    MonotonicTime last{};
    for (const MonotonicTime time : crash_times) {
        if (moments == 0 || time - last >= knobs_.same_moment) {
            ++moments;
            last = time;
        }
    }
    return moments >= knobs_.quarantine_threshold;
}

std::vector<uint64_t> crash_evidence::parts_with_crashes() const {
    std::vector<uint64_t> digests;
    for (const uint64_t digest :
         all_with_crashes(knobs_.quarantine_threshold, crash_suspect::kPart)) {
        std::vector<MonotonicTime> times;
        for (const broken_run &run : counted(digest)) {
            times.push_back(run.at);
        }
        if (suffices(std::move(times))) {
            digests.push_back(digest);
        }
    }
    return digests;
}

void crash_evidence::update_weak(const broken_run &run) {
    const auto found = contents_.find(run.digest);
    if (found == contents_.end()) {
        return;
    }
    for (broken_worker &broken : found->second.workers) {
        if (broken.run.worker == run.worker) {
            broken.run.weak = run.weak;
        }
    }
}

bool crash_evidence::clear(uint64_t digest, MonotonicTime up_to) {
    const auto found = contents_.find(digest);
    if (found == contents_.end()) {
        return false;
    }
    content &known = found->second;
    known.cleared = std::max(known.cleared, up_to);
    return std::erase_if(known.workers, [&](const broken_worker &broken) {
               return broken.run.at <= known.cleared;
           }) > 0;
}

size_t crash_evidence::failed_probes(const content &known) const {
    std::vector<broken_run> runs;
    for (const broken_worker &broken : known.workers) {
        if (counts(broken)) {
            runs.push_back(broken.run);
        }
    }
    if (runs.size() <= knobs_.quarantine_threshold) {
        return 0;
    }
    std::sort(runs.begin(), runs.end(),
              [](const broken_run &a, const broken_run &b) { return a.at < b.at; });
    // Crashes under copies in progress and crashes that are confirmed late follow soon after the
    // threshold is reached.
    const MonotonicTime quarantined_at = runs[knobs_.quarantine_threshold - 1].at;
    return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [&](const broken_run &run) {
        return run.at - quarantined_at >= knobs_.first_probe_delay && !within_storm(run, workers_);
    }));
}

Duration crash_evidence::probe_delay(size_t failed) const {
    Duration pause = knobs_.first_probe_delay;
    for (size_t probes = 0; probes < failed && pause < knobs_.evidence_lifetime; ++probes) {
        pause *= knobs_.probe_backoff_factor;
    }
    return pause;
}

MonotonicTime crash_evidence::next_probe(uint64_t digest) const {
    const content *known = find(digest);
    if (known == nullptr) {
        return {};
    }
    // A peer's probe may be known to have failed before it counts.
    return std::max(known->last_probe, newest_possible_crash(*known)) +
           probe_delay(failed_probes(*known));
}

bool crash_evidence::suspect(const broken_worker &broken, MonotonicTime now) const {
    return counts(broken) || (broken.run.suspected && broken.fate == worker_fate::kUnknown &&
                              now - broken.run.at <= knobs_.suspicion_timeout);
}

std::vector<MonotonicTime> crash_evidence::suspect_times(const content &known,
                                                         MonotonicTime now) const {
    std::vector<MonotonicTime> times;
    for (const broken_worker &broken : known.workers) {
        if (suspect(broken, now)) {
            times.push_back(broken.run.at);
        }
    }
    return times;
}

bool crash_evidence::proves(const std::vector<MonotonicTime> &crash_times) const {
    if (crash_times.empty() || crash_times.size() < knobs_.quarantine_threshold) {
        return false;
    }
    const auto [first, last] = std::minmax_element(crash_times.begin(), crash_times.end());
    return crash_times.size() == 1 || *last - *first >= knobs_.settle_time;
}

bool crash_evidence::is_quarantined(const content &known) const {
    if (known.suspect != crash_suspect::kContent) {
        return false;
    }
    std::vector<MonotonicTime> times;
    for (const broken_worker &broken : known.workers) {
        if (counts(broken)) {
            times.push_back(broken.run.at);
        }
    }
    return proves(times) && !lost_beside_fatal_parts(known);
}

bool crash_evidence::lost_beside_fatal_parts(const content &known) const {
    if (crashes_of(known) < knobs_.quarantine_threshold) {
        return false;
    }
    return std::all_of(
        known.workers.begin(), known.workers.end(), [&](const broken_worker &broken) {
            const auto found = lost_at_.find(broken.run.worker);
            return !counts(broken) ||
                   (found != lost_at_.end() &&
                    std::any_of(found->second.begin(), found->second.end(),
                                [&](uint64_t digest) { return crashes_elsewhere(digest, known); }));
        });
}

bool crash_evidence::crashes_elsewhere(uint64_t part, const content &known) const {
    const content *fatal = find(part);
    if (fatal == nullptr || fatal->suspect != crash_suspect::kPart) {
        return false;
    }
    std::vector<MonotonicTime> elsewhere;
    for (const broken_worker &broken : fatal->workers) {
        const bool shared =
            std::any_of(known.workers.begin(), known.workers.end(), [&](const broken_worker &own) {
                return own.run.worker == broken.run.worker;
            });
        if (counts(broken) && !shared) {
            elsewhere.push_back(broken.run.at);
        }
    }
    return suffices(std::move(elsewhere));
}

bool crash_evidence::quarantined(uint64_t digest) const {
    const content *known = find(digest);
    return known != nullptr && is_quarantined(*known);
}

MonotonicTime crash_evidence::settled_at(uint64_t digest) const {
    MonotonicTime newest{};
    if (const content *known = find(digest)) {
        for (const broken_worker &broken : known->workers) {
            const bool excused = broken.fate == worker_fate::kAlive || broken.run.weak;
            newest = std::max(newest, excused ? MonotonicTime{} : broken.run.at);
        }
    }
    return newest == MonotonicTime{} ? newest : newest + knobs_.settle_time;
}

bool crash_evidence::needs_turn(uint64_t digest, MonotonicTime now) const {
    const content *known = find(digest);
    return known != nullptr && suspect_times(*known, now).size() > 1;
}

size_t crash_evidence::possible_crashes(uint64_t digest) const {
    const content *known = find(digest);
    return known == nullptr ? 0
                            : static_cast<size_t>(std::count_if(
                                  known->workers.begin(), known->workers.end(),
                                  [](const broken_worker &broken) { return !survived(broken); }));
}

Duration crash_evidence::item_pause(size_t crashes) const {
    if (crashes < knobs_.quarantine_threshold) {
        return Duration(0);
    }
    if (crashes > knobs_.many_item_crashes) {
        return knobs_.long_item_pause;
    }
    const size_t doublings = crashes - knobs_.quarantine_threshold;
    return std::min(knobs_.first_item_pause * (int64_t{1} << doublings), knobs_.max_item_pause);
}

MonotonicTime crash_evidence::newest_possible_crash(const content &known) {
    MonotonicTime newest{};
    for (const broken_worker &broken : known.workers) {
        newest = std::max(newest, survived(broken) ? MonotonicTime{} : broken.run.at);
    }
    return newest;
}

MonotonicTime crash_evidence::next_item_run(uint64_t digest) const {
    const content *known = find(digest);
    const size_t crashes = possible_crashes(digest);
    return crashes == 0 ? MonotonicTime{} : newest_possible_crash(*known) + item_pause(crashes);
}

run_permit crash_evidence::item_permit(uint64_t digest, MonotonicTime now) const {
    const content *known = find(digest);
    if (known == nullptr) {
        return run_permit::kFree;
    }
    if (now < next_item_run(digest)) {
        return run_permit::kWait;
    }
    if (suspect_times(*known, now).empty()) {
        return run_permit::kFree;
    }
    const bool waits = in_item_turn(digest, now) || now < settled_at(digest);
    return waits ? run_permit::kWait : run_permit::kExclusive;
}

bool crash_evidence::in_item_turn(uint64_t digest, MonotonicTime now) const {
    const auto found = under_way_.find(digest);
    return found != under_way_.end() && now - found->second.newest < knobs_.item_turn;
}

run_permit crash_evidence::permit(uint64_t digest, const run_claim &claim,
                                  MonotonicTime now) const {
    const content *known = find(digest);
    const std::vector<MonotonicTime> times =
        known == nullptr ? std::vector<MonotonicTime>{} : suspect_times(*known, now);
    if (times.empty()) {
        return run_permit::kFree;
    }
    if (is_quarantined(*known)) {
        if (!claim.may_probe || now < next_probe(digest)) {
            return run_permit::kQuarantined;
        }
    } else if (proves(times) && !lost_beside_fatal_parts(*known)) {
        return run_permit::kWait; // until the peers' suspicions are confirmed or expire
    }
    if (claim.lost_worker && times.size() == 1) {
        return run_permit::kExclusive;
    }
    const bool waits = under_way_.contains(digest) || now < settled_at(digest);
    return waits ? run_permit::kWait : run_permit::kExclusive;
}

size_t crash_evidence::crash_count(uint64_t digest) const {
    const content *known = find(digest);
    return known == nullptr ? 0 : crashes_of(*known);
}

Duration crash_evidence::lifetime(const broken_worker &broken) const {
    // A worker that survived may crash at any later time for other reasons.
    return survived(broken) ? knobs_.fate_known_after : knobs_.evidence_lifetime;
}

std::vector<broken_run> crash_evidence::review(const fate_lookup &fate_of, MonotonicTime now) {
    std::vector<broken_run> ended;
    for (auto &[digest, known] : contents_) {
        for (broken_worker &broken : known.workers) {
            // A crash is final; the entry of its worker may be dropped from the worker list long
            // before the evidence expires.
            if (broken.fate == worker_fate::kEnded) {
                continue;
            }
            broken.fate = fate_of(broken.run);
            if (broken.fate == worker_fate::kEnded) {
                ended.push_back(broken.run);
            }
        }
        std::erase_if(known.workers, [&](const broken_worker &broken) {
            return now - broken.run.at > lifetime(broken);
        });
    }
    std::erase_if(contents_, [&](const auto &entry) {
        // Peers may still repeat evidence that an answer has cleared.
        MonotonicTime cleared = entry.second.cleared;
        for (const software_proof &proof : entry.second.proofs) {
            cleared = std::max(cleared, proof.at);
        }
        return entry.second.workers.empty() && now - cleared > knobs_.fate_known_after;
    });
    lost_at_.clear();
    for (const auto &[digest, known] : contents_) {
        for (const broken_worker &broken : known.workers) {
            index(broken.run);
        }
    }
    return ended;
}

std::vector<broken_run> crash_evidence::counted(uint64_t digest) const {
    std::vector<broken_run> runs;
    if (const content *known = find(digest)) {
        for (const broken_worker &broken : known->workers) {
            if (counts(broken)) {
                runs.push_back(broken.run);
            }
        }
    }
    return runs;
}

std::vector<uint64_t> crash_evidence::all_with_crashes(size_t least, crash_suspect suspect) const {
    std::vector<uint64_t> digests;
    for (const auto &[digest, known] : contents_) {
        if (known.suspect == suspect && crashes_of(known) >= least) {
            digests.push_back(digest);
        }
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

std::vector<uint64_t> crash_evidence::all_quarantined() const {
    std::vector<uint64_t> digests;
    for (const auto &[digest, known] : contents_) {
        if (is_quarantined(known)) {
            digests.push_back(digest);
        }
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

// A caller that sends thousands of contents while workers crash must not displace quarantined
// contents.
void crash_evidence::evict_if_full() {
    if (contents_.size() < knobs_.max_contents) {
        return;
    }
    const auto least =
        std::min_element(contents_.begin(), contents_.end(), [](const auto &a, const auto &b) {
            const size_t crashes_a = crashes_of(a.second);
            const size_t crashes_b = crashes_of(b.second);
            return crashes_a != crashes_b ? crashes_a < crashes_b
                                          : newest_crash(a.second) < newest_crash(b.second);
        });
    contents_.erase(least);
}

} // namespace chalkshed
