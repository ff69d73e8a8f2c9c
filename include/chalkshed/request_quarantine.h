#ifndef CHALKSHED_REQUEST_QUARANTINE_H
#define CHALKSHED_REQUEST_QUARANTINE_H

/** \file
 * Decides by the evidence against requests that crash their workers whether a request may be sent,
 * determines the fate of workers, and writes the related log lines and metrics. */

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "chalkshed/crash_evidence.h"
#include "chalkshed/crash_message.h"
#include "chalkshed/part_blame.h"
#include "chalkshed/part_trial_schedule.h"
#include "chalkshed/part_trials.h"
#include "chalkshed/turn_functions.h"
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
    part_trial_knobs trials;
    /** Interval between reviews of the workers' states while there is any evidence. */
    Duration review_interval = std::chrono::milliseconds(250);
    /** A worker whose entry is unchanged this long after losing a run has not crashed: at most
     * three heartbeats of 1.2 s, plus the lag of the worker list. */
    Duration entry_removal_timeout = std::chrono::seconds(6);
    /** Runs of this node that are lost at several workers within this time may have a common cause
     * in the network or a rack, since one request crashes one worker. An item must not be
     * quarantined because of several connection resets. */
    Duration common_cause_window = std::chrono::milliseconds(50);
    /** Copies of one content that are lost to a reset at several workers are lost within this time;
     * copies that crash their workers usually aren't. */
    Duration same_instant_window = std::chrono::milliseconds(2);
    /** More lost runs than this within common_cause_window always count as having a common cause.
     */
    size_t max_lost_runs = 64;
    /** An answer that arrives here this much later than a peer saw the connection fail was not
     * already in flight: 100 ms is more than ten times the latency between zones. */
    Duration max_answer_lag = std::chrono::milliseconds(100);
    /** Runs that a cut link or a reset interrupts are lost within this time; a run that is the only
     * one lost until then is reported as suspected. */
    Duration suspicion_delay = std::chrono::milliseconds(1);
    /** Interval at which waiting requests check their permit again. */
    Duration claim_retry_interval = std::chrono::milliseconds(5);
};

/** A run whose connection to the worker failed. */
struct lost_run {
    MonotonicTime sent{}; // to the worker
    /** When the worker began to write its answer; nothing: it didn't. */
    std::optional<MonotonicTime> begun;
    /** The worker stopped responding while its connection stayed open: most such workers are
     * busy. */
    bool silent = false;
};

/** Why an item of a job must not run now. */
enum class item_hold : uint8_t {
    kNone,
    /** Workers crashed under its content. */
    kCrashes,
    /** Another run of its content is under way, or has just lost its worker. */
    kTurn,
    /** A part of its prompt is held, or another request tries it. */
    kPart,
};

/** The answer to a request to run an item of a job. */
struct item_claim {
    run_permit permit = run_permit::kFree;
    item_hold hold = item_hold::kNone;
    /** When it may run; nothing: not known. */
    std::optional<MonotonicTime> until;
};

class request_quarantine {
public:
    /** All references outlive this. */
    request_quarantine(TimeSource &time_source, Dispatcher &dispatcher, const WorkerSet &workers,
                       Logger &logger, MetricsRegistry &metrics,
                       const quarantine_knobs &knobs = {});

    /** Whether the request would be refused now. \param service Whose workers would run it. */
    bool refuses(const ServingRequest &request, const std::string &service) const;
    /** Requests permission to run the request. If the result is kWait, other nodes have been asked
     * for a turn where one is needed, and on_permits_changed is called once the request may be
     * repeated. \param lost_worker See run_claim. */
    run_permit claim_run(const ServingRequest &request, const std::string &service,
                         bool lost_worker);
    /** Requests permission to run an item of a job that this node owns, whose runs are repeated
     * until one succeeds: an item doesn't crash workers by itself. The crashes under its content
     * postpone its next run by some seconds and never hold it. Other nodes may own jobs with the
     * same content, so that it needs turns too. The caller asks again until it may run;
     * on_permits_changed is called while a turn is all that is missing.
     *
     * A part of its prompt may crash workers, so that it is quarantined for a held part. */
    item_claim claim_owned_run(const ServingRequest &item, const std::string &service);
    /** \return The software versions of the service that a part of the request's prompt crashes
     * more likely than others; empty if all are alike. */
    std::vector<software_id> crashing_software(const ServingRequest &request,
                                               const std::string &service) const;
    /** \return The error with which a quarantined request is refused. The request has not run. */
    Error refusal(const ServingRequest &request, const std::string &service);

