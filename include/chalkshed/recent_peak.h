#ifndef CHALKSHED_RECENT_PEAK_H
#define CHALKSHED_RECENT_PEAK_H

/** \file
 * The maximum of a value over a sliding time window.
 */

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

class recent_peak {
public:
    /** \param span The length of the window, with a resolution of a sixteenth. */
    explicit recent_peak(Duration span) : step_(span / kSteps) {}

    void observe(uint32_t value, MonotonicTime now) {
        advance(now);
        uint32_t &peak = peaks_[static_cast<size_t>(current_) % kSteps];
        peak = std::max(peak, value);
    }

    /** The maximum over the window, which expires even without further observations. */
    uint32_t value(MonotonicTime now) {
        advance(now);
        return *std::max_element(peaks_.begin(), peaks_.end());
    }

private:
    void advance(MonotonicTime now) {
        const int64_t step = now.time_since_epoch() / step_;
        if (step - current_ >= static_cast<int64_t>(kSteps)) {
            peaks_.fill(0);
            current_ = step;
        }
        while (current_ < step) {
            peaks_[static_cast<size_t>(++current_) % kSteps] = 0;
        }
    }

    static constexpr size_t kSteps = 16;
    Duration step_;
    int64_t current_ = 0;
    std::array<uint32_t, kSteps> peaks_{};
};

} // namespace chalkshed

#endif
