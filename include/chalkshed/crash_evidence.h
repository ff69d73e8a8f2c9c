#ifndef CHALKSHED_CRASH_EVIDENCE_H
#define CHALKSHED_CRASH_EVIDENCE_H

/** \file
 * Collects the evidence against what crashes workers: the content of a request, identified across
 * all attempts, nodes and workers, or a part of prompts that requests share. It decides about
 * contents itself; part_blame.h decides about parts.
 *
 * A crashing worker interrupts all of its runs, and at most one of them caused the crash. The
 * evidence against a content is therefore the number of distinct workers that lost a run of it and
 * later turned out to have crashed. A complete answer clears the content. The evidence is shared
 * between the attempts of a caller and between nodes, because otherwise each attempt would start
 * with none.
 *
 * Performs no I/O and takes the time as a parameter; crash_exchange carries the evidence between
 * nodes. */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "chalkshed/software_id.h"
#include "src/core/time.h"

namespace chalkshed {

struct crash_knobs {
    /** Number of crashed workers at which a content is quarantined. A threshold of two would
     * quarantine each retried request that met two crashing workers in a row. */
    size_t quarantine_threshold = 3;
    /** Crashes within this time may share one cause, such as a power loss in a rack. They don't
     * suffice to quarantine a content, and no node starts another run of it meanwhile, since that
     * run could be lost to the same cause. */
    Duration settle_time = std::chrono::milliseconds(40);
    /** Crashes of workers under one part that are less than this apart are a single loss. */
    Duration same_moment = std::chrono::milliseconds(20);
    /** A worker that has written on an answer for this long after its first event would have
     * crashed by then if a part of the prompt crashed it. */
    Duration crash_time = std::chrono::milliseconds(300);
    /** A sound part that is in use is cleared within this time: crash_time, and the time until the
     * first event of an answer. */
    Duration proof_time = std::chrono::milliseconds(700);
    /** A peer's suspicion expires after this time unless the peer confirms it. By then the peer has
     * seen whether other runs were lost at the same time, and has sent its report twice. */
    Duration suspicion_timeout = std::chrono::milliseconds(250);
    /** Evidence expires after this time, and with it the quarantine. */
    Duration evidence_lifetime = std::chrono::minutes(10);
    /** A quarantined content is probed this long after its newest evidence. Each failed probe
     * multiplies the delay by probe_backoff_factor. */
    Duration first_probe_delay = std::chrono::seconds(15);
    int64_t probe_backoff_factor = 8;
    /** A batch item is owed however many workers crashed under it. From quarantine_threshold
     * crashes on it pauses for this long after the newest, twice as long after each further one,
     * ... */
    Duration first_item_pause = std::chrono::seconds(1);
    /** ... up to this, ... */
    Duration max_item_pause = std::chrono::seconds(4);
    /** ... and for this long after more crashes in a row than chance explains. */
    size_t many_item_crashes = 8;
    Duration long_item_pause = std::chrono::seconds(15);
    /** A run of a suspect content that has gone on for this long keeps no other batch item with the
     * content waiting: it has most likely survived the point at which it would have crashed its
     * worker. */
    Duration item_turn = std::chrono::seconds(1);
    /** A run that was lost proves nothing if at least this share of the workers crashed for other
     * reasons ... */
    double storm_share = 0.25;
    /** ... within this time before or after it. */
    Duration storm_window = std::chrono::seconds(1);
    /** The entry of a crashed worker is removed this long after the crash: after three heartbeats
     * of up to 1.2 s, the first of which may have been under way, ... */
    Duration entry_removal_delay = std::chrono::seconds(3);
    /** ... give or take this much. */
    Duration entry_removal_spread = std::chrono::milliseconds(600);
    /** The store's worker list shows within this time whether a worker has crashed: its entry is
     * removed after three missed heartbeats, 3.6 s at the slowest heartbeat in use, and all nodes
     * see this a second later. */
    Duration fate_known_after = std::chrono::seconds(10);
    /** Maximum number of tracked contents. Beyond it, those with the least evidence are evicted
     * first. */
    size_t max_contents = 4096;
    /** Maximum number of workers tracked per content. Beyond it, a newer crash takes the place of
     * the newest. */
    size_t max_workers_per_content = 16;
    /** The same for parts, of which several are compared by the workers that they lost. */
    size_t max_workers_per_part = 64;
};

/** What the evidence is about. */
enum class crash_suspect : uint8_t {
    /** A request, by its content. */
    kContent,
    /** A part of prompts. Most parts of a lost run are innocent, and a part may crash one software
     * version of the workers only. */
    kPart,
};

/** State of a worker that lost a run. */
enum class worker_fate {
    kUnknown,
    /** The same incarnation is still serving: the run was lost to a cut link, a reset or a
     * malformed answer. */
    kAlive,
    kEnded,
    /** It had announced that it would leave. */
    kPlanned,
};

/** A run that was lost because the connection to its worker failed or the worker stopped
 * responding. */
struct broken_run {
    uint64_t digest = 0; // of the content or the part
    uint32_t worker = 0; // hash of the worker's incarnation
    MonotonicTime at{};
    /** Another cause is more likely: the run counts only once the worker is known to have crashed.
     */
    bool weak = false;
    /** When the run was sent; known only to the node that sent it. */
    MonotonicTime sent{};
    /** Reported before it is known whether other runs were lost at the same time. Makes a content
     * suspect, but doesn't quarantine it. */
    bool suspected = false;
    crash_suspect suspect = crash_suspect::kContent;
    /** Of the worker; only for parts. */
    software_id software = software_id::kUnknown;
};

/** Whether a content may be sent to a worker. */
enum class run_permit {
    kFree,
    /** Suspect: run it on the worker where a crash affects the fewest other requests, one run at a
     * time. */
    kExclusive,
    /** Suspect, and this node has another run of it in progress or a worker has just crashed under
     * it. */
    kWait,
    /** It crashes its workers. */
    kQuarantined,
};

/** Circumstances of a request to run a content. */
struct run_claim {
    /** This node is the one that probes quarantined contents. */
    bool may_probe = false;
    /** The request is retried because it lost its worker. After the first loss, nearly all such
     * requests are innocent, so they are retried without delay. */
    bool lost_worker = false;
};

class crash_evidence {
public:
    /** \return The state of the worker at which this run was lost. */
    using fate_lookup = std::function<worker_fate(const broken_run &run)>;

