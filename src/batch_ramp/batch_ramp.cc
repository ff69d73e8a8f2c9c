#include "chalkshed/batch_ramp.h"

#include <algorithm>

namespace chalkshed {

void batch_ramp::set_sharers(size_t sharers, Duration view_lag, double draw) {
    if (sharers_ <= 1) {
        allowed_ = draw;
    }
    sharers_ = sharers;
    view_lag_ = std::max(view_lag, Duration(std::chrono::milliseconds(1)));
}

bool batch_ramp::may_start(double room, MonotonicTime now) {
    if (!active(now)) {
        return true;
    }
    const double own_share = knobs_.share * room / static_cast<double>(sharers_);
    if (updated_ != MonotonicTime{}) {
        const double lags = std::chrono::duration<double>(now - updated_) /
                            std::chrono::duration<double>(view_lag_);
        allowed_ = std::min(allowed_ + std::max(own_share, 0.0) * lags,
                            std::clamp(own_share, 1.0, knobs_.most_at_once));
    }
    updated_ = now;
    return allowed_ >= 1.0;
}

} // namespace chalkshed
