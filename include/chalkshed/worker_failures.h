#ifndef CHALKSHED_WORKER_FAILURES_H
#define CHALKSHED_WORKER_FAILURES_H

/** \file
 * Detects workers that fail more requests than the rest of their service, from the answers that
 * this node and its peers have received.
 *
 * A single node of a large fleet sees too few answers of one worker to judge it, so the evidence of
 * all nodes is merged. Failures are counted by request content, because a content that fails
 * wherever it runs says nothing about its workers.
 *
 * Performs no I/O and takes the time as a parameter; failure_exchange carries the evidence between
 * nodes. */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "chalkshed/failure_message.h"

namespace chalkshed {

struct failure_knobs {
    bool enabled = false;
    /** Answers older than this don't count. */
    Duration window = std::chrono::seconds(4);
    /** Distinct contents that must have failed at a worker before it is ejected. */
    size_t min_contents = 3;
    /** A worker is ejected only if this share of its requests fails, and also more than twice the
     * share of the rest of its service plus rate_margin. */
    double min_rate = 0.3;
    double rate_margin = 0.15;
    /** No more than this share of a service's workers is ejected. */
    double max_ejected_share = 1.0 / 3;
    /** A worker at which every request has failed since its first failure is ejected whatever it
     * did before, unless more than this share of the service's other workers has failures too. */
    double max_other_failing = 0.25;
    /** Time from its first failure, in which a fault of the whole service would show. */
    Duration alone_for = std::chrono::milliseconds(250);
    /** When more than this share of a service's workers fails, the cause is not in the workers. */
    double broken_service_share = 0.5;
    /** Connections that are lost within this time at one worker have one cause: the crash of a
     * worker interrupts all of its requests. */
    Duration same_cause = std::chrono::milliseconds(50);
    /** Time for the peers to report their successes at a worker after its second failure, without
     * which every failing request would look like a failing worker. */
    Duration settle = std::chrono::milliseconds(60);
    /** For this long, contents that failed are remembered: a batch item is retried seconds later.
     */
    Duration content_memory = std::chrono::seconds(30);
    size_t max_contents = 4096;
    /** Added to the cost of a worker for a 5xx that is not older than cost_lifetime; doubles with
     * each further one. Other failures pause the worker anyway (worker_outcomes). */
    double cost_milliseconds = 15;
    double max_cost_milliseconds = 240;
    Duration cost_lifetime = std::chrono::milliseconds(1500);
    /** After its second 5xx and each further one, a worker gets no batch items for this long:
     * a node starts many of them at once, and a worker that fails at once has slots for all. */
    Duration batch_pause = std::chrono::milliseconds(250);
    /** Time from an ejection to the first probe, and between probes after a success, after a
     * failure, and while the previous one has no result. */
    Duration first_probe = std::chrono::milliseconds(200);
    Duration next_probe = std::chrono::milliseconds(60);
    Duration failed_probe = std::chrono::milliseconds(300);
    Duration open_probe = std::chrono::milliseconds(600);
    /** Each node waits this much longer than the one ranked before it, so that a probe is usually
     * sent by one node. */
    Duration probe_rank_delay = std::chrono::milliseconds(5);
    /** Batch items probe only this much later, because a failed run counts against the item. */
    Duration batch_probe_delay = std::chrono::milliseconds(400);
    /** Probes that must be answered in a row, and one more for each level, up to max_passes. One
     * less if the worker failed in the middle of answers, since only complete answers count then;
     * max_passes if only some of its requests failed. */
    uint8_t min_passes = 2;
    uint8_t max_passes = 4;
    /** A worker that is ejected again within this time after its readmission is not probed for
     * first_hold, which doubles with each further time up to max_level. */
    Duration relapse = std::chrono::seconds(10);
    Duration first_hold = std::chrono::seconds(1);
    uint8_t max_level = 4;
    /** A readmission is repeated for this long, for nodes that have missed it. */
    Duration readmission_told = std::chrono::seconds(2);
    /** A node at which more workers than this failed, and more than answered, is itself at fault:
     * its evidence is ignored. */
    size_t min_failing_workers = 3;
    size_t max_failures_per_worker = 64;
};

/** One answer of a worker to this node. */
struct worker_answer {
    uint32_t worker = 0;  // hash of the worker's incarnation
    uint64_t service = 0; // hash of its name
    uint64_t content = 0; // digest of the request
    answer_fault fault = answer_fault::kNone;
    /** When the request was sent. */
    MonotonicTime sent{};
};

/** A worker's service. */
struct worker_place {
    uint64_t service = 0; // hash of its name
    size_t workers = 0;   // of the service
};

/** An event that is reported to the peers. */
enum class failure_update {
    kFailed,     // this node has seen a failure
    kSuccesses,  // peers need this node's successes at the worker to judge it
    kProbe,      // a probe was sent or answered
    kEjected,    // by this node's own judgement
    kReadmitted, // by this node's own judgement
};

struct standing_change {
    uint32_t worker = 0;
    uint64_t service = 0;
    bool ejected = false;
    bool reported_by_peer = false;
    size_t failures = 0;  // distinct contents that count
    size_t successes = 0; // of all nodes, as far as known
    double rest_rate = 0; // failure rate of the rest of the service
    Duration lasted{0};   // how long a readmitted worker was ejected
    uint8_t level = 0;
};

class worker_failures {
public:
    using place_lookup = std::function<std::optional<worker_place>(uint32_t worker)>;

