#ifndef CHALKSHED_REQUEST_RUNS_H
#define CHALKSHED_REQUEST_RUNS_H

/** \file
 * Finds in the logs of several nodes the sends of a request or an item to workers, and what the
 * nodes concluded of each: whether it ran, and on what evidence. Two runs of a request that may run
 * once, or two that overlap, show here. */

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "src/explain/timeline.h"

namespace chalkshed {

/** What the node that sent a request concluded of the send. */
enum class run_conclusion {
    /** No line about its end is in the logs. */
    kNone,
    kAnswered,
    /** It did not run; see request_run::proof. */
    kNotRun,
    /** It was taken as not run, and its worker answered it nevertheless. */
    kRanAfterAll,
    /** No complete answer: it may have run. */
    kMayHaveRun,
    /** The node ended it for other work. */
    kPreempted,
};

/** \return The stable name of the conclusion, as printed. */
std::string_view run_conclusion_name(run_conclusion conclusion);

/** A send to a worker. */
struct request_run {
    std::string node;
    std::string worker;
    /** Times as logged; the end is empty if it is not logged. */
    std::string began;
    std::string ended;
    /** Requests sent over its connection, this one included; empty if it is not logged. */
    std::string connection_use;
    /** Id of the last event of earlier runs, after which this one goes on; empty if it is the
     * first or starts over. */
    std::string resume_after;
    run_conclusion conclusion = run_conclusion::kNone;
    /** On what it rests that the request did not run; kNotRun and kRanAfterAll only. */
    std::string proof;
    std::string reason;
};

/** \param lines Log lines of any number of nodes, in any order.
 * \return The sends under that id, in the order of their begin. */
std::vector<request_run> find_runs(std::vector<LogLine> lines, const std::string &id);
/** \return How many of the runs may have run: all but those that certainly did not. */
size_t count_possible_runs(const std::vector<request_run> &runs);
/** \return Whether the run began while an earlier one at another worker had not ended. */
bool overlaps_earlier(const std::vector<request_run> &runs, size_t run);
/** Prints one line per run, and how many may have run. */
void print_runs(const std::vector<request_run> &runs, std::ostream &output);

} // namespace chalkshed

#endif
