#ifndef CHALKSHED_CRASH_EVIDENCE_H
#define CHALKSHED_CRASH_EVIDENCE_H

/** \file
 * Which requests end the workers that run them, judged by their content over all attempts, nodes
 * and workers.
 *
 * A worker that ends breaks off all its runs, and all but one of them are innocent. Evidence
 * against a content is therefore the number of different workers under which a run of it broke off
 * and which then turned out to have ended; a whole answer to it proves it innocent. It has to be
 * known beyond one attempt of a caller and one node, since each further attempt would begin with
 * nothing.
 *
 * No I/O, and every time is given to it: crash_exchange carries the evidence between the nodes. */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

struct crash_knobs {
    /** Workers that a content may end before it is held. With two, each retried request that met
     * two crashing workers in a row would be. */
    size_t ends_to_quarantine = 3;
    /** Ends within this time may have one cause, a rack that loses power say: they alone hold no
     * content, and nobody begins another run of it meanwhile, which might fall into the same. */
    Duration settle = std::chrono::milliseconds(40);
    /** What a peer suspects counts for so long, unless it confirms it: by then it has seen whether
     * other runs broke off with it, and sent word twice. */
    Duration suspicion = std::chrono::milliseconds(250);
    /** Evidence is forgotten after this long, and with it the quarantine. */
    Duration memory = std::chrono::minutes(10);
    /** A content that is held is tried once more this long after its newest evidence; after each
     * failed trial the pause grows by the factor. */
    Duration first_trial = std::chrono::seconds(15);
    int64_t trial_growth = 8;
    /** By then the fate of a worker is known where the store tells it: an entry goes after three
     * missed heartbeats, 3.6 s at the slowest heartbeat in use, and a second later all nodes know.
     */
    Duration settled_after = std::chrono::seconds(10);
    /** Contents that are remembered; beyond, those with the least evidence go first. */
    size_t most_contents = 4096;
    /** Workers remembered for one content. */
    size_t most_breaks = 16;
};

/** What became of a worker at which a run broke off. */
enum class worker_fate {
    kUnknown,
    /** It is the same start of the worker that serves on: a cut link, a reset, a broken answer. */
    kAlive,
    kEnded,
    /** It had said that it would leave. */
    kPlanned,
};

/** A run that broke off: the connection to its worker ended, or the worker fell silent. */
struct broken_run {
    uint64_t digest = 0; // of the request
    uint32_t worker = 0; // hash of the worker's incarnation
    MonotonicTime at{};
    /** Other causes are likelier: it counts only once the worker is known to have ended. */
    bool weak = false;
    /** When the run was sent; only the node that ran it knows. */
    MonotonicTime sent{};
    /** Sent before it is known whether other runs broke off with it: makes a content suspect, but
     * holds none. */
    bool suspected = false;
};

/** Whether a content may be sent to a worker. */
enum class run_permit {
    kFree,
    /** Suspect: where it harms least, and one run at a time. */
    kAlone,
    /** Suspect, and another run of it is under way here, or a worker ended under it just now. */
    kWait,
    /** It ends its workers. */
    kQuarantined,
};

/** Who wants to run a content. */
struct run_claim {
    /** This node is the one that tries again what is held. */
    bool tries = false;
    /** The request is sent again because it lost its worker. At the first such loss nearly all are
     * innocent, and go on without a pause. */
    bool lost_worker = false;
};

class crash_evidence {
public:
    /** What has become of the worker of that hash, at which a run broke off at that time. */
    using judge = std::function<worker_fate(const broken_run &run)>;

    explicit crash_evidence(const crash_knobs &knobs = {});

    /** A run of this node begins, or is over, whatever its end. */
    void note_started(uint64_t digest, MonotonicTime now);
    void note_finished(uint64_t digest);
    /** A run that broke off, here or as a peer tells. \return Whether it was not known. */
    bool note_broken(const broken_run &run);
    /** Whether the run was alone in breaking off then has turned out otherwise: run.weak says how.
     */
    void revise(const broken_run &run);
    /** Evidence up to that time proves nothing any more: a run that was sent then brought a whole
     * answer, or an operator released the content. \return Whether there was any. */
    bool clear(uint64_t digest, MonotonicTime up_to);

    run_permit permit(uint64_t digest, const run_claim &claim, MonotonicTime now) const;
    /** Whether a run of it needs to be the only one of all nodes: several workers have ended. */
    bool needs_turn(uint64_t digest, MonotonicTime now) const;
    /** Until then nobody begins a run of the content, but for one that was lost first. */
    MonotonicTime settled_at(uint64_t digest) const;
    bool under_way(uint64_t digest) const {
        return under_way_.contains(digest);
    }
    /** When a content that is held is tried again. */
    MonotonicTime next_trial(uint64_t digest) const;
    /** How many workers the content has ended, as far as known. */
    size_t ends(uint64_t digest) const;
    bool quarantined(uint64_t digest) const;

    /** Asks what has become of the workers, and forgets what is old.
     * \return The runs whose worker has turned out to have ended. */
    std::vector<broken_run> review(const judge &fate_of, MonotonicTime now);
    /** Workers that count against the content, with when its run broke off. */
    std::vector<broken_run> counted(uint64_t digest) const;
    /** All contents under which so many workers have ended. */
    std::vector<uint64_t> all_with_ends(size_t least) const;
    /** All contents that are held. */
    std::vector<uint64_t> all_quarantined() const;
    size_t size() const {
        return contents_.size();
    }

private:
    struct broken_worker {
        broken_run run;
        worker_fate fate = worker_fate::kUnknown;
    };
    struct content {
        std::vector<broken_worker> workers; // each once
        MonotonicTime cleared{};
        MonotonicTime tried{};
    };
    /** How long an entry is kept, from the break of its run. */
    Duration lifetime(const broken_worker &broken) const;
    static bool counts(const broken_worker &broken) {
        return broken.fate == worker_fate::kEnded ||
               (broken.fate == worker_fate::kUnknown && !broken.run.weak && !broken.run.suspected);
    }
    /** Counts, or may soon. */
    bool suspect(const broken_worker &broken, MonotonicTime now) const;
    /** Whether these runs prove that the content ends its workers. */
    bool prove(const std::vector<MonotonicTime> &ends) const;
    bool held(const content &known) const;
    std::vector<MonotonicTime> suspect_times(const content &known, MonotonicTime now) const;
    const content *find(uint64_t digest) const;
    static size_t ends_of(const content &known);
    static MonotonicTime newest(const content &known);
    /** Ends that came so long after the proof that only trials can have caused them. */
    size_t failed_trials(const content &known) const;
    Duration trial_pause(size_t failed) const;
    void make_room();

    const crash_knobs knobs_;
    std::unordered_map<uint64_t, content> contents_;
    std::unordered_map<uint64_t, uint32_t> under_way_;
};

} // namespace chalkshed

#endif
