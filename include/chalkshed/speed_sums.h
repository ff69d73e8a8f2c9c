#ifndef CHALKSHED_SPEED_SUMS_H
#define CHALKSHED_SPEED_SUMS_H

/** \file
 * Combines, at a relay, the samples of workers' speeds that many nodes have made.
 *
 * Nodes of the relay's zone tell it each sample once; a lost report is a lost sample. The relays of
 * other zones send it the sums of their zones, which replace the sums before, so that a lost
 * or repeated report leaves no error. Only workers with new samples are visited, and a few others
 * in turn for nodes that have just started. */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/worker_speed.h"

namespace chalkshed {

class speed_sums {
public:
    explicit speed_sums(const worker_speed_knobs &knobs = {}) : knobs_(knobs) {}

    /** Adds samples of a node of this zone. */
    void add(const std::vector<worker_speed_entry> &told, MonotonicTime now);
    /** Replaces the sums of another zone for the workers in the list. */
    void replace(const std::string &zone, const std::vector<worker_speed_entry> &told,
                 MonotonicTime now);
    /** \return The sums of this zone of the next workers with updates. */
    std::vector<worker_speed_entry> next_of_zone(size_t most, MonotonicTime now);
    /** \return The sums of all zones of the next workers with updates. */
    std::vector<worker_speed_entry> next_of_all(size_t most, MonotonicTime now);
    void clear();

private:
    struct worker_sums {
        fading_samples zone;
        std::map<std::string, fading_samples> others; // by zone
        double slowdown = 0;                          // 0: unknown
        MonotonicTime slowdown_reported{};
        bool slowdown_from_zone = false;
    };
    /** The workers whose updates have not been sent, and all known workers in turn. */
    struct send_order {
        std::deque<uint32_t> updates;
        std::unordered_map<uint32_t, bool> listed;
        size_t next = 0;
    };
    worker_sums &sums_of(uint32_t worker);
    static void note_update(send_order &order, uint32_t worker);
    /** \return Up to `most` workers: those with updates, then a few of the others. */
    std::vector<uint32_t> take_next(send_order &order, size_t most) const;
    static void note_slowdown(worker_sums &sums, const worker_speed_entry &told, MonotonicTime now,
                              bool from_zone);
    worker_speed_entry entry_of(uint32_t worker, const speed_samples &samples, bool zone_only,
                                MonotonicTime now) const;

    const worker_speed_knobs knobs_;
    std::unordered_map<uint32_t, worker_sums> sums_;
    std::vector<uint32_t> known_; // in the order in which they became known
    send_order of_zone_;
    send_order of_all_;
};

} // namespace chalkshed

#endif
