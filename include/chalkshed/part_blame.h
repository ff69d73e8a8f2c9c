#ifndef CHALKSHED_PART_BLAME_H
#define CHALKSHED_PART_BLAME_H

/** \file
 * Decides whether a request holds a part that crashes workers. A crash takes all runs of its worker
 * with it, so every part of theirs has lost that worker, and the part that most requests share has
 * lost the most. A part is therefore blamed in a request only if the request holds everything that
 * may explain its crashes as well: requests with the fatal part do, and sound ones lack it. A
 * request that holds only some of the suspects runs: its result clears these or confirms them.
 *
 * Performs no I/O and takes the time as a parameter. */

#include <cstdint>
#include <map>
#include <vector>

#include "chalkshed/crash_evidence.h"
#include "chalkshed/sound_parts.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

enum class part_verdict : uint8_t {
    kFree,
    /** Two workers crashed under a part: runs go where few others are lost with them, and none is
     * repeated at once. */
    kSuspect,
    /** Enough workers crashed, and some of these crashes are not confirmed yet. */
    kUnconfirmed,
    /** The request crashes workers. */
    kHeld,
};

/** The part of a request with the strongest evidence. */
struct blamed_part {
    part_verdict verdict = part_verdict::kFree;
    uint64_t digest = 0;
};

class part_blame {
public:
    /** Both outlive this. */
    part_blame(const crash_evidence &evidence, const sound_parts &sound)
        : evidence_(evidence), sound_(sound) {}

    /** Whether the request may run at workers of that software. */
    blamed_part blame(const ServingRequest &request, software_id software, MonotonicTime now) const;
    /** \return The parts of the request that may crash workers of that software, in ascending
     * order. */
    std::vector<uint64_t> blamed_parts(const ServingRequest &request, software_id software,
                                       MonotonicTime now) const;

private:
    /** All contents and parts that lost a run at one worker. */
    using lost_worker = std::vector<uint64_t>;

    part_verdict judge(uint64_t part, const ServingRequest &request, software_id software,
                       MonotonicTime now) const;
    /** Whether something that the request doesn't hold may explain the crashes as well. */
    bool explained_otherwise(uint64_t part, const std::vector<broken_run> &runs,
                             const ServingRequest &request, software_id software,
                             MonotonicTime now) const;

    /** \return What was lost with each of the workers, but for the newest ones. */
    std::vector<lost_worker> settled_losses(const std::vector<broken_run> &runs,
                                            MonotonicTime now) const;
    /** Whether parts with several crashes each explain at least half of the losses together, as two
     * fatal parts do that share a sound one. \param others Suspects by their number of losses. */
    bool explained_by_several(const std::vector<lost_worker> &losses,
                              const std::map<uint64_t, size_t> &others) const;

    const crash_evidence &evidence_;
    const sound_parts &sound_;
};

} // namespace chalkshed

#endif