    explicit crash_evidence(const crash_knobs &knobs = {});

    /** A run starts or finishes on this node, whatever its result. */
    void note_started(uint64_t digest, MonotonicTime now);
    void note_finished(uint64_t digest);
    /** The run that started last was refused by its worker: it was no probe. */
    void note_refused(uint64_t digest);
    /** Records a run that was lost here or that a peer reported. \return Whether it was new. */
    bool note_broken(const broken_run &run);
    /** Updates run.weak after it has become known whether other runs were lost at the same time. */
    void update_weak(const broken_run &run);
    /** Discards the evidence up to that time, because a run sent then brought a complete answer or
     * an operator released the content. \return Whether there was any. */
    bool clear(uint64_t digest, MonotonicTime up_to);

    /** Workers of that software have written on answers to requests with the part for longer than a
     * crash takes, so that earlier crashes of that software have another cause.
     * \param up_to When such an answer began.
     * \return Whether the state changed: evidence was cleared, or that software was not known to be
     * sound.
     */
    bool clear_part(uint64_t digest, software_id software, MonotonicTime up_to);
    /** Whether a part was cleared at that software, and nothing has been lost there since. */
    bool proved(uint64_t digest, software_id software) const;
    bool is_part(uint64_t digest) const;
    /** Whether that run is among the evidence. */
    bool lost(const broken_run &run) const;
    /** Whether any run of the content or the part was lost and not cleared. */
    bool has_evidence(uint64_t digest) const;
    /** The lost runs that count, and those that peers report as suspected. */
    std::vector<broken_run> suspect_runs(uint64_t digest, MonotonicTime now) const;
    /** All contents and parts that lost a run at the worker. */
    std::vector<uint64_t> lost_at(uint32_t worker, MonotonicTime now) const;
    /** Whether any run was lost at the worker after that time. */
    bool lost_any(uint32_t worker, MonotonicTime after) const;
    /** Whether so many of the workers crashed around that time without the content or the part that
     * the loss proves nothing. \param workers Number of all workers. */
    bool within_storm(const broken_run &run, size_t workers) const;
    /** The entry of a worker that had not announced that it would leave has been removed: it
     * crashed some seconds ago, also if it was idle. */
    void note_removed(uint32_t worker, MonotonicTime now);
    /** Sets the number of workers that are listed. */
    void note_workers(size_t workers) {
        workers_ = workers;
    }
    /** Parts with that many crashed workers at several moments. */
    std::vector<uint64_t> parts_with_crashes() const;
    /** Whether crashes at these times are as many as quarantine, and not one common loss. */
    bool suffices(std::vector<MonotonicTime> crash_times) const;
    const crash_knobs &knobs() const {
        return knobs_;
    }

    run_permit permit(uint64_t digest, const run_claim &claim, MonotonicTime now) const;
    /** Whether a run of it needs a turn, so that no other node runs it at the same time: several
     * workers have crashed. */
    bool needs_turn(uint64_t digest, MonotonicTime now) const;
    /** Until then no node starts a run of the content, except a retry after the first lost worker.
     */
    MonotonicTime settled_at(uint64_t digest) const;
    /** Number of workers that may have crashed under the content: those not known to have survived.
     */
    size_t possible_crashes(uint64_t digest) const;
    /** Whether a batch item with that content may run. It is never quarantined: after crashes, its
     * runs begin one at a time, with pauses between them, and at least item_turn apart.
     * \return kFree, kExclusive or kWait. */
    run_permit item_permit(uint64_t digest, MonotonicTime now) const;
    /** When an item with that content may run again after the newest crash. Crashes whose workers
     * may turn out to be alive postpone it too. */
    MonotonicTime next_item_run(uint64_t digest) const;
    bool under_way(uint64_t digest) const {
        return under_way_.contains(digest);
    }
    /** When a quarantined content is probed next. */
    MonotonicTime next_probe(uint64_t digest) const;
    /** Number of workers that crashed under the content, as far as known. */
    size_t crash_count(uint64_t digest) const;
    bool quarantined(uint64_t digest) const;

