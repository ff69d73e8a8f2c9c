#ifndef CHALKSHED_TESTS_SOAK_SOAK_H
#define CHALKSHED_TESTS_SOAK_SOAK_H

/** \file
 * A randomized fault soak: real node processes with an emulated platform store and emulated
 * workers, callers and operator. Faults are drawn from a seeded random generator; the observations
 * of callers, workers and the store are checked against invariants.
 *
 * The processes run in real time, so that a seed reproduces the faults but not every interleaving.
 */

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/event_http_client.h"
#include "tests/platform/store_stand_in.h"
#include "tests/soak/fleet/checks.h"
#include "tests/soak/fleet/records.h"
#include "tests/soak/node_process.h"
#include "tests/soak/soak_worker.h"

namespace chalkshed::soak {

struct soak_options {
    std::string program;
    std::string folder;
    uint64_t seed = 1;
    size_t nodes = 5;
    size_t workers = 6;
    Duration length = std::chrono::seconds(60);
    /** Nodes listen on 127.0.<network>.1 and the addresses after it; concurrent runs need different
     * networks. */
    unsigned network = 9;
};

/** An API key that the operator has assigned to a tenant and possibly revoked. */
struct soak_key {
    std::string key;
    std::string tenant;
    MonotonicTime assigned{};
    std::optional<MonotonicTime> revoked;
};

struct soak_result {
    uint64_t faults = 0;
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t jobs = 0;
    uint64_t items_listed = 0;
    uint64_t over_limit = 0;
    uint64_t unknown_keys = 0;
    uint64_t items_failed = 0;
    std::vector<std::string> violations;
    /** The result of the checks on the records of callers and workers. */
    check_report report;
};

class soak_run {
public:
    explicit soak_run(soak_options options);
    ~soak_run();
    soak_run(const soak_run &) = delete;
    soak_run &operator=(const soak_run &) = delete;
    soak_result run();

private:
    struct online_call;
    struct job {
        std::string id;
        size_t items = 0;
        bool accepted = false;
        bool refused = false; // by every attempt so far
        uint64_t attempts = 0;
        /** Its caller has sent an end, which may have been accepted even without an answer. */
        bool end_sent = false;
        std::optional<MonotonicTime> ended;
        std::vector<std::string> listed;
    };
    struct move {
        uint64_t version = 0;
        std::string service;
        MonotonicTime written{};
    };
    struct fault {
        const char *name;
        void (soak_run::*begin)();
    };
    static const std::vector<fault> &faults();

    // The operator.
    void write_configuration(const std::string &service);
    void write_worker(const soak_worker &worker, const char *state);
    void add_worker(const std::string &service);

    // Faults.
    void kill_node();
    void kill_all_nodes();
    void freeze_node();
    void stop_node();
    void begin_stop(node_process &node);
    void reload_node();
    void refuse_at_store();
    void lose_commits();
    void drop_history();
    void break_worker();
    void overload_worker();
    void replace_worker();
    void crash_worker();
    void mute_worker();
    /** Series of changes and signals that overlap. */
    void signal_in_series();
    void stop_two_nodes();
    void change_in_series();
    void move_route();
    void take_key();

    // Load.
    void send_request();
    void submit_job();
    void send_job(const std::string &id);
    /** The items in the JSON of the job; each is also added to `sent`. */
    nlohmann::json items_of(const std::string &id, size_t count, job_send &sent);
    void note_job_answer(const std::string &id, uint64_t attempt, const std::string &node,
                         const Expected<HttpResponse> &answer);
    void read_job(const std::string &id);
    void end_some_job();
    /** Repeats an end until it is acknowledged or the node answers that there is no such job. */
    void send_end(const std::string &id);
    HttpRequest message(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &key);
    /** A current API key of the tenant that owns all jobs. */
    std::string job_key() const;

    // Checks.
    run_record *note_run(run_record run);
    void check_online(online_call &call);
    void check_tenant(const run_record &run);
    void check_limit(const run_record &run);
    void check_attempts(const run_record &run);
    bool excused(const online_call &call) const;
    void record_run(const run_record &run, uint64_t number);
    void record_answer(const online_call &call, bool matches);
    void record_disturbance(const std::string &kind, disturbed_part part, const std::string &target,
                            Duration length = {});
    /** The address of the node that sent the run, or "unknown" if none can be determined. */
    std::string sender_ip(const run_record &run, const soak_worker &worker) const;
    void start_node(node_process &node);
    void record_lag();
    /** Runs the checks on all records and stores their report in the result. */
    void check_all_records();
    void check_page(job &of, uint32_t from, const std::string &body);
    void check_end();
    void violate(const std::string &what);

    void inject_fault();
    void keep_nodes_running();
    void heal();
    void store_disturbed();
    bool undisturbed(const node_process &node) const;
    node_process &any_node();
    soak_worker *any_worker();
    MonotonicTime now() const {
        return time_source_.monotonic_now();
    }
    /** Runs `function` after `delay` unless the run has ended. */
    void later(Duration delay, std::function<void()> function);

    soak_options options_;
    SystemTimeSource time_source_;
    EventDispatcher dispatcher_;
    SeededRandomGenerator random_;
    EventHttpClient client_;
    std::unique_ptr<platform::StoreStandIn> store_;
    std::vector<std::unique_ptr<node_process>> nodes_;
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::map<uint64_t, std::unique_ptr<online_call>> calls_;
    std::map<std::string, job> jobs_;
    std::vector<std::unique_ptr<run_record>> runs_;
    std::map<std::string, size_t> runs_of_;
    std::set<std::string> refused_;
    std::vector<move> moves_;
    std::vector<soak_key> keys_;
    std::map<std::string, soak_key> key_of_; // by request
    std::deque<MonotonicTime> hot_runs_;     // within the last window
    MonotonicTime store_disturbed_{};
    MonotonicTime began_{};
    uint64_t version_ = 0;
    uint64_t next_id_ = 0;
    bool ending_ = false;
    std::vector<record> records_;
    std::set<std::string> sent_ids_;
    MonotonicTime next_tick_{};
    std::vector<Duration> lateness_;
    soak_result result_;
    Lifetime lifetime_;
};

} // namespace chalkshed::soak

#endif
