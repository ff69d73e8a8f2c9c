#ifndef CHALKSHED_REQUEST_QUARANTINE_H
#define CHALKSHED_REQUEST_QUARANTINE_H

/** \file
 * What this node makes of the evidence against requests that end their workers: whether one may be
 * sent, what has become of a worker, and the log lines and metrics that tell why. */

#include <functional>
#include <set>
#include <string>

#include "chalkshed/crash_evidence.h"
#include "chalkshed/crash_message.h"
#include "src/core/dispatcher.h"
#include "src/core/error.h"
#include "src/core/lifetime.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/serving/worker_set.h"

namespace chalkshed {

struct quarantine_knobs {
    crash_knobs evidence;
    /** Between two looks at what has become of workers, while there is any evidence. */
    Duration review_interval = std::chrono::milliseconds(250);
    /** A worker whose entry stands unchanged this long after a run broke off has not ended: three
     * heartbeats of 1.2 s, at most, and the lag of the list of workers. */
    Duration entry_gone_within = std::chrono::seconds(6);
    /** Runs of this node that break off at several workers within this time may have a common cause
     * in the network or a rack: a request ends one worker. An item that meets several resets must
     * not be held for them.
     */
    Duration common_cause = std::chrono::milliseconds(50);
    /** Copies of one content at several workers that a reset takes break off within this time; when
     * they end their workers, mostly not. */
    Duration same_moment = std::chrono::milliseconds(2);
    /** More than so many within it are a common cause in any case. */
    size_t most_judged = 64;
    /** An answer that reaches this node so much later than the end of a connection reached a peer
     * was not on its way before: a tenth of a second is over ten times the way between zones. */
    Duration answer_lag = std::chrono::milliseconds(100);
    /** Runs that a cut link or a reset takes together break off within this time; what broke off
     * alone until then is reported as suspected. */
    Duration suspected_after = std::chrono::milliseconds(1);
    /** Between two looks at what waits for its permit. */
    Duration claim_interval = std::chrono::milliseconds(5);
};

/** How a node asks for its turn to run a suspect content; by itself it always has it. */
struct turn_calls {
    /** \return Whether a run may begin here now. */
    std::function<bool(uint64_t digest, MonotonicTime not_before)> take =
        [](uint64_t, MonotonicTime) { return true; };
    std::function<void(uint64_t digest)> note_running = [](uint64_t) {};
    std::function<void(uint64_t digest, MonotonicTime not_before)> note_finished =
        [](uint64_t, MonotonicTime) {};
};

class request_quarantine {
public:
    /** All references outlive this. */
    request_quarantine(TimeSource &time_source, Dispatcher &dispatcher, const WorkerSet &workers,
                       Logger &logger, MetricsRegistry &metrics,
                       const quarantine_knobs &knobs = {});

    /** Whether a request of that content would be refused now. */
    bool refuses(uint64_t digest) const;
    /** Asks for the right to run the content now; where the answer is to wait, other nodes are
     * asked, and on_permits_changed is called when to ask again. \param lost_worker See run_claim.
     */
    run_permit claim_run(uint64_t digest, bool lost_worker);
    /** The permit for work that this node alone runs, so that it needs no other's leave. */
    run_permit permit_owned(uint64_t digest) const;
    /** \return The error that answers a quarantined request. It has not run. */
    Error refusal(uint64_t digest, const std::string &request_id) const;

    /** A run of this node begins. \return To be called once it is over, whatever its end; may be
     * called after this is gone, since runs are destroyed in a later turn of the loop. */
    std::function<void()> note_started(uint64_t digest);
    /** \param sent When the run was sent to the worker.
     * \param silent The worker's connection stood: most such workers are busy. */
    void note_broken(uint64_t digest, const ServingWorker &worker, MonotonicTime sent, bool silent);
    void note_answered(uint64_t digest, MonotonicTime sent);

