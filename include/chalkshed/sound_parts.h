#ifndef CHALKSHED_SOUND_PARTS_H
#define CHALKSHED_SOUND_PARTS_H

/** \file
 * Remembers for a while which parts of prompts workers have written on without a crash. When
 * workers begin to crash, a part that was sound a moment ago is a less likely cause than one that
 * never was. Performs no I/O and takes the time as a parameter. */

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "chalkshed/software_id.h"
#include "src/core/time.h"

namespace chalkshed {

struct sound_parts_knobs {
    /** A part is remembered for at least this long, and at most twice as long, ... */
    Duration memory = std::chrono::seconds(15);
    /** ... unless more parts than this are noted meanwhile. */
    size_t max_parts = 4096;
};

class sound_parts {
public:
    explicit sound_parts(const sound_parts_knobs &knobs = {}) : knobs_(knobs) {}

    /** Workers of that software have written on an answer to a request with the part. */
    void note(uint64_t part, software_id software, MonotonicTime now);
    /** Whether the part was noted for that software lately. */
    bool known(uint64_t part, software_id software, MonotonicTime now) const;

private:
    using generation = std::unordered_map<uint64_t, MonotonicTime>;
    static uint64_t key_of(uint64_t part, software_id software) {
        return part ^ static_cast<uint64_t>(software);
    }
    bool recent(const generation &parts, uint64_t key, MonotonicTime now) const;

    const sound_parts_knobs knobs_;
    generation newer_;
    generation older_;
    MonotonicTime newer_since_{};
};

} // namespace chalkshed

#endif