    /** Looks up the state of the workers and discards expired evidence.
     * \return The runs whose worker has turned out to have crashed. */
    std::vector<broken_run> review(const fate_lookup &fate_of, MonotonicTime now);
    /** The runs that count against the content, one per worker. */
    std::vector<broken_run> counted(uint64_t digest) const;
    /** All contents, or all parts, with at least that many crashed workers. */
    std::vector<uint64_t> all_with_crashes(size_t least,
                                           crash_suspect suspect = crash_suspect::kContent) const;
    std::vector<uint64_t> all_quarantined() const;
    size_t size() const {
        return contents_.size();
    }

private:
    struct broken_worker {
        broken_run run;
        worker_fate fate = worker_fate::kUnknown;
    };
    /** Latest answer on which workers of a software version have written on. */
    struct software_proof {
        software_id software = software_id::kUnknown;
        MonotonicTime at{};
    };
    struct content {
        crash_suspect suspect = crash_suspect::kContent;
        std::vector<broken_worker> workers; // one entry per worker
        std::vector<software_proof> proofs; // parts only
        MonotonicTime cleared{};
        MonotonicTime last_probe{};
    };
    /** How long an entry is kept, counted from the loss of its run. */
    Duration lifetime(const broken_worker &broken) const;
    static bool counts(const broken_worker &broken) {
        return broken.fate == worker_fate::kEnded ||
               (broken.fate == worker_fate::kUnknown && !broken.run.weak && !broken.run.suspected);
    }
    static bool survived(const broken_worker &broken) {
        return broken.fate == worker_fate::kAlive || broken.fate == worker_fate::kPlanned;
    }
    /** Counts as evidence, or may do so once a peer's suspicion is confirmed. */
    bool suspect(const broken_worker &broken, MonotonicTime now) const;
    /** Whether crashes at these times suffice to quarantine a content. */
    bool proves(const std::vector<MonotonicTime> &crash_times) const;
    bool is_quarantined(const content &known) const;
    /** Whether the content lost each of its workers beside a part that has crashed others as well,
     * as many as quarantine, so that its losses prove nothing. */
    bool lost_beside_fatal_parts(const content &known) const;
    /** Whether that is a part with enough crashes at workers where the content lost nothing. */
    bool crashes_elsewhere(uint64_t part, const content &known) const;
    std::vector<MonotonicTime> suspect_times(const content &known, MonotonicTime now) const;
    const content *find(uint64_t digest) const;
    static size_t crashes_of(const content &known);
    static MonotonicTime newest_crash(const content &known);
    /** Number of workers that crashed in the storm window around `at` and lost no run that counts
     * against the content or the part. */
    size_t crashes_without(uint64_t digest, MonotonicTime at) const;
    /** Whether the worker lost a run of the content or with the part. */
    bool lost_by(uint32_t worker, uint64_t digest) const;
    bool crashed_in(uint32_t worker, MonotonicTime from, MonotonicTime until) const;
    /** Whether the worker lost a run of the content or with the part, or of a quarantined content,
     * which explains the crash. */
    bool crash_explained(uint32_t worker, uint64_t digest) const;
    /** Number of crashes so long after the content was quarantined that only probes can have caused
     * them, but for those within a storm. */
    size_t failed_probes(const content &known) const;
    Duration probe_delay(size_t failed) const;
    Duration item_pause(size_t crashes) const;
    /** The newest run that was lost at a worker not known to have survived. */
    static MonotonicTime newest_possible_crash(const content &known);
    /** Records a lost run in place of the newest one, unless it is older. \return Whether it was
     * recorded. */
    bool replace_newest(content &known, const broken_run &run);
    void evict_if_full();
    /** Whether a run of the content or the part was lost in that time because the worker crashed.
     */
    bool crashed(uint64_t digest, uint32_t worker, MonotonicTime from, MonotonicTime until) const;
    static MonotonicTime proved_at(const content &known, software_id software);
    void index(const broken_run &run);
    /** Whether a run of the content has begun within item_turn and is in progress. */
    bool in_item_turn(uint64_t digest, MonotonicTime now) const;

    const crash_knobs knobs_;
    std::unordered_map<uint64_t, content> contents_;
    /** Runs of one content that are in progress at this node. */
    struct runs_under_way {
        uint32_t count = 0;
        MonotonicTime newest{}; // start
    };
    std::unordered_map<uint64_t, runs_under_way> under_way_;
    size_t workers_ = 0;
    /** When workers crashed whose entries were removed, about. */
    std::unordered_map<uint32_t, MonotonicTime> removed_;
    /** Contents and parts by the workers that lost runs of them; may name some that are cleared. */
    std::unordered_map<uint32_t, std::vector<uint64_t>> lost_at_;
};

} // namespace chalkshed

#endif
