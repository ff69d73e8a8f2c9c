#ifndef CHALKSHED_TESTS_SOAK_SOAK_WORKER_H
#define CHALKSHED_TESTS_SOAK_SOAK_WORKER_H

/** \file
 * A worker of the soak: streams the events of each request, and fails in the ways that real ones
 * do.
 */

#include <functional>
#include <map>
#include <string>

#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/event/event_dispatcher.h"
#include "src/http/http_server.h"
#include "tests/soak/fleet/records.h"

namespace chalkshed::soak {

constexpr uint64_t kEvents = 12;

/** How an item fares at each of its runs, by its number in the job. */
enum class item_fate { kCompletes, kFails, kImpossible };
item_fate fate_of(const std::string &item);
constexpr int kFailedStatus = 500;
constexpr int kImpossibleStatus = 422;

/** The data of one event of a request: names both, so that a mixed answer shows. */
std::string event_data(const std::string &request, uint64_t event);

/** A run that has begun at a worker. */
struct run_record {
    std::string request;
    /** What came of it, to be compared with what its caller sent. */
    carried_message message;
    uint64_t resume_after = 0;
    /** The other end of its connection. */
    Address sender;
    std::string service;
    std::string worker;
    /** Whose request it is by what the worker was told; and whether a key came with it. */
    std::string tenant;
    bool key_seen = false;
    MonotonicTime began{};
    bool broken = false; // by the worker, or held up by it
    bool failed = false; // the worker answered that the item failed
};

class soak_worker : public HttpHandler {
public:
    /** Told of each run as it begins; may mark it later as broken through the pointer. */
    using run_observer = std::function<run_record *(run_record)>;

    soak_worker(EventDispatcher &dispatcher, RandomGenerator &random, std::string incarnation,
                std::string service, run_observer observer);

    void handle(HttpRequest request, ResponseWriterPtr writer) override;

    const std::string &incarnation() const {
        return incarnation_;
    }
    const std::string &service() const {
        return service_;
    }
    const Address &address() const {
        return server_.local();
    }

    /** Of 100 requests, so many are broken off, at once or midway. */
    uint32_t broken_percent = 0;
    /** Of 100 requests, so many are refused without being run. */
    uint32_t refused_percent = 0;
    /** Of 100 requests, so many are begun and answered seconds later, or never. */
    uint32_t mute_percent = 0;
    /** When it said that it leaves; the epoch when it has not. */
    MonotonicTime leaving{};

private:
    struct stream {
        ResponseWriterPtr writer;
        std::string request;
        uint64_t next = 1;
        uint64_t breaks_before = 0; // 0: it does not break
        run_record *run = nullptr;
    };

    void answer(uint64_t number);
    void send_event(uint64_t number);

    EventDispatcher &dispatcher_;
    RandomGenerator &random_;
    std::string incarnation_;
    std::string service_;
    run_observer observer_;
    std::map<uint64_t, stream> streams_;
    uint64_t next_stream_ = 0;
    Lifetime lifetime_;
    HttpServer server_;
};

} // namespace chalkshed::soak

#endif
