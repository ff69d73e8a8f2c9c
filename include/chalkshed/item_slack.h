#ifndef CHALKSHED_ITEM_SLACK_H
#define CHALKSHED_ITEM_SLACK_H

/** \file
 * How long a batch item may still wait and be in time, and what follows for the order of items.
 *
 * Earliest due first alone loses everything once not all items can be done: each is begun when it
 * can no longer be in time. Items that will be late anyway therefore stand behind all others.
 */

#include "src/core/time.h"

namespace chalkshed {

class item_slack {
public:
    /** \param left Until it must start; negative once it can't be in time.
     * \param grace So much late still counts as in time. */
    explicit item_slack(Duration left, Duration grace = Duration(0))
        : left_(left), late_(left < -grace) {}

    Duration left() const {
        return left_;
    }
    /** Whether it will be late whenever it starts. */
    bool late() const {
        return late_;
    }
    /** Whether it should take a place before the other. */
    bool starts_before(const item_slack &other) const {
        return late_ != other.late_ ? other.late_ : left_ < other.left_;
    }
    /** Whether it should give up its place before the other. */
    bool yields_before(const item_slack &other) const {
        return other.starts_before(*this);
    }

private:
    Duration left_;
    bool late_;
};

} // namespace chalkshed

#endif
