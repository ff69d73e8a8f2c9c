#ifndef CHALKSHED_WORKER_SPEED_SPEED_WIRE_H
#define CHALKSHED_WORKER_SPEED_SPEED_WIRE_H

/** \file
 * Conversion of speed entries between their form in memory and that in the datagrams. Heartbeats
 * and digests each have a schema of their own with the same fields. */

#include <algorithm>
#include <cmath>
#include <vector>

#include "chalkshed/worker_speed.h"

namespace chalkshed {

/** Size of an entry in a datagram. */
constexpr size_t kBytesOfSpeed = 12;

template <typename wire_entry>
std::vector<wire_entry> to_wire(const std::vector<worker_speed_entry> &speeds) {
    constexpr double kThousand = 1000.0;
    constexpr double kSixteen = 16.0;
    constexpr double kHundred = 100.0;
    const auto to_unsigned = [](double value) {
        return static_cast<uint16_t>(std::lround(std::clamp<double>(value, 0, UINT16_MAX)));
    };
    std::vector<wire_entry> entries;
    entries.reserve(speeds.size());
    for (const worker_speed_entry &speed : speeds) {
        const double log_speed =
            std::clamp<double>(speed.samples.log_speed * kThousand, INT16_MIN, INT16_MAX);
        const auto age = std::chrono::duration<double, std::milli>(speed.slowdown_age).count();
        entries.emplace_back(speed.worker, static_cast<int16_t>(std::lround(log_speed)),
                             to_unsigned(speed.samples.weight * kSixteen),
                             speed.slowdown ? to_unsigned(*speed.slowdown * kHundred) : uint16_t{0},
                             to_unsigned(age));
    }
    return entries;
}

template <typename wire_entries>
std::vector<worker_speed_entry> from_wire(const wire_entries *entries) {
    constexpr double kThousand = 1000.0;
    constexpr double kSixteen = 16.0;
    constexpr double kHundred = 100.0;
    std::vector<worker_speed_entry> speeds;
    if (entries == nullptr) {
        return speeds;
    }
    for (const auto *entry : *entries) {
        worker_speed_entry speed;
        speed.worker = entry->worker();
        speed.samples = {entry->log_speed() / kThousand, entry->weight() / kSixteen};
        if (entry->slowdown_percent() > 0) {
            speed.slowdown = entry->slowdown_percent() / kHundred;
        }
        speed.slowdown_age = std::chrono::milliseconds(entry->slowdown_ms_ago());
        speeds.push_back(speed);
    }
    return speeds;
}

} // namespace chalkshed

#endif
