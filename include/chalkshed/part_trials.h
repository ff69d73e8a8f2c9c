#ifndef CHALKSHED_PART_TRIALS_H
#define CHALKSHED_PART_TRIALS_H

/** \file
 * The trials of held parts of prompts at this node: acquires the turns that keep trials of a part
 * apart over all nodes, and keeps the turns while a trial runs. A turn is a lease, so that the
 * trials outlive a node that is lost. part_trial_schedule.h decides when a trial is due. */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chalkshed/turn_functions.h"
#include "src/core/dispatcher.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

struct part_trials_knobs {
    /** A request that may be the next trial waits this long for the turn; by then another node has
     * it, ... */
    Duration turn_timeout = std::chrono::milliseconds(100);
    /** ... and this node refuses requests for this long without asking for the turn. */
    Duration busy_delay = std::chrono::milliseconds(250);
    /** Interval at which a node that runs a trial renews its turn; less than half of
     * turn_knobs::turn_timeout. */
    Duration renewal_interval = std::chrono::milliseconds(100);
};

class part_trials {
public:
    /** All references outlive this. */
    part_trials(TimeSource &time_source, Dispatcher &dispatcher, Logger &logger,
                MetricsRegistry &metrics, const turn_functions &turns,
                const part_trials_knobs &knobs = {});

    /** Whether this node may soon have the turns for all of these parts, which are due. */
    bool open(const std::vector<uint64_t> &parts) const;
    /** Requests the turns. \return Whether this node has all of them and may start the trial. */
    bool take(const std::vector<uint64_t> &parts);
    /** Whether this node has the turn for one of these parts and has not started its trial. */
    bool granted(const std::vector<uint64_t> &parts) const;
    /** A run that is a trial of these parts has started. */
    void note_started(const std::vector<uint64_t> &parts, const std::string &request_id);
    bool running(uint64_t part) const;
    /** The result of the trial is known, or there will be none.
     * \param not_before No node starts the next one until then. */
    void note_finished(uint64_t part, MonotonicTime not_before);

private:
    struct trial {
        bool running = false;
        MonotonicTime asked{};      // since when the turn has been requested; epoch: it is not
        MonotonicTime granted{};    // epoch: this node doesn't have the turn
        MonotonicTime busy_until{}; // another node has the turn
        MonotonicTime last_used{};
    };
    bool open(const trial &known, MonotonicTime now) const;
    bool take(uint64_t part, MonotonicTime now);
    void renew_turns();
    void drop_idle(MonotonicTime now);

    TimeSource &time_source_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const turn_functions &turns_;
    const part_trials_knobs knobs_;
    std::map<uint64_t, trial> trials_; // by part
    TimerPtr renewal_timer_;
};

} // namespace chalkshed

#endif
