#include "chalkshed/speed_sums.h"

#include <algorithm>

namespace chalkshed {
namespace {

// Number of workers without updates that are repeated in turn each time.
constexpr size_t kRepeated = 2;

} // namespace

speed_sums::worker_sums &speed_sums::sums_of(uint32_t worker) {
    const auto [found, is_new] = sums_.try_emplace(worker);
    if (is_new) {
        known_.push_back(worker);
    }
    return found->second;
}

void speed_sums::note_update(send_order &order, uint32_t worker) {
    if (!std::exchange(order.listed[worker], true)) {
        order.updates.push_back(worker);
    }
}

void speed_sums::note_slowdown(worker_sums &sums, const worker_speed_entry &told, MonotonicTime now,
                               bool from_zone) {
    const MonotonicTime reported = now - told.slowdown_age;
    if (told.slowdown && reported >= sums.slowdown_reported) {
        sums.slowdown = *told.slowdown;
        sums.slowdown_reported = reported;
        sums.slowdown_from_zone = from_zone;
    }
}

void speed_sums::add(const std::vector<worker_speed_entry> &told, MonotonicTime now) {
    for (const worker_speed_entry &entry : told) {
        worker_sums &sums = sums_of(entry.worker);
        sums.zone.add(entry.samples, now, knobs_.half_life);
        note_slowdown(sums, entry, now, true);
        note_update(of_zone_, entry.worker);
        note_update(of_all_, entry.worker);
    }
}

void speed_sums::replace(const std::string &zone, const std::vector<worker_speed_entry> &told,
                         MonotonicTime now) {
    for (const worker_speed_entry &entry : told) {
        worker_sums &sums = sums_of(entry.worker);
        sums.others[zone].set(entry.samples, now);
        note_slowdown(sums, entry, now, false);
        note_update(of_all_, entry.worker);
    }
}

std::vector<uint32_t> speed_sums::take_next(send_order &order, size_t most) const {
    std::vector<uint32_t> workers;
    while (!order.updates.empty() && workers.size() < most) {
        workers.push_back(order.updates.front());
        order.listed.erase(order.updates.front());
        order.updates.pop_front();
    }
    const size_t repeated = std::min({kRepeated, known_.size(), most - workers.size()});
    for (size_t count = 0; count < repeated; ++count) {
        const uint32_t worker = known_[order.next++ % known_.size()];
        if (std::find(workers.begin(), workers.end(), worker) == workers.end()) {
            workers.push_back(worker);
        }
    }
    return workers;
}

worker_speed_entry speed_sums::entry_of(uint32_t worker, const speed_samples &samples,
                                        bool zone_only, MonotonicTime now) const {
    const worker_sums &sums = sums_.at(worker);
    worker_speed_entry entry;
    entry.worker = worker;
    entry.samples = samples;
    entry.slowdown_age = now - sums.slowdown_reported;
    const bool recent = sums.slowdown > 0 && entry.slowdown_age < knobs_.slowdown_lifetime;
    if (recent && (!zone_only || sums.slowdown_from_zone)) {
        entry.slowdown = sums.slowdown;
    }
    return entry;
}

std::vector<worker_speed_entry> speed_sums::next_of_zone(size_t most, MonotonicTime now) {
    std::vector<worker_speed_entry> entries;
    for (const uint32_t worker : take_next(of_zone_, most)) {
        const speed_samples samples = sums_.at(worker).zone.at(now, knobs_.half_life);
        if (samples.weight > 0) {
            entries.push_back(entry_of(worker, samples, true, now));
        }
    }
    return entries;
}

std::vector<worker_speed_entry> speed_sums::next_of_all(size_t most, MonotonicTime now) {
    std::vector<worker_speed_entry> entries;
    for (const uint32_t worker : take_next(of_all_, most)) {
        const worker_sums &sums = sums_.at(worker);
        speed_samples samples = sums.zone.at(now, knobs_.half_life);
        for (const auto &[zone, reported] : sums.others) {
            samples.add(reported.at(now, knobs_.half_life));
        }
        entries.push_back(entry_of(worker, samples, false, now));
    }
    return entries;
}

void speed_sums::clear() {
    sums_.clear();
    known_.clear();
    of_zone_ = {};
    of_all_ = {};
}

} // namespace chalkshed