    /** \param own The hash of this node's session.
     * \param place_of Returns the place of a known worker. */
    worker_failures(const failure_knobs &knobs, uint64_t own, place_lookup place_of);

    void note(const worker_answer &answer, MonotonicTime now);
    /** The answer to a request has begun well. Counts as an answered probe, unless the worker
     * failed in the middle of answers before. */
    void note_begun(const worker_answer &answer, MonotonicTime now);
    /** A probe was sent to an ejected worker. */
    void note_probe(uint32_t worker, MonotonicTime now);
    void merge(const failure_report &report, MonotonicTime now);
    /** Ejects the workers whose evidence suffices by now, and forgets expired evidence. */
    void review(MonotonicTime now);

    bool ejected(uint32_t worker, MonotonicTime now) const;
    /** Whether this node should send its next repeatable request to the ejected worker.
     * \param batch Whether that request is a batch item. */
    bool may_probe(uint32_t worker, bool batch, MonotonicTime now) const;
    /** Milliseconds to be added to the cost of a worker because of its recent failures. */
    double cost(uint32_t worker, MonotonicTime now) const;

    /** Whether batch items should go to other workers for now. */
    bool pauses_batch(uint32_t worker, MonotonicTime now) const;

    /** Whether any worker has recent failures or is ejected. */
    bool any() const {
        return !suspects_.empty();
    }
    /** Workers that have recent failures or are ejected. */
    const std::set<uint32_t> &suspects() const {
        return suspects_;
    }
    /** Whether several contents failed at the worker, so that its counts are repeated. */
    bool under_review(uint32_t worker, MonotonicTime now) const;
    /** Whether the worker's readmission is repeated to the peers. */
    bool recently_readmitted(uint32_t worker, MonotonicTime now) const;
    size_t ejected_count(uint64_t service) const;
    /** Adds this node's view of the worker to a report. \return Whether it holds anything that
     * peers can use. */
    bool add_to(failure_report &report, uint32_t worker, MonotonicTime now) const;

    void set_on_update(std::function<void(uint32_t worker, failure_update)> callback) {
        on_update_ = std::move(callback);
    }
    void set_on_changed(std::function<void(const standing_change &)> callback) {
        on_changed_ = std::move(callback);
    }
    /** \param rank Returns this node's place in the order in which nodes probe that worker. */
    void set_probe_rank(std::function<size_t(uint32_t worker)> rank) {
        probe_rank_ = std::move(rank);
    }

private:
    struct failure {
        failed_answer answer;
        uint64_t sender = 0;
    };
    struct reported_count {
        uint32_t successes = 0;
        MonotonicTime at{};
        MonotonicTime succeeded{};
    };
    struct worker_record {
        uint64_t service = 0;
        std::deque<MonotonicTime> own_successes;
        std::map<uint64_t, reported_count> told; // by sender
        std::vector<failure> failures;           // one entry per content
        worker_standing standing;
        MonotonicTime probe_failed{};
        /** Until then, successes at peers may be unknown. */
        MonotonicTime settled{};
        bool fails_late = false; // in the middle of answers
        uint64_t passed_content = 0;
        // As of the last evaluation.
        size_t raw = 0;         // distinct contents that failed
        size_t counted = 0;     // without those that also failed elsewhere
        MonotonicTime oldest{}; // of the counted ones
        MonotonicTime newest{};
        size_t error_statuses = 0; // of the counted ones
        MonotonicTime newest_status{};
    };
    struct service_record {
        std::deque<MonotonicTime> own_successes;
        std::map<uint64_t, reported_count> told; // by sender
        std::set<uint32_t> suspects;
        size_t ejected = 0;
    };
    struct sender_record {
        std::unordered_map<uint32_t, MonotonicTime> failing;
        uint32_t successes = 0;
    };
    struct content_record {
        std::vector<std::pair<uint32_t, MonotonicTime>> workers;
        MonotonicTime newest{};
    };

