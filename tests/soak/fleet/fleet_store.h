#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_STORE_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_STORE_H

/** \file
 * Stand-in of the platform's store for many nodes: rows with their history and raw objects over
 * HTTP, with the troubles of the real one. Commits of one partition follow each other, and a
 * partition with more than a second of them waiting turns the next away, as the real one does.
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

/** What goes wrong at the store now. */
struct store_troubles {
    /** Answers everything with it and does nothing, unless 0. */
    int status = 0;
    /** Calls get no answer, and nothing is done. */
    bool silent = false;
    /** Added to the time of each answer. */
    Duration delay{0};
    /** Of 100 calls, so many get no answer, nor does anything later on their connections. */
    uint32_t lost_percent = 0;
    /** The commits without an answer are applied this much later. */
    Duration late{0};
    /** The connections of these callers are closed. */
    std::set<std::string> turned_away;
};

class fleet_store : public HttpHandler {
public:
    fleet_store(EventDispatcher &dispatcher, RandomGenerator &random, Duration answer_time,
                Duration history);
    ~fleet_store() override;
    fleet_store(const fleet_store &) = delete;
    fleet_store &operator=(const fleet_store &) = delete;

    void handle(HttpRequest request, ResponseWriterPtr writer) override;
    /** Writes a row, or removes it, as the operator and the workers do; no trouble stops it. */
    void put(const std::string &table, const std::string &key,
             const std::optional<std::string> &value);
    void set_troubles(store_troubles troubles);
    void drop_history();
    /** Calls so far by path. */
    const std::map<std::string, uint64_t> &calls() const {
        return calls_;
    }

private:
    struct follower {
        std::string table;
        StoreVersion since = 0;
        MonotonicTime until{};
        ResponseWriterPtr writer;
    };
    /** A writer that outlives the delay of its answer, or has none. */
    struct waiting_answer {
        ResponseWriterPtr writer;
        HttpResponse response;
    };

    /** What all callers together may do within a second. */
    struct call_budget {
        uint64_t most = 0;
        uint64_t left = 0;
        MonotonicTime renewed{};
    };

    /** Whether the call is beyond what the store takes in a second. */
    bool over_budget(const HttpRequest &request);
    bool troubled(const HttpRequest &request, ResponseWriterPtr &writer);
    void transact(const HttpRequest &request, ResponseWriterPtr writer);
    void commit(const StoreTransaction &transaction, ResponseWriterPtr writer);
    void commit_unanswered(StoreTransaction transaction, ResponseWriterPtr writer);
    /** When the partition has carried out a call that comes now; nothing when it is overrun. */
    std::optional<Duration> turn_of(const std::string &partition);
    void read(const HttpRequest &request, ResponseWriterPtr writer);
    void follow(const HttpRequest &request, ResponseWriterPtr writer);
    void handle_object(const HttpRequest &request, ResponseWriterPtr writer);
    /** Rows as the body of an answer, with the store's version and clock. */
    std::string encode(const std::vector<encoded_row_ptr> &rows,
                       const std::string &more = {}) const;
    void answer(ResponseWriterPtr writer, HttpResponse response, Duration takes);
    /** Whether the next answer is lost. */
    bool lost();
    /** Keeps the connection without a word. */
    void keep_silent(ResponseWriterPtr writer);
    /** Followers are answered together a few milliseconds after a change, not at each. */
    void wake_soon();
    void wake();
    void tidy();
    MonotonicTime now() const {
        return time_source_.monotonic_now();
    }

    EventDispatcher &dispatcher_;
    RandomGenerator &random_;
    const Duration answer_time_;
    const Duration history_;
    SystemTimeSource time_source_;
    MonotonicTime began_;
    indexed_rows rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, uint64_t> calls_;
    call_budget writes_;
    call_budget reads_;
    std::map<std::string, MonotonicTime> busy_until_; // by partition
    std::list<follower> followers_;
    std::list<waiting_answer> waiting_;
    store_troubles troubles_;
    TimerPtr wake_timer_;
    TimerPtr tidy_timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed::soak

#endif
