#include "chalkshed/sound_parts.h"

#include <utility>

namespace chalkshed {

void sound_parts::note(uint64_t part, software_id software, MonotonicTime now) {
    if (newer_.size() >= knobs_.max_parts || now - newer_since_ >= knobs_.memory) {
        older_ = std::exchange(newer_, {});
        newer_since_ = now;
    }
    newer_[key_of(part, software)] = now;
}

bool sound_parts::known(uint64_t part, software_id software, MonotonicTime now) const {
    const uint64_t key = key_of(part, software);
    return recent(newer_, key, now) || recent(older_, key, now);
}

bool sound_parts::recent(const generation &parts, uint64_t key, MonotonicTime now) const {
    const auto found = parts.find(key);
    return found != parts.end() && now - found->second <= 2 * knobs_.memory;
}

} // namespace chalkshed
