#ifndef CHALKSHED_TESTS_SOAK_FLEET_DEPLOYMENT_H
#define CHALKSHED_TESTS_SOAK_FLEET_DEPLOYMENT_H

/** \file
 * What the fleet soak runs: places, processes, routes, load, faults and what is asked of the run.
 * Read from a TOML file (tests/soak/deployments), which is refused where it makes no sense: a
 * misspelled bound would pass as a check that never fails.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/core/time.h"

namespace chalkshed::soak {

/** Lengths in bytes or counts, drawn evenly from `fewest` to `most`. */
struct range {
    uint64_t fewest = 0;
    uint64_t most = 0;
};

struct service_options {
    std::string name;
    /** Emulated workers at the start, spread over the zones in turn. */
    uint64_t workers = 0;
    /** Requests that one worker works on at once; a few more wait, the rest is refused. */
    uint64_t slots = 8;
    /** Events of an answer on a streaming route or of an item. */
    uint64_t events = 12;
    Duration first_event = std::chrono::milliseconds(100);
    Duration between_events = std::chrono::milliseconds(40);
    /** Of 100 answers, so many are sent before the body has been read. */
    uint64_t early_answer_percent = 0;
};

enum class route_kind { kStreaming, kIdempotent, kNonIdempotent, kBatch };

struct route_options {
    std::string name; // its path prefix is "/<name>/"
    route_kind kind = route_kind::kStreaming;
    std::string service;
    uint64_t attempts = 3;
    Duration timeout = std::chrono::seconds(8);
    Duration target = std::chrono::milliseconds(500);
    uint64_t priority = 0;
    /** Whether a run may be continued at another worker; without it a streaming request must run
     * once. */
    bool resumable = false;
    /** Batch: when all results are due, and when an item may be given up. */
    Duration run_target = std::chrono::seconds(18);
    Duration retention = std::chrono::seconds(300);
    /** Batch: tokens that may wait; no limit without it. */
    std::optional<uint64_t> max_queued_tokens;
    /** Requests or, on a batch route, jobs a second. */
    double per_second = 0;
    /** Bytes of each request's or item's body. */
    range body;
    /** Batch: items of a job. */
    range items{1, 1};
    /** Batch: tokens that each item declares. */
    uint64_t tokens_per_item = 10;
};

/** How callers behave; each share is of 100. */
struct caller_options {
    uint64_t processes = 1;
    /** Requests on connections that are kept until the node is gone. */
    uint64_t kept_percent = 33;
    /** Bodies that are sent in chunks. */
    uint64_t chunked_percent = 20;
    /** Requests whose caller leaves before the answer is whole. */
    uint64_t leave_percent = 2;
    /** Jobs that are sent to several nodes at the same time under one id. */
    uint64_t several_nodes_percent = 20;
    /** Jobs that are sent again while an earlier attempt is still open. */
    uint64_t again_while_open_percent = 10;
    /** Jobs that are sent again after their end. */
    uint64_t again_after_end_percent = 5;
    /** Jobs that are ended within `end_soon` of their 202. */
    uint64_t end_soon_percent = 10;
    Duration end_soon = std::chrono::milliseconds(600);
    /** Jobs whose callers end them without having seen a 202. */
    uint64_t end_unseen_percent = 5;
    /** Jobs that are ended at two nodes at the same time. */
    uint64_t end_twice_percent = 5;
    /** Contents of each caller process that end each worker that begins one, and how often each of
     * them is sent. */
    uint64_t fatal_contents = 0;
    double fatal_per_minute = 60;
};

/** A kind of fault and how often it comes. */
struct fault_options {
    std::string kind; // one of fault_kinds()
    double per_minute = 0;
    Duration shortest = std::chrono::milliseconds(500);
    Duration longest = std::chrono::seconds(5);
};

/** What the run is asked to keep, as the checks judge it. */
struct bound_options {
    /** Nothing of a job begins later than this after its end was acknowledged. */
    Duration ended_job = std::chrono::seconds(3);
    /** An end that nobody acknowledged counts as acknowledged so long after it was sent. */
    Duration acknowledgement = std::chrono::seconds(6);
    /** A leaving worker gets nothing later than this. */
    Duration leaving = std::chrono::seconds(3);
    /** What happens to a node or its store excuses it for so long afterwards. */
    Duration contact = std::chrono::seconds(4);
    /** An accepted job that nobody ended lists all items so long after its 202. */
    Duration finish = std::chrono::seconds(60);
    /** A run whose rig's timers came later than this, at the 99th of 100, is invalid. */
    Duration lag = std::chrono::milliseconds(50);
};

struct deployment {
    std::vector<std::string> zones;
    /** Node processes, spread over the zones in turn. */
    uint64_t nodes = 0;
    /** Processes that emulate the workers. */
    uint64_t worker_processes = 1;
    /** What the store takes for an answer. */
    Duration store_answer = std::chrono::milliseconds(4);
    Duration store_history = std::chrono::seconds(20);
    /** How long faults and load come, and how long all may settle afterwards. */
    Duration length = std::chrono::seconds(60);
    Duration settle = std::chrono::seconds(40);
    std::vector<service_options> services;
    std::vector<route_options> routes;
    caller_options callers;
    std::vector<fault_options> faults;
    bound_options bounds;
    /** How often a check must really have been tested, by check_name(); see checks.h. */
    std::map<std::string, uint64_t> floors;

    /** \return All processes of the run: nodes, workers, callers, store and coordinator. */
    uint64_t processes() const;
    uint64_t workers() const;
};

/** The kinds of faults that a file may name. */
const std::vector<std::string> &fault_kinds();

/** What is wrong with a deployment file, and what to write instead. */
struct deployment_problem {
    std::string file;
    /** 0 where a field is missing altogether. */
    uint64_t line = 0;
    std::string field;
    std::string message;
    std::string remedy;
};

/** \return "FILE:LINE: FIELD: MESSAGE; REMEDY". */
std::string to_string(const deployment_problem &problem);

using deployment_result = tl::expected<deployment, std::vector<deployment_problem>>;

/** Reads TOML; `file` is only named in problems. \return The deployment, or all problems. */
deployment_result parse_deployment(std::string_view text, const std::string &file);

deployment_result read_deployment(const std::string &file);

} // namespace chalkshed::soak

#endif
