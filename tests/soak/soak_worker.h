#ifndef CHALKSHED_TESTS_SOAK_SOAK_WORKER_H
#define CHALKSHED_TESTS_SOAK_SOAK_WORKER_H

/** \file
 * A worker of the soak: streams the events of each request, and can inject the faults of real
 * workers.
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

/** The outcome of an item, the same at each of its runs; depends on its number in the job. */
enum class item_fate { kCompletes, kFails, kImpossible };
item_fate fate_of(const std::string &item);
constexpr int kFailedStatus = 500;
constexpr int kImpossibleStatus = 422;

/** The data of one event of a request; contains both ids, so that mixed-up answers are detected. */
std::string event_data(const std::string &request, uint64_t event);

/** A run that a worker has started. */
struct run_record {
    std::string request;
    /** The message as received, to be compared with the one its caller sent. */
    carried_message message;
    uint64_t resume_after = 0;
    /** The remote address of its connection. */
    Address sender;
    std::string service;
    std::string worker;
    /** The tenant in the request's headers, and whether they contained an API key. */
    std::string tenant;
    bool key_seen = false;
    MonotonicTime began{};
    bool broken = false; // the worker aborted or delayed it
    bool failed = false; // the worker answered with a status that reports the item as failed
};

class soak_worker : public HttpHandler {
public:
    /** Called when a run starts; the worker later marks the run as broken or failed through the
     * returned pointer. */
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

    /** Percentage of requests that are aborted, at once or midway. */
    uint32_t broken_percent = 0;
    /** Percentage of requests that are refused without being run. */
    uint32_t refused_percent = 0;
    /** Percentage of requests that are started, but answered only seconds later or never. */
    uint32_t mute_percent = 0;
    /** When it announced that it leaves; the epoch if it has not. */
    MonotonicTime leaving{};

private:
    struct stream {
        ResponseWriterPtr writer;
        std::string request;
        uint64_t next = 1;
        uint64_t aborts_before = 0; // 0: it is not aborted
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
