#ifndef CHALKSHED_TESTS_SOAK_FLEET_CHECKS_H
#define CHALKSHED_TESTS_SOAK_FLEET_CHECKS_H

/** \file
 * The invariants of a soak run, checked on its records. The evidence is what callers, workers and
 * the store observed, never what a node reports about itself.
 */

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "tests/soak/fleet/deployment.h"
#include "tests/soak/fleet/part_checks.h"
#include "tests/soak/fleet/records.h"
#include "tests/soak/fleet/version_checks.h"

namespace chalkshed::soak {

enum class check_kind {
    kSent,           /**< every id that ran was sent by a caller before */
    kUnaltered,      /**< workers get method, path, query, body and recorded headers as the caller
                        sent them */
    kRefusedRequest, /**< a request whose answer promises that it is never run did not run */
    kRefusedJob,     /**< no item ran of a job that every attempt refused in that way */
    kEndedJob,       /**< no item of a job starts later than the bound after the 200 to its end */
    kUnansweredEnd,  /**< the same for ends that were not acknowledged in time */
    kOnce,           /**< requests that may run only once run at most once */
    kWholeAnswer,    /**< callers get the complete answer to their own request */
    kListing,        /**< the listed items of a job keep their position, state and text */
    kCompleteJob,    /**< an accepted job that was not ended lists every item */
    kLeavingWorker,  /**< a leaving worker gets no request after the bound */
    kFatalContent,   /**< a content that terminated three workers reaches at most three more after
                        the contact time */
    kEndsOfContent,  /**< a content terminates few workers in total, even if many copies are sent */
    kInnocent,       /**< no other request is refused because workers terminated */
    kStreamVersions, /**< all events of a stream, over its caller's attempts, are of one version */
    kItemVersions,   /**< so are those of an item */
    kTakenUp,        /**< streams that callers take up go on, against those that begin */
    kFatalPart,      /**< requests with a part that crashes workers are kept from them */
    kPartRequests,   /**< counts the requests with such a part */
    kOneRun,         /**< a run that goes on with another ends it within the bound */
    kSoundPart,      /**< sound requests with the same first part begin as before */
};

/** All kinds in the order of the report. */
const std::vector<check_kind> &all_checks();

/** \return The name in reports and in the floors of a deployment file. */
std::string check_name(check_kind kind);

/** The result of one check. */
struct check_result {
    /** How often the case that the check covers occurred. */
    uint64_t tested = 0;
    /** The least value of `tested` for the run to be conclusive. */
    uint64_t floor = 0;
    uint64_t violations = 0;
    /** Cases that would be violations if the sender or its store had not been disturbed shortly
     * before. */
    uint64_t excused = 0;
    /** Descriptions of the first violations and the first excused cases; the latter are marked. */
    std::vector<std::string> examples;
};

struct spread {
    uint64_t samples = 0;
    Duration p50{};
    Duration p99{};
    Duration most{};
};

struct check_report {
    std::map<check_kind, check_result> checks;
    /** Time from the acknowledgement of an end to the last start of an item of its job; 0 if none
     * started afterwards. Over all ended jobs, disturbed or not. */
    spread end_to_last_begin;
    /** Jobs whose end was answered with 404 and that no node had accepted with a 202: not checked,
     * because there was nothing to end yet. */
    uint64_t ends_unjudged = 0;
    uint64_t requests = 0;
    uint64_t jobs = 0;
    uint64_t runs = 0;
    version_report versions;
    part_report parts;
    /** The test process with the highest 99th percentile of timer lag. */
    process_lag worst_lag;
    /** Why the run is inconclusive; empty if it is valid. */
    std::vector<std::string> invalid;

    uint64_t violations() const;
    /** The checks whose case occurred less often than their floor requires. */
    std::vector<check_kind> below_floor() const;
    /** Whether the run is valid, without violations, and no check is below its floor. */
    bool passed() const;
};

check_report check_records(const std::vector<record> &records, const deployment &of);

/** Prints a line for each example, then the report as one line of JSON. */
void print_report(const check_report &report, std::ostream &output);

/** Prints one line with the counts of streams, items and attempts. */
void print_versions(const version_report &versions, std::ostream &output);

/** One line of the counts, as "parts=N fatal_sent=N ...". */
void print_parts(const part_report &parts, std::ostream &output);

} // namespace chalkshed::soak

#endif