    worker_record &record_of(uint32_t worker, uint64_t service);
    const worker_record *find(uint32_t worker) const;
    void add_failure(const failed_answer &failed, uint64_t service, uint64_t sender,
                     MonotonicTime now);
    void remember_content(const failed_answer &failed, MonotonicTime now);
    void note_probe_result(const worker_answer &answer, worker_record &record, MonotonicTime now);
    void merge_standing(const worker_standing &told, const failure_report &report,
                        MonotonicTime now);
    void pass_probe(uint32_t worker, worker_record &record, uint64_t content, MonotonicTime now);
    bool trusted(uint64_t sender, MonotonicTime now) const;
    void note_sender(uint64_t sender, uint32_t worker, MonotonicTime at);

    /** Counts the failures of the worker again. */
    void evaluate(uint32_t worker, worker_record &record, MonotonicTime now);
    void evaluate_sharing(uint64_t content, MonotonicTime now);
    bool failed_elsewhere(uint64_t content, uint32_t worker, MonotonicTime now) const;
    size_t successes_of(const worker_record &record, MonotonicTime now) const;
    double rate_of(const worker_record &record, size_t failures, MonotonicTime now) const;
    /** Whether the failures, including those that also occurred elsewhere, would suffice. */
    bool looks_bad(const worker_record &record, MonotonicTime now) const;
    /** Whether no request that was sent after the first failure has succeeded anywhere. */
    bool fails_everything(uint32_t worker, const worker_record &record, size_t workers,
                          MonotonicTime now) const;
    void note_success(const worker_answer &answer, worker_record &record, MonotonicTime now);
    /** Readmits the ejected workers of services that fail at all workers alike. */
    void review_broken_services(MonotonicTime now);
    double rest_rate(uint32_t worker, const service_record &service, MonotonicTime now) const;
    bool service_broken(const service_record &service, size_t workers, MonotonicTime now) const;
    void judge(uint32_t worker, worker_record &record, MonotonicTime now);
    bool room_to_eject(uint64_t service, uint32_t worker) const;
    void eject(uint32_t worker, worker_record &record, MonotonicTime since, uint8_t level,
               uint8_t needed, const standing_change &why);
    uint8_t passes_needed(const worker_record &record, uint8_t level, bool all_fail) const;
    void readmit(uint32_t worker, worker_record &record, MonotonicTime since, bool told,
                 MonotonicTime now);
    uint8_t next_level(const worker_record &record, MonotonicTime now) const;
    Duration hold_of(uint8_t level) const;
    MonotonicTime probe_due(const worker_record &record) const;
    void forget_expired(MonotonicTime now);
    void prune(std::deque<MonotonicTime> &times, MonotonicTime now) const;
    size_t sum(const std::deque<MonotonicTime> &own, const std::map<uint64_t, reported_count> &told,
               MonotonicTime now) const;

    const failure_knobs knobs_;
    const uint64_t own_;
    const place_lookup place_of_;
    std::unordered_map<uint32_t, worker_record> workers_;
    std::map<uint64_t, service_record> services_; // by the hash of the name
    std::unordered_map<uint64_t, sender_record> senders_;
    std::unordered_map<uint64_t, content_record> contents_;
    std::set<uint32_t> suspects_;
    MonotonicTime swept_{};
    std::function<void(uint32_t, failure_update)> on_update_ = [](uint32_t, failure_update) {};
    std::function<void(const standing_change &)> on_changed_ = [](const standing_change &) {};
    std::function<size_t(uint32_t)> probe_rank_ = [](uint32_t) { return size_t(0); };
};

} // namespace chalkshed

#endif
