#ifndef CHALKSHED_TESTS_SOAK_FLEET_LAG_METER_H
#define CHALKSHED_TESTS_SOAK_FLEET_LAG_METER_H

/** \file
 * How late the event loop of a process runs. What a loaded rig sees late must not be put down to
 * the nodes, so that each process of the rig measures its own loop.
 */

#include <algorithm>
#include <functional>

#include "src/core/dispatcher.h"
#include "src/core/time.h"

namespace chalkshed::soak {

class lag_meter {
public:
    /** \param tell Hears how late each tick came. */
    lag_meter(Dispatcher &dispatcher, TimeSource &time_source, std::function<void(Duration)> tell)
        : time_source_(time_source), tell_(std::move(tell)),
          timer_(dispatcher.create_timer([this] { tick(); })) {
        arm();
    }

private:
    static constexpr Duration kInterval = std::chrono::milliseconds(20);

    void arm() {
        due_ = time_source_.monotonic_now() + kInterval;
        timer_->enable(kInterval);
    }
    void tick() {
        const Duration late = time_source_.monotonic_now() - due_;
        tell_(std::max(late, Duration(0)));
        arm();
    }

    TimeSource &time_source_;
    std::function<void(Duration)> tell_;
    MonotonicTime due_{};
    TimerPtr timer_;
};

} // namespace chalkshed::soak

#endif
