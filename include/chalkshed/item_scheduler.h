#ifndef CHALKSHED_ITEM_SCHEDULER_H
#define CHALKSHED_ITEM_SCHEDULER_H

/** \file
 * Which items of this node's jobs run now: starts those that are due first while there is room, and
 * stops runs where online work needs their places. Who owns which job is decided elsewhere
 * (JobService). */

#include <functional>
#include <map>
#include <string>

#include "src/jobs/job_environment.h"
#include "src/jobs/job_index.h"
#include "src/jobs/owned_job.h"
#include "src/peers/session_view.h"

namespace chalkshed {

class item_scheduler {
public:
    /** \param may_start Whether batch may take a place at all: no online request waits for one.
     * All references outlive this. */
    item_scheduler(JobEnvironment &environment, SessionView &sessions, const owned_job_map &owned,
                   std::function<bool()> may_start);

    void start();
    /** Starts nothing from now on; what runs goes on. */
    void stop_starting() {
        stopped_ = true;
    }
    /** Starts items that wait, as far as there is room. */
    void start_items();
    /** Stops up to `count` runs: online requests wait for their places. */
    void preempt_items(size_t count);

private:
    /** Whether what this node knows of the job is new enough to start a run by it. */
    bool may_run(const OwnedJob &job) const;
    /** Stops this node's share of the runs that leave online work too few slots, and then waits
     * until the slots freed by all nodes are known: otherwise the same lack is made good several
     * times. */
    void yield_places();
    void yield_places_of(const std::string &service, size_t count);
    /** Stops the run at such a worker that is the first to give way. \return Whether there was one.
     */
    bool preempt_one(const OwnedJob::AtWorker &at);

    JobEnvironment &environment_;
    SessionView &sessions_;
    const owned_job_map &owned_;
    const std::function<bool()> may_start_;
    bool stopped_ = false;
    MonotonicTime burst_began_{};
    size_t items_in_burst_ = 0;
    std::map<std::string, MonotonicTime> yield_after_; // by service
    TimerPtr items_timer_;
    TimerPtr yield_timer_;
};

} // namespace chalkshed

#endif
