#ifndef CHALKSHED_ITEM_WAIT_H
#define CHALKSHED_ITEM_WAIT_H

/** \file
 * Why an accepted batch item is not running, as its owner knows it: a log line and a gauge tell
 * operators. docs/design/item_waits.md says what ends each of these waits. */

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "src/core/time.h"

namespace chalkshed {

enum class item_wait : uint8_t {
    /** Its services have no free slot that other work doesn't take first. */
    kRoom,
    /** A pause after a run that was lost, refused or preempted. */
    kRetry,
    /** No route leads to a service. */
    kRoute,
    /** Workers crashed under its content. */
    kCrashes,
    /** Another run of its content is under way, or has just lost its worker. */
    kTurn,
    /** A part of its prompt is held, or another request tries it. */
    kPart,
    /** For a worker of the software version that wrote its text so far, or of one that no part of
     * its prompt crashes. */
    kSoftware,
    /** This node's view of the job is too old to start a run. */
    kStaleView,
    /** The failure of its last run is being written to the store. */
    kRecording,
    /** It has ended, and its result is being written to the store. */
    kCommit,
};
constexpr size_t kItemWaits = 10;

/** \return The stable name used in logs, metrics and the operators' interface. */
const char *item_wait_name(item_wait wait);

/** Numbers of items, by what they wait for. */
using item_wait_counts = std::array<size_t, kItemWaits>;

/** The wait of one item. */
class item_wait_state {
public:
    /** \param until When it ends by itself; nothing: something else ends it. */
    void enter(item_wait wait, MonotonicTime now, std::optional<MonotonicTime> until = {});
    /** A pause that has passed leaves the item waiting for a slot. */
    void advance(MonotonicTime now);
    item_wait wait() const {
        return wait_;
    }
    MonotonicTime since() const {
        return since_;
    }
    std::optional<MonotonicTime> until() const {
        return until_;
    }
    /** \return Whether this wait has lasted long enough for a log line; true once for each wait. */
    bool log_now(MonotonicTime now);

private:
    item_wait wait_ = item_wait::kRoom;
    MonotonicTime since_{};
    std::optional<MonotonicTime> until_;
    bool logged_ = false;
};

/** A waiting item, as operators see it. */
struct waiting_item {
    std::string job; // as its caller names it
    std::string item;
    std::string content; // digest
    item_wait wait = item_wait::kRoom;
    Duration waited{};
    /** Until the wait ends by itself; nothing: something else ends it. */
    std::optional<Duration> ends_in;
    /** Workers that may have crashed under its content. */
    size_t crashes = 0;
};

} // namespace chalkshed

#endif
