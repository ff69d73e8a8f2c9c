#include "chalkshed/recent_growth.h"

#include <algorithm>

namespace chalkshed {

recent_growth::recent_growth(Duration window, Duration span)
    : step_(window / kSteps), growth_(span) {}

// The last observed value is assumed to hold until the next observation.
void recent_growth::advance(MonotonicTime now) {
    const int64_t step = now.time_since_epoch() / step_;
    if (step - current_ > static_cast<int64_t>(kSteps)) {
        least_.fill(last_);
        current_ = step;
    }
    while (current_ < step) {
        least_[static_cast<size_t>(++current_) % least_.size()] = last_;
    }
}

void recent_growth::observe(uint32_t value, MonotonicTime now) {
    advance(now);
    uint32_t &least = least_[static_cast<size_t>(current_) % least_.size()];
    least = std::min(least, value);
    last_ = value;
    growth_.observe(value - *std::min_element(least_.begin(), least_.end()), now);
}

void recent_growth::set_level(uint32_t value, MonotonicTime now) {
    advance(now);
    least_.fill(value);
    last_ = value;
}

uint32_t recent_growth::current(MonotonicTime now) {
    advance(now);
    return last_ - std::min(last_, *std::min_element(least_.begin(), least_.end()));
}

uint32_t recent_growth::value(MonotonicTime now) {
    return growth_.value(now);
}

} // namespace chalkshed