    /** Whether a part of the request's prompt may crash workers at every version of the service. */
    bool part_is_suspect(const ServingRequest &request, const std::string &service) const {
        return blame(request, service).verdict != part_verdict::kFree;
    }

    /** \return When a part with lost runs is tried next, at the software version that is tried
     * first; nothing: it is not tried any more. */
    std::optional<MonotonicTime> next_trial(uint64_t part) const;

    /** Records the start of a run at a worker of that service. \return A callback to invoke once
     * the run has finished, whatever its result. It may be invoked after this object is destroyed,
     * since runs are destroyed in a later iteration of the event loop. */
    std::function<void()> note_started(const ServingRequest &request, const std::string &service);
    /** A worker refused a run that was noted as started. */
    void note_refused(uint64_t digest) {
        evidence_.note_refused(digest);
    }
    void note_broken(const ServingRequest &request, const ServingWorker &worker,
                     const lost_run &run);
    /** The worker has begun to write a successful answer. If it goes on working for
     * crash_knobs::crash_time, the shared parts of the prompt are sound at its software. */
    void note_answer_begun(const ServingRequest &request, const ServingWorker &worker);
    void note_answered(uint64_t digest, MonotonicTime sent);

    /** Takes in reports from peers and from the store. */
    void learn_broken(const broken_run &run);
    void learn_answered(const answered_run &run);
    /** Releases a content that an operator declares harmless: all nodes discard their evidence
     * against it. \return Whether there was any. */
    bool release_by_operator(uint64_t digest);
    /** The store has no evidence up to that time any more. */
    void release(uint64_t digest, MonotonicTime up_to);
    /** The software of a worker as the evidence names it: workers that name no version are alike.
     */
    static software_id software_of_worker(const ServingWorker &worker);

