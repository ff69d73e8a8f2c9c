#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_STORE_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_STORE_H

/** \file
 * Emulates the platform's store for many nodes: rows with their history and raw objects over HTTP,
 * with injected faults. As in the real store, commits of one partition are serialized, and a
 * partition with more than a second of queued commits rejects the next.
 */

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/http_server.h"
#include "tests/soak/fleet/indexed_rows.h"

namespace chalkshed::soak {

/** The faults that the store currently injects. */
struct store_faults {
    /** If not 0, every call is answered with this status and has no effect. */
    int status = 0;
    /** Calls get no answer and have no effect. */
    bool silent = false;
    /** Added to the time of each answer. */
    Duration delay{0};
    /** Percentage of calls that get no answer, nor do later calls on their connections. */
    uint32_t lost_percent = 0;
    /** Additional delay before an unanswered commit is applied. */
    Duration late{0};
    /** Connections from these IP addresses are closed. */
    std::set<std::string> blocked_ips;
};

class fleet_store : public HttpHandler {
public:
    fleet_store(EventDispatcher &dispatcher, RandomGenerator &random, Duration answer_time,
                Duration history);
    ~fleet_store() override;
    fleet_store(const fleet_store &) = delete;
    fleet_store &operator=(const fleet_store &) = delete;

    void handle(HttpRequest request, ResponseWriterPtr writer) override;
    /** Writes a row, or removes it, as the operator and the workers do; not subject to faults. */
    void put(const std::string &table, const std::string &key,
             const std::optional<std::string> &value);
    void set_faults(store_faults faults);
    void drop_history();
    /** Calls so far by path. */
    const std::map<std::string, uint64_t> &calls() const {
        return calls_;
    }

private:
    struct watcher {
        std::string table;
        StoreVersion since = 0;
        MonotonicTime until{};
        ResponseWriterPtr writer;
    };
    /** Keeps a writer alive until its answer is sent or, without one, until a timeout. */
    struct pending_answer {
        ResponseWriterPtr writer;
        HttpResponse response;
    };

    /** Call limit per second, shared by all callers. */
    struct call_budget {
        uint64_t limit = 0;
        uint64_t remaining = 0;
        MonotonicTime window_start{};
    };

    /** Counts the call; returns whether it exceeds the limit per second. */
    bool over_budget(const HttpRequest &request);
    bool answer_with_fault(const HttpRequest &request, ResponseWriterPtr &writer);
    void transact(const HttpRequest &request, ResponseWriterPtr writer);
    void commit(const StoreTransaction &transaction, ResponseWriterPtr writer);
    void commit_without_answer(StoreTransaction transaction, ResponseWriterPtr writer);
    /** Delay until the partition has done a commit that arrives now; nothing when its queue is
     * full. */
    std::optional<Duration> reserve_commit(const std::string &partition);
    void read(const HttpRequest &request, ResponseWriterPtr writer);
    void watch(const HttpRequest &request, ResponseWriterPtr writer);
    void handle_object(const HttpRequest &request, ResponseWriterPtr writer);
    /** Rows as the body of an answer, with the store's version and clock. */
    std::string encode(const std::vector<encoded_row_ptr> &rows,
                       const std::string &more = {}) const;
    void answer(ResponseWriterPtr writer, HttpResponse response, Duration takes);
    /** Whether the next answer is lost. */
    bool loses_answer();
    /** Keeps the connection open without an answer. */
    void withhold_answer(ResponseWriterPtr writer);
    /** Batches the answers to watchers: they are sent a few milliseconds after a change. */
    void schedule_notify();
    void notify_watchers();
    void trim_history();
    MonotonicTime now() const {
        return time_source_.monotonic_now();
    }

    EventDispatcher &dispatcher_;
    RandomGenerator &random_;
    const Duration answer_time_;
    const Duration history_;
    SystemTimeSource time_source_;
    MonotonicTime started_at_;
    indexed_rows rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, uint64_t> calls_;
    call_budget writes_;
    call_budget reads_;
    std::map<std::string, MonotonicTime> busy_until_; // by partition
    std::list<watcher> watchers_;
    std::list<pending_answer> pending_answers_;
    store_faults faults_;
    TimerPtr notify_timer_;
    TimerPtr trim_timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed::soak

#endif
