#include "chalkshed/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace chalkshed {

crash_evidence::crash_evidence(const crash_knobs &knobs) : knobs_(knobs) {}

const crash_evidence::content *crash_evidence::find(uint64_t digest) const {
    const auto found = contents_.find(digest);
    return found == contents_.end() ? nullptr : &found->second;
}

size_t crash_evidence::ends_of(const content &known) {
    return static_cast<size_t>(
        std::count_if(known.workers.begin(), known.workers.end(), &crash_evidence::counts));
}

MonotonicTime crash_evidence::newest(const content &known) {
    MonotonicTime time{};
    for (const broken_worker &broken : known.workers) {
        time = std::max(time, counts(broken) ? broken.run.at : MonotonicTime{});
    }
    return time;
}

void crash_evidence::note_started(uint64_t digest, MonotonicTime now) {
    ++under_way_[digest];
    const auto found = contents_.find(digest);
    if (found != contents_.end() && held(found->second)) {
        found->second.tried = now;
    }
}

void crash_evidence::note_finished(uint64_t digest) {
    const auto found = under_way_.find(digest);
    if (found != under_way_.end() && --found->second == 0) {
        under_way_.erase(found);
    }
}

bool crash_evidence::note_broken(const broken_run &run) {
    if (!contents_.contains(run.digest)) {
        make_room();
    }
    content &known = contents_[run.digest];
    const auto same =
        std::find_if(known.workers.begin(), known.workers.end(),
                     [&](const broken_worker &broken) { return broken.run.worker == run.worker; });
    if (same != known.workers.end()) {
        return std::exchange(same->run.suspected, same->run.suspected && run.suspected) !=
               same->run.suspected;
    }
    if (run.at <= known.cleared || known.workers.size() >= knobs_.most_breaks) {
        return false;
    }
    known.workers.push_back({run, worker_fate::kUnknown});
    return true;
}

void crash_evidence::revise(const broken_run &run) {
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

size_t crash_evidence::failed_trials(const content &known) const {
    std::vector<MonotonicTime> times;
    for (const broken_worker &broken : known.workers) {
        if (counts(broken)) {
            times.push_back(broken.run.at);
        }
    }
    if (times.size() <= knobs_.ends_to_quarantine) {
        return 0;
    }
    std::sort(times.begin(), times.end());
    // Copies that were under way and breaks that are confirmed late come soon after the proof.
    const MonotonicTime proven = times[knobs_.ends_to_quarantine - 1];
    return static_cast<size_t>(std::count_if(times.begin(), times.end(), [&](MonotonicTime time) {
        return time - proven >= knobs_.first_trial;
    }));
}

Duration crash_evidence::trial_pause(size_t failed) const {
    Duration pause = knobs_.first_trial;
    for (size_t trials = 0; trials < failed && pause < knobs_.memory; ++trials) {
        pause *= knobs_.trial_growth;
    }
    return pause;
}

MonotonicTime crash_evidence::next_trial(uint64_t digest) const {
    const content *known = find(digest);
    if (known == nullptr) {
        return {};
    }
    return std::max(newest(*known), known->tried) + trial_pause(failed_trials(*known));
}

bool crash_evidence::suspect(const broken_worker &broken, MonotonicTime now) const {
    return counts(broken) || (broken.run.suspected && broken.fate == worker_fate::kUnknown &&
                              now - broken.run.at <= knobs_.suspicion);
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

bool crash_evidence::prove(const std::vector<MonotonicTime> &ends) const {
    if (ends.empty() || ends.size() < knobs_.ends_to_quarantine) {
        return false;
    }
    const auto [first, last] = std::minmax_element(ends.begin(), ends.end());
    return ends.size() == 1 || *last - *first >= knobs_.settle;
}

bool crash_evidence::held(const content &known) const {
    std::vector<MonotonicTime> times;
    for (const broken_worker &broken : known.workers) {
        if (counts(broken)) {
            times.push_back(broken.run.at);
        }
    }
    return prove(times);
}

bool crash_evidence::quarantined(uint64_t digest) const {
    const content *known = find(digest);
    return known != nullptr && held(*known);
}

MonotonicTime crash_evidence::settled_at(uint64_t digest) const {
    MonotonicTime newest{};
    if (const content *known = find(digest)) {
        for (const broken_worker &broken : known->workers) {
            const bool excused = broken.fate == worker_fate::kAlive || broken.run.weak;
            newest = std::max(newest, excused ? MonotonicTime{} : broken.run.at);
        }
    }
    return newest == MonotonicTime{} ? newest : newest + knobs_.settle;
}

bool crash_evidence::needs_turn(uint64_t digest, MonotonicTime now) const {
    const content *known = find(digest);
    return known != nullptr && suspect_times(*known, now).size() > 1;
}

run_permit crash_evidence::permit(uint64_t digest, const run_claim &claim,
                                  MonotonicTime now) const {
    const content *known = find(digest);
    const std::vector<MonotonicTime> times =
        known == nullptr ? std::vector<MonotonicTime>{} : suspect_times(*known, now);
    if (times.empty()) {
        return run_permit::kFree;
    }
    if (held(*known)) {
        if (!claim.tries || now < next_trial(digest)) {
            return run_permit::kQuarantined;
        }
    } else if (prove(times)) {
        return run_permit::kWait; // until the peers' suspicions are confirmed, or lapse
    }
    if (claim.lost_worker && times.size() == 1) {
        return run_permit::kAlone;
    }
    const bool waits = under_way_.contains(digest) || now < settled_at(digest);
    return waits ? run_permit::kWait : run_permit::kAlone;
}

size_t crash_evidence::ends(uint64_t digest) const {
    const content *known = find(digest);
    return known == nullptr ? 0 : ends_of(*known);
}

Duration crash_evidence::lifetime(const broken_worker &broken) const {
    // A worker that lived on then may end any time later, for other reasons.
    const bool settled = broken.fate == worker_fate::kAlive || broken.fate == worker_fate::kPlanned;
    return settled ? knobs_.settled_after : knobs_.memory;
}

std::vector<broken_run> crash_evidence::review(const judge &fate_of, MonotonicTime now) {
    std::vector<broken_run> ended;
    for (auto &[digest, known] : contents_) {
        for (broken_worker &broken : known.workers) {
            // Nothing undoes an end: its worker's entry may be forgotten long before.
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
        // Peers may repeat what an answer has disproved.
        return entry.second.workers.empty() && now - entry.second.cleared > knobs_.settled_after;
    });
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

std::vector<uint64_t> crash_evidence::all_with_ends(size_t least) const {
    std::vector<uint64_t> digests;
    for (const auto &[digest, known] : contents_) {
        if (ends_of(known) >= least) {
            digests.push_back(digest);
        }
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

std::vector<uint64_t> crash_evidence::all_quarantined() const {
    std::vector<uint64_t> digests;
    for (const auto &[digest, known] : contents_) {
        if (held(known)) {
            digests.push_back(digest);
        }
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

// A caller that sends thousands of contents while workers end must not push out what is held.
void crash_evidence::make_room() {
    if (contents_.size() < knobs_.most_contents) {
        return;
    }
    const auto least =
        std::min_element(contents_.begin(), contents_.end(), [](const auto &a, const auto &b) {
            const size_t ends_a = ends_of(a.second);
            const size_t ends_b = ends_of(b.second);
            return ends_a != ends_b ? ends_a < ends_b : newest(a.second) < newest(b.second);
        });
    contents_.erase(least);
}

} // namespace chalkshed