    /** What a peer or the store tells. */
    void learn_broken(const broken_run &run);
    void learn_answered(const answered_run &run);
    /** An operator says that the content is harmless: all nodes forget what they know against it.
     * \return Whether anything was known. */
    bool release_by_operator(uint64_t digest);
    /** The store holds no evidence up to that time any more. */
    void release(uint64_t digest, MonotonicTime up_to);

    /** The evidence that all nodes together have, as far as this one knows. */
    const crash_evidence &evidence() const {
        return evidence_;
    }
    /** Set to what tells the others at once of a run that broke off, before it is known whether it
     * did so alone. */
    void set_on_suspected(std::function<void(const broken_run &)> tell) {
        on_suspected_ = std::move(tell);
    }
    /** Set to what keeps runs of one content apart over all nodes. */
    void set_turns(const turn_calls &turns) {
        turns_ = turns;
    }
    /** Called when a content that had to wait may be claimed again. */
    void set_on_permits_changed(std::function<void()> callback) {
        on_permits_changed_ = std::move(callback);
    }
    /** Set to what carries this node's own evidence to the others. */
    void set_on_broken(std::function<void(const broken_run &)> tell) {
        on_broken_ = std::move(tell);
    }
    void set_on_answered(std::function<void(const answered_run &)> tell) {
        on_answered_ = std::move(tell);
    }
    /** Called after each look at the workers' fates. */
    void set_on_reviewed(std::function<void()> callback) {
        on_reviewed_ = std::move(callback);
    }
    /** \param tries Whether this node tries again a content that is held: one of all nodes. */
    void set_may_probe(std::function<bool(uint64_t digest)> tries) {
        tries_ = std::move(tries);
    }
    /** \param age How old this node's list of workers is, at most. */
    void set_view_age(std::function<Duration()> age) {
        view_age_ = std::move(age);
    }

private:
    struct recent_run {
        broken_run run;
        bool told = false; // or found to be weak: judged no more
    };
    /** Takes runs for weak evidence that broke off together with runs at other workers. */
    void judge_recent();
    bool has_common_cause(const broken_run &run) const;
    static bool broke_together(const broken_run &run, const broken_run &other, Duration within);
    /** Whether a run of that content has just broken off at that worker, which explains its end. */
    bool explained(uint64_t digest, uint32_t worker) const;
    void tell_soon(const broken_run &run);
    /** Tells of runs that broke off alone, as far as is known by now. */
    void tell_suspected();
    /** Tells of runs that broke off alone, once that is certain. */
    void tell_recent();
    /** Runs of a content that has become suspect count as its turn. */
    void note_running_elsewhere(uint64_t digest);
    bool tries(uint64_t digest) const {
        return evidence_.quarantined(digest) && tries_(digest);
    }
    worker_fate fate_of(const broken_run &run) const;
    void review();
    void review_soon(uint64_t digest);
    void observe_age(const broken_run &run) const;
    void log_broken(const broken_run &run, const char *source) const;
    void log_confirmed(const broken_run &run) const;
    /** Logs that the content is held, or ceases to be, since the last look. */
    void update_held(uint64_t digest);
    void update_all_held();

    TimeSource &time_source_;
    const WorkerSet &workers_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const quarantine_knobs knobs_;
    crash_evidence evidence_;
    std::set<uint64_t> held_;
    /** Runs of this node that broke off within the last moments, the oldest first. */
    std::vector<recent_run> recent_;
    std::vector<broken_run> suspected_; // not sent yet
    std::set<uint64_t> in_turn_;        // contents of which a run has this node's turn
    turn_calls turns_;
    std::function<void(const broken_run &)> on_suspected_;
    std::function<void(const broken_run &)> on_broken_;
    std::function<void(const answered_run &)> on_answered_;
    std::function<void()> on_reviewed_;
    std::function<void()> on_permits_changed_;
    std::function<bool(uint64_t)> tries_ = [](uint64_t) { return true; };
    std::function<Duration()> view_age_ = [] { return Duration(0); };
    TimerPtr timer_;
    TimerPtr recent_timer_;
    TimerPtr suspected_timer_;
    TimerPtr claim_timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
