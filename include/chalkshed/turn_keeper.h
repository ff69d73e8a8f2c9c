#ifndef CHALKSHED_TURN_KEEPER_H
#define CHALKSHED_TURN_KEEPER_H

/** \file
 * Which node may run a suspect content: one at a time. Nodes that each ran their own copy would
 * each lose a worker before the first of them could tell the others.
 *
 * A turn is a lease: a node that dies with it, or whose word of its end is lost, blocks the content
 * for a moment only. No I/O, and every time is given to it. */

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

struct turn_knobs {
    /** A run that has lasted so long has most likely survived what would have ended its worker. */
    Duration longest_turn = std::chrono::milliseconds(250);
    /** A content for which nobody has asked for so long is forgotten. */
    Duration forgotten_after = std::chrono::seconds(1);
    /** Contents that are remembered; beyond, none is given a turn until some are forgotten. */
    size_t most_contents = 4096;
};

class turn_keeper {
public:
    explicit turn_keeper(const turn_knobs &knobs = {}) : knobs_(knobs) {}

    /** \param not_before Until then nobody begins a run of the content, whoever asks.
     * \return Whether the node may begin one now. A node that asks again while it has the turn is
     * given it again: the answer may have been lost. */
    bool ask(uint64_t digest, const std::string &node, MonotonicTime not_before, MonotonicTime now);
    /** The node has runs of the content for which nobody had asked. */
    void note_running(uint64_t digest, const std::string &node, MonotonicTime now);
    /** The node's runs are over. \param not_before As above. */
    void note_finished(uint64_t digest, const std::string &node, MonotonicTime not_before);
    size_t size() const {
        return contents_.size();
    }

private:
    struct turn {
        std::string node;
        MonotonicTime since{};
    };
    struct content {
        std::vector<turn> turns; // more than one only by note_running
        MonotonicTime not_before{};
        MonotonicTime noted{};
    };
    /** \return The content without turns that have lapsed, or null where there is no room. */
    content *current(uint64_t digest, MonotonicTime now);
    void forget_old(MonotonicTime now);

    const turn_knobs knobs_;
    std::unordered_map<uint64_t, content> contents_;
};

} // namespace chalkshed

#endif
