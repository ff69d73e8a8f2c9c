#ifndef CHALKSHED_RECENT_RATE_H
#define CHALKSHED_RECENT_RATE_H

/** \file
 * Event rate as an exponentially weighted moving average. */

#include "src/core/time.h"

namespace chalkshed {

class recent_rate {
public:
    /** \param window Time constant of the average. */
    explicit recent_rate(Duration window) : window_(window) {}
    void add(double count, MonotonicTime now);
    double per_second(MonotonicTime now) const;

private:
    Duration window_;
    double sum_ = 0;
    MonotonicTime updated_{};
};

} // namespace chalkshed

#endif
