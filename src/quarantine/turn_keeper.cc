#include "chalkshed/turn_keeper.h"

#include <algorithm>

namespace chalkshed {

turn_keeper::content *turn_keeper::current(uint64_t digest, MonotonicTime now) {
    if (!contents_.contains(digest)) {
        if (contents_.size() >= knobs_.max_contents) {
            drop_idle(now);
        }
        if (contents_.size() >= knobs_.max_contents) {
            return nullptr;
        }
    }
    content &known = contents_[digest];
    std::erase_if(known.turns,
                  [&](const turn &held) { return now - held.since > knobs_.turn_timeout; });
    known.last_used = now;
    return &known;
}

bool turn_keeper::ask(uint64_t digest, const std::string &node, MonotonicTime not_before,
                      MonotonicTime now, MonotonicTime asked) {
    content *known = current(digest, now);
    if (known == nullptr) {
        return false;
    }
    known->not_before = std::max(known->not_before, not_before);
    const bool others = std::any_of(known->turns.begin(), known->turns.end(),
                                    [&](const turn &held) { return held.node != node; });
    if (others || now < known->not_before) {
        return false;
    }
    known->turns = {{node, now, asked}};
    return true;
}

void turn_keeper::note_running(uint64_t digest, const std::string &node, MonotonicTime now,
                               MonotonicTime asked) {
    if (content *known = current(digest, now)) {
        std::erase_if(known->turns, [&](const turn &held) { return held.node == node; });
        known->turns.push_back({node, now, asked});
    }
}

void turn_keeper::note_finished(uint64_t digest, const std::string &node, MonotonicTime not_before,
                                MonotonicTime finished) {
    const auto found = contents_.find(digest);
    if (found == contents_.end()) {
        return;
    }
    content &known = found->second;
    known.not_before = std::max(known.not_before, not_before);
    std::erase_if(known.turns, [&](const turn &held) {
        return held.node == node && (finished == MonotonicTime{} || held.asked <= finished);
    });
}

void turn_keeper::drop_idle(MonotonicTime now) {
    std::erase_if(contents_, [&](const auto &entry) {
        return now - entry.second.last_used > knobs_.idle_timeout;
    });
}

} // namespace chalkshed
