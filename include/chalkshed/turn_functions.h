#ifndef CHALKSHED_TURN_FUNCTIONS_H
#define CHALKSHED_TURN_FUNCTIONS_H

/** \file
 * The interface through which runs that may crash their worker acquire turns; run_turns.h
 * implements it with datagrams. */

#include <cstdint>
#include <functional>

#include "src/core/time.h"

namespace chalkshed {

/** How a node acquires the turn to run a suspect content, or a trial of a part of prompts. By
 * default, each node always has it. */
struct turn_functions {
    /** \return Whether this node may start a run now. */
    std::function<bool(uint64_t digest, MonotonicTime not_before)> take =
        [](uint64_t, MonotonicTime) { return true; };
    std::function<void(uint64_t digest)> note_running = [](uint64_t) {};
    std::function<void(uint64_t digest, MonotonicTime not_before)> note_finished =
        [](uint64_t, MonotonicTime) {};
};

} // namespace chalkshed

#endif
