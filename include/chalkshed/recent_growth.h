#ifndef CHALKSHED_RECENT_GROWTH_H
#define CHALKSHED_RECENT_GROWTH_H

/** \file
 * The largest growth of a quantity within a short window, over the last seconds. It measures the
 * onset of bursts, independent of the level that they reach.
 */

#include <array>
#include <cstddef>
#include <cstdint>

#include "chalkshed/recent_peak.h"
#include "src/core/time.h"

namespace chalkshed {

class recent_growth {
public:
    /** \param window The window in which growth is measured, with a resolution of a sixth.
     * \param span How long the largest growth is remembered. */
    recent_growth(Duration window, Duration span);

    void observe(uint32_t value, MonotonicTime now);
    /** Sets a new level without counting it as growth. */
    void set_level(uint32_t value, MonotonicTime now);
    /** The largest growth over the span. */
    uint32_t value(MonotonicTime now);
    /** The growth within the window that ends now. */
    uint32_t current(MonotonicTime now);

private:
    void advance(MonotonicTime now);

    static constexpr size_t kSteps = 6;
    Duration step_;
    /** The minimum in each step of the window, including the current step. */
    std::array<uint32_t, kSteps + 1> least_{};
    int64_t current_ = 0;
    uint32_t last_ = 0;
    recent_peak growth_;
};

} // namespace chalkshed

#endif
