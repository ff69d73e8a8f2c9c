#ifndef CHALKSHED_ITEM_SCHEDULER_H
#define CHALKSHED_ITEM_SCHEDULER_H

/** \file
 * Schedules the batch items of the jobs that this node owns: starts the most urgent ones while
 * workers have free slots, and preempts runs whose slots online requests need. JobService decides
 * which node owns which job. */

#include <functional>
#include <map>
#include <set>
#include <string>

#include "chalkshed/queue_preemption.h"
#include "src/jobs/job_environment.h"
#include "src/jobs/job_index.h"
#include "src/jobs/owned_job.h"
#include "src/peers/session_view.h"

namespace chalkshed {

class item_scheduler {
public:
    /** \param may_start Whether batch items may take slots: the loads of the workers are known.
     * All references must outlive the scheduler. */
    item_scheduler(JobEnvironment &environment, SessionView &sessions, const owned_job_map &owned,
                   std::function<bool()> may_start);

    void start();
    /** Starts no further items; running items continue. */
    void stop_starting() {
        stopped_ = true;
    }
    /** Starts waiting items while workers have free slots. */
    void start_items();
    /** Preempts up to `count` runs for online requests that wait for slots of the service. */
    void preempt_items(const std::string &service, size_t count);

private:
    /** Groups of items that were found to have no room. */
    struct full_groups {
        std::map<std::string, size_t> refusals;
        std::set<std::string> names;
    };
    void begin_burst();
    /** After a change of the configuration, waiting items may need other services. */
    void update_places();
    /** Tries to start the item that is to start first. \return Whether there was one. */
    bool start_first(full_groups &full);
    /** Whether this node's view of the job is recent enough to start a run. */
    bool may_run(const OwnedJob &job) const;
    /** Preempts this node's share of the runs that leave online work too few slots, then waits
     * until the slots freed by all nodes are visible here: otherwise the same shortage would be
     * compensated several times. */
    void preempt_for_online_work();
    void preempt_at_service(const std::string &service, size_t count);
    /** Preempts this node's share of the runs that keep online requests in the queues of workers.
     */
    void preempt_at_queues();
    /** \return `expected` rounded at random, so that the expected total over all nodes is the
     * requested number. */
    size_t round_at_random(double expected);
    /** Preempts the least urgent run at the workers that `at` selects.
     * \return Whether there was one. */
    bool preempt_one(const OwnedJob::AtWorker &at, preemption_cause cause);

    JobEnvironment &environment_;
    SessionView &sessions_;
    const owned_job_map &owned_;
    const std::function<bool()> may_start_;
    bool stopped_ = false;
    MonotonicTime burst_began_{};
    size_t items_in_burst_ = 0;
    uint64_t configuration_ = 0; // for which the places of the waiting items are known
    std::map<std::string, MonotonicTime> next_preemption_; // by service
    queue_preemption queue_preemption_;
    TimerPtr items_timer_;
    TimerPtr preemption_timer_;
};

} // namespace chalkshed

#endif
