#ifndef CHALKSHED_TURN_KEEPER_H
#define CHALKSHED_TURN_KEEPER_H

/** \file
 * Decides which node may run a suspect content, one at a time. Nodes that each ran their own copy
 * would each lose a worker before the first of them could report it.
 *
 * A turn is a lease: if its holder dies or the report of its end is lost, the content is blocked
 * for a short time only. Performs no I/O and takes the time as a parameter. */

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

struct turn_knobs {
    /** Turns expire after this time: a run that has lasted this long has most likely survived the
     * point at which it would have crashed its worker. */
    Duration turn_timeout = std::chrono::milliseconds(250);
    /** A content for which no node has asked for this long is dropped. */
    Duration idle_timeout = std::chrono::seconds(1);
    /** Maximum number of tracked contents; beyond it, no turn is granted for further ones until
     * some are dropped. */
    size_t max_contents = 4096;
};

class turn_keeper {
public:
    explicit turn_keeper(const turn_knobs &knobs = {}) : knobs_(knobs) {}

    /** \param not_before No node may start a run of the content until then, whichever asks.
     * \param asked When the node asked, by its own clock; epoch: not known.
     * \return Whether the node may start one now. A node that asks again while it holds the turn
     * is granted it again, since the answer may have been lost. */
    bool ask(uint64_t digest, const std::string &node, MonotonicTime not_before, MonotonicTime now,
             MonotonicTime asked = {});
    /** The node has runs of the content that started without a turn. \param asked See ask. */
    void note_running(uint64_t digest, const std::string &node, MonotonicTime now,
                      MonotonicTime asked = {});
    /** The node's runs have finished. \param not_before See ask. \param finished When, by the
     * node's own clock: turns that it asked for later remain; epoch: not known, all end. */
    void note_finished(uint64_t digest, const std::string &node, MonotonicTime not_before,
                       MonotonicTime finished = {});
    size_t size() const {
        return contents_.size();
    }

private:
    struct turn {
        std::string node;
        MonotonicTime since{};
        MonotonicTime asked{}; // by the node's own clock
    };
    struct content {
        std::vector<turn> turns; // more than one only after note_running
        MonotonicTime not_before{};
        MonotonicTime last_used{};
    };
    /** \return The content after removal of expired turns, or null if there is no room for it. */
    content *current(uint64_t digest, MonotonicTime now);
    void drop_idle(MonotonicTime now);

    const turn_knobs knobs_;
    std::unordered_map<uint64_t, content> contents_;
};

} // namespace chalkshed

#endif