    /** The evidence of all nodes together, as far as this node knows. */
    const crash_evidence &evidence() const {
        return evidence_;
    }
    /** Sets the callback that reports a lost run to the other nodes before it is known whether
     * other runs were lost at the same time. */
    void set_on_suspected(std::function<void(const broken_run &)> tell) {
        on_suspected_ = std::move(tell);
    }
    /** Sets the functions that keep nodes from running the same suspect content at the same time.
     */
    void set_turns(const turn_functions &turns) {
        turns_ = turns;
    }
    /** Called when a content that had to wait may be claimed again. */
    void set_on_permits_changed(std::function<void()> callback) {
        on_permits_changed_ = std::move(callback);
    }
    /** Sets the callback that reports this node's own evidence to the others. */
    void set_on_broken(std::function<void(const broken_run &)> tell) {
        on_broken_ = std::move(tell);
    }
    void set_on_answered(std::function<void(const answered_run &)> tell) {
        on_answered_ = std::move(tell);
    }
    /** Called after each review of the workers' states. */
    void set_on_reviewed(std::function<void()> callback) {
        on_reviewed_ = std::move(callback);
    }
    /** \param may_probe Whether this node is the one that probes that quarantined content. */
    void set_may_probe(std::function<bool(uint64_t digest)> may_probe) {
        may_probe_ = std::move(may_probe);
    }
    /** \param age Upper bound on the age of this node's worker list. */
    void set_view_age(std::function<Duration()> age) {
        view_age_ = std::move(age);
    }

private:
    struct recent_run {
        broken_run run;
        bool reported = false; // reported to peers, or known to be weak: not evaluated again
    };
    /** Marks runs as weak evidence if they were lost together with runs at other workers. */
    void evaluate_recent();
    void note_lost(broken_run run);
    /** The strongest evidence against a part of the request, at the software with the least. */
    blamed_part blame(const ServingRequest &request, const std::string &service) const;
    bool any_evidence(const ServingRequest &request) const;
    /** A run that would show whether parts of a request crash workers. */
    struct trial_offer {
        std::vector<uint64_t> parts;
        software_id software = software_id::kUnknown; // of the workers
        MonotonicTime due{};
    };
    /** \return The earliest trial that the request may be, at the versions with the least
     * evidence; nothing: there is none. */
    std::optional<trial_offer> earliest_trial(const ServingRequest &request,
                                              const std::string &service, MonotonicTime now) const;
    /** Whether the request may soon be the trial of its held parts. */
    bool may_be_trial(const ServingRequest &request, const std::string &service,
                      MonotonicTime now) const;
    struct trial_claim {
        run_permit of_content = run_permit::kFree; // but for the parts
        run_permit otherwise = run_permit::kWait;  // while no trial is possible
    };
    /** \return kExclusive if the request is to run as a trial of its blamed parts, kWait if it may
     * do so soon, else `otherwise`. */
    run_permit claim_trial(const ServingRequest &request, const std::string &service,
                           const trial_claim &claim, MonotonicTime now);
    /** A run of this node that may have been a trial of these parts is over. */
    void finish_trials(const std::vector<uint64_t> &parts);
    /** Whether the run had gone on for so long that none of its parts can have crashed its worker.
     */
    bool outlived_parts(const lost_run &run) const;
    size_t workers_of(const std::string &service) const;
    /** Tells the evidence how many workers are listed, and which ones are no more. */
    void note_listed_workers(MonotonicTime now);
    /** Clears the parts of answers that have been written on for long enough. */
    void clear_proved_parts();
    bool has_common_cause(const broken_run &run) const;
    static bool broke_together(const broken_run &run, const broken_run &other, Duration within);
    /** Whether a run of that content was just lost at that worker, which explains why the worker
     * crashed. */
    bool explained(uint64_t digest, uint32_t worker) const;
    void schedule_reports(const broken_run &run);
    /** Reports runs that were lost alone, as far as is known by now. */
    void report_suspected();
    /** Reports runs that were lost alone, once that is certain. */
    void report_recent();
    /** Registers runs that are in progress when their content becomes suspect as holding the turn.
     */
    void report_running(uint64_t digest);
    /** \return The permit, or kWait while another node has the turn. */
    run_permit take_turn(uint64_t digest, run_permit permit, MonotonicTime now);
    /** Has on_permits_changed called soon. */
    void retry_claims();
    bool may_probe(uint64_t digest) const {
        return evidence_.quarantined(digest) && may_probe_(digest);
    }
    worker_fate fate_of(const broken_run &run) const;
    void review();
    void review_soon(uint64_t digest);
    void observe_age(const broken_run &run) const;
    void log_broken(const broken_run &run, const char *source) const;
    void log_confirmed(const broken_run &run) const;
    /** Logs that the content was quarantined or released since the last check. */
    void update_quarantined(uint64_t digest);
    void update_all_quarantined();
    /** Logs which held parts have become free since the last check. */
    void update_held_parts();
    void log_held_part(uint64_t part, const ServingRequest &request);

    TimeSource &time_source_;
    const WorkerSet &workers_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const quarantine_knobs knobs_;
    crash_evidence evidence_;
    sound_parts sound_parts_;
    const part_blame part_blame_;
    const part_trial_schedule trial_schedule_;
    std::set<uint64_t> quarantined_;
    /** Runs that this node lost recently, oldest first. */
    std::vector<recent_run> recent_;
    /** Answers that have begun, oldest first, on prompts with shared parts. */
    struct begun_answer {
        std::vector<uint64_t> parts;
        software_id software = software_id::kUnknown;
        uint32_t worker = 0;
        MonotonicTime at{};
    };
    std::deque<begun_answer> begun_answers_;
    std::set<uint64_t> held_parts_;         // for which a request was refused
    std::vector<broken_run> suspected_;     // not reported yet
    std::set<uint64_t> contents_with_turn_; // contents with a run that holds this node's turn
    turn_functions turns_;
    part_trials trials_;
    std::function<void(const broken_run &)> on_suspected_;
    std::function<void(const broken_run &)> on_broken_;
    std::function<void(const answered_run &)> on_answered_;
    std::function<void()> on_reviewed_;
    std::function<void()> on_permits_changed_;
    std::function<bool(uint64_t)> may_probe_ = [](uint64_t) { return true; };
    std::function<Duration()> view_age_ = [] { return Duration(0); };
    TimerPtr timer_;
    TimerPtr recent_timer_;
    TimerPtr suspected_timer_;
    TimerPtr claim_timer_;
    TimerPtr proof_timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
