#include "chalkshed/recent_rate.h"

#include <cmath>

namespace chalkshed {
namespace {

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void recent_rate::add(double count, MonotonicTime now) {
    sum_ = per_second(now) * seconds_of(window_) + count;
    updated_ = now;
}

double recent_rate::per_second(MonotonicTime now) const {
    const double window = seconds_of(window_);
    return sum_ / window * std::exp(-seconds_of(now - updated_) / window);
}

} // namespace chalkshed
