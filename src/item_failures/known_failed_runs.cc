#include "chalkshed/known_failed_runs.h"

namespace chalkshed {

void known_failed_runs::add(const failed_run &run, MonotonicTime now) {
    expire(now);
    const auto found = index_.find(key_of(run));
    if (found != index_.end()) {
        found->second->heard = now;
        found->second->run.recorded = found->second->run.recorded || run.recorded;
        entries_.splice(entries_.end(), entries_, found->second);
        return;
    }
    if (index_.size() >= knobs_.max_runs) {
        drop_oldest();
    }
    index_[key_of(run)] = entries_.insert(entries_.end(), {run, now});
}

std::vector<failed_run> known_failed_runs::of_item(uint64_t item) const {
    std::vector<failed_run> runs;
    for (auto found = index_.lower_bound({item, 0});
         found != index_.end() && found->first.first == item; ++found) {
        runs.push_back(found->second->run);
    }
    return runs;
}

std::vector<failed_run> known_failed_runs::unrecorded() const {
    std::vector<failed_run> runs;
    for (const entry &known : entries_) {
        if (!known.run.recorded) {
            runs.push_back(known.run);
        }
    }
    return runs;
}

void known_failed_runs::expire(MonotonicTime now) {
    while (!entries_.empty() && now - entries_.front().heard > knobs_.memory) {
        drop_oldest();
    }
}

void known_failed_runs::drop_oldest() {
    index_.erase(key_of(entries_.front().run));
    entries_.pop_front();
}

} // namespace chalkshed
