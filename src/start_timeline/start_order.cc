#include "chalkshed/start_order.h"

namespace chalkshed {

Duration start_order::others_delay(size_t nodes, double draw) const {
    if (nodes <= knobs_.small_fleet) {
        return Duration(0);
    }
    const auto spread = knobs_.spread_per_node * static_cast<double>(nodes - knobs_.small_fleet);
    return std::chrono::duration_cast<Duration>(spread * draw);
}

} // namespace chalkshed
