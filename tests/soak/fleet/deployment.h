#ifndef CHALKSHED_TESTS_SOAK_FLEET_DEPLOYMENT_H
#define CHALKSHED_TESTS_SOAK_FLEET_DEPLOYMENT_H

/** \file
 * The configuration of a fleet soak: zones, processes, routes, load, faults and the bounds that the
 * run must keep. Read from a TOML file (tests/soak/deployments) and rejected if it is inconsistent:
 * a misspelled bound would otherwise result in a check that never fails.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/core/time.h"

namespace chalkshed::soak {

/** Lengths in bytes or counts, drawn uniformly from `fewest` to `most`. */
struct range {
    uint64_t fewest = 0;
    uint64_t most = 0;
};

struct service_options {
    std::string name;
    /** Emulated workers at the start, assigned to the zones round-robin. */
    uint64_t workers = 0;
    /** Requests that one worker processes concurrently; a few more are queued, others refused. */
    uint64_t slots = 8;
    /** Events in the answer to a streaming request or an item. */
    uint64_t events = 12;
    Duration first_event = std::chrono::milliseconds(100);
    Duration between_events = std::chrono::milliseconds(40);
    /** Percentage of answers that are sent before the request body has been read. */
    uint64_t early_answer_percent = 0;
    /** Speeds of the workers in percent of the usual; drawn for each worker. */
    range speed_percent{100, 100};
    /** How long work takes at most during slow phases, in percent of the usual time. If set, the
     * workers report it with their load, 100 outside of slow phases. */
    std::optional<uint64_t> slowdown_percent;
    /** Software versions that serve side by side at the start. If it is not 0, each event is marked
     * with the version that wrote it, and releases and rollbacks are possible. */
    uint64_t versions = 0;
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
    /** Whether another worker may continue a run; otherwise a streaming request must run at most
     * once. */
    bool resumable = false;
    /** Batch: when all results are due, and after which time an item may be dropped. */
    Duration run_target = std::chrono::seconds(18);
    Duration retention = std::chrono::seconds(300);
    /** Batch: limit of the queued tokens; no limit if unset. */
    std::optional<uint64_t> max_queued_tokens;
    /** Requests, or on a batch route jobs, per second. */
    double per_second = 0;
    /** Body length in bytes of each request or item. */
    range body;
    /** Batch: items of a job. */
    range items{1, 1};
    /** Batch: tokens that each item declares. */
    uint64_t tokens_per_item = 10;
};

/** The behaviour of callers; shares are percentages. */
struct caller_options {
    uint64_t processes = 1;
    /** Requests on connections that are reused until the node is gone. */
    uint64_t kept_percent = 33;
    /** Bodies that are sent with chunked transfer encoding. */
    uint64_t chunked_percent = 20;
    /** Requests whose caller disconnects before the answer is complete. */
    uint64_t leave_percent = 2;
    /** Jobs that are sent to several nodes at the same time with one id. */
    uint64_t several_nodes_percent = 20;
    /** Jobs that are sent again while an earlier attempt is still open. */
    uint64_t again_while_open_percent = 10;
    /** Jobs that are sent again after their end. */
    uint64_t again_after_end_percent = 5;
    /** Jobs that are ended within `end_soon` of their 202. */
    uint64_t end_soon_percent = 10;
    Duration end_soon = std::chrono::milliseconds(600);
    /** Jobs whose callers end them before they receive a 202. */
    uint64_t end_unseen_percent = 5;
    /** Jobs that are ended at two nodes at the same time. */
    uint64_t end_twice_percent = 5;
    /** Number of contents per caller process that terminate every worker that starts one, and how
     * often each of them is sent. */
    uint64_t fatal_contents = 0;
    double fatal_per_minute = 60;
    /** Items whose content terminates every worker that starts it; each has a content of its own.
     */
    uint64_t fatal_items_percent = 0;
    /** Batch items that begin with one and the same part of a prompt, which is sound. */
    uint64_t shared_items_percent = 0;
    /** Items that belong to a batch route drawn at random instead of that of their job. */
    uint64_t other_route_percent = 0;
    /** Parts of prompts that crash every worker that begins an answer on one. The callers begin to
     * send requests with them one after the other; how many with each, per second. */
    uint64_t fatal_parts = 0;
    double fatal_parts_per_second = 5;
    /** Resumable streams whose callers close their connection in the middle and take the stream up
     * at another node. */
    uint64_t take_up_percent = 0;
};

/** A kind of fault and how often it is injected. */
struct fault_options {
    std::string kind; // one of fault_kinds()
    double per_minute = 0;
    Duration shortest = std::chrono::milliseconds(500);
    Duration longest = std::chrono::seconds(5);
};

/** The bounds that the checks apply to the run. */
struct bound_options {
    /** No item of a job starts later than this after its end was acknowledged. */
    Duration ended_job = std::chrono::seconds(3);
    /** An end that was not acknowledged counts as acknowledged this long after it was sent. */
    Duration acknowledgement = std::chrono::seconds(6);
    /** A leaving worker gets no request later than this. */
    Duration leaving = std::chrono::seconds(3);
    /** A disturbance of a node or its store excuses the node for this long afterwards. */
    Duration contact = std::chrono::seconds(4);
    /** Requests with a part that crashes workers reach none later than this after its fifth crash.
     */
    Duration part_lateness = std::chrono::seconds(3);
    /** A run that another one goes on with ends within this. */
    Duration overlap = std::chrono::milliseconds(400);
    /** An accepted job that was not ended lists all items this long after its 202. */
    Duration finish = std::chrono::seconds(60);
    /** A run is invalid if the 99th percentile of the timer lag of a test process exceeds this. */
    Duration lag = std::chrono::milliseconds(50);
};

struct deployment {
    std::vector<std::string> zones;
    /** Node processes, assigned to the zones round-robin. */
    uint64_t nodes = 0;
    /** Entries of `contracts=` in the settings of the nodes, such as "health". */
    std::vector<std::string> contracts;
    /** Processes that emulate the workers. */
    uint64_t worker_processes = 1;
    /** The latency of the store's answers. */
    Duration store_answer = std::chrono::milliseconds(4);
    Duration store_history = std::chrono::seconds(20);
    /** How long load and faults last, and how long the system may settle afterwards. */
    Duration length = std::chrono::seconds(60);
    Duration settle = std::chrono::seconds(40);
    std::vector<service_options> services;
    std::vector<route_options> routes;
    caller_options callers;
    std::vector<fault_options> faults;
    bound_options bounds;
    /** The least number of tested cases of a check, by check_name(); see checks.h. */
    std::map<std::string, uint64_t> floors;

    /** \return All processes of the run: nodes, workers, callers, store and coordinator. */
    uint64_t processes() const;
    uint64_t workers() const;
};

/** The fault kinds that a file may use. */
const std::vector<std::string> &fault_kinds();

/** What is wrong with a deployment file, and what to write instead. */
struct deployment_problem {
    std::string file;
    /** 0 if there is no line to report. */
    uint64_t line = 0;
    std::string field;
    std::string message;
    std::string remedy;
};

/** \return "FILE:LINE: FIELD: MESSAGE; REMEDY". */
std::string to_string(const deployment_problem &problem);

using deployment_result = tl::expected<deployment, std::vector<deployment_problem>>;

/** Reads TOML; `file` is only used in problems. \return The deployment, or all problems. */
deployment_result parse_deployment(std::string_view text, const std::string &file);

deployment_result read_deployment(const std::string &file);

} // namespace chalkshed::soak

#endif
