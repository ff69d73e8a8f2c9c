#include "chalkshed/batch_room.h"

#include <algorithm>

namespace chalkshed {

batch_room::batch_room(MonotonicTime started, const batch_room_knobs &knobs)
    : knobs_(knobs), started_(started), online_growth_(knobs.reaction, knobs.memory) {}

void batch_room::observe_online(uint32_t in_flight, MonotonicTime now) {
    if (now - started_ < knobs_.initial_sync) {
        online_growth_.set_level(in_flight, now);
    } else {
        online_growth_.observe(in_flight, now);
    }
}

double batch_room::headroom(const service_load &load, MonotonicTime now) {
    double wanted = online_growth_.value(now);
    if (now - started_ < knobs_.memory) {
        wanted = std::max(wanted, knobs_.initial_share * load.slots);
    }
    return std::clamp(wanted, knobs_.min_share * load.slots, knobs_.max_share * load.slots);
}

double batch_room::expected_growth(MonotonicTime now) {
    return knobs_.growth_lookahead * online_growth_.current(now);
}

double batch_room::headroom_multiple(batch_urgency urgency) const {
    switch (urgency) {
    case batch_urgency::kLate:
        return knobs_.start_late;
    case batch_urgency::kNormal:
        return knobs_.start;
    case batch_urgency::kUrgent:
        return knobs_.start_urgent;
    }
    return knobs_.start;
}

double batch_room::room(const service_load &load, batch_urgency urgency, MonotonicTime now) {
    return load.free - (headroom_multiple(urgency) * headroom(load, now) + expected_growth(now));
}

double batch_room::runs_to_stop(const service_load &load, MonotonicTime now) {
    const double wanted = std::min(knobs_.stop * headroom(load, now) + expected_growth(now),
                                   knobs_.max_share * load.slots);
    if (load.own_batch == 0 || load.free >= wanted) {
        return 0;
    }
    return (wanted - load.free) * load.own_batch / std::max(load.batch, load.own_batch);
}

} // namespace chalkshed
