#ifndef CHALKSHED_TESTS_SOAK_FLEET_LAG_METER_H
#define CHALKSHED_TESTS_SOAK_FLEET_LAG_METER_H

/** \file
 * Measures how late the event loop of a process runs. Delays of an overloaded harness must not be
 * attributed to the nodes, so each harness process measures its own loop.
 */

#include <algorithm>
#include <functional>

#include "src/core/dispatcher.h"
#include "src/core/time.h"

namespace chalkshed::soak {

class lag_meter {
public:
    /** \param on_sample Receives the lateness of each tick. */
    lag_meter(Dispatcher &dispatcher, TimeSource &time_source,
              std::function<void(Duration)> on_sample)
        : time_source_(time_source), on_sample_(std::move(on_sample)),
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
        on_sample_(std::max(late, Duration(0)));
        arm();
    }

    TimeSource &time_source_;
    std::function<void(Duration)> on_sample_;
    MonotonicTime due_{};
    TimerPtr timer_;
};

} // namespace chalkshed::soak

#endif
