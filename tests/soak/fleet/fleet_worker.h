#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_WORKER_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_WORKER_H

/** \file
 * An emulated worker: slots, a short queue, paced event streams, and the faults of real workers.
 * Records the start and the end of each run.
 */

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "src/core/lifetime.h"
#include "tests/soak/fleet/role_process.h"
#include "tests/soak/fleet/wire_server.h"

namespace chalkshed::soak {

/** Percentage of requests that currently hit each fault. */
struct worker_faults {
    uint64_t broken = 0;
    uint64_t refused = 0;
    /** Started, and answered seconds later or never. */
    uint64_t mute = 0;
    /** Answered with status 500 at once. */
    uint64_t failing = 0;
    /** Answered without the proof of origin. */
    uint64_t wrong = 0;
    /** Answered by bytes without end that are no answer. */
    uint64_t endless = 0;
    /** Answered with one answer more, which is not the one to the request. */
    uint64_t surplus = 0;
};

class fleet_worker : private wire_handler {
public:
    /** \param version Of its software; empty: its record names none and its events are not marked.
     */
    fleet_worker(role_process &process, const service_options &service, std::string version,
                 std::string incarnation, std::string zone, const Address &local);
    ~fleet_worker() override;

    const std::string &incarnation() const {
        return incarnation_;
    }
    const service_options &service() const {
        return service_;
    }
    const std::string &version() const {
        return version_;
    }
    const std::string &zone() const {
        return zone_;
    }
    const Address &address() const {
        return server_.local();
    }
    WallTime started() const {
        return started_;
    }
    /** Ends all runs and connections, as in a process crash. */
    void crash();
    /** Later answers ask their callers to close the connection. */
    void drain() {
        draining_ = true;
    }
    bool draining() const {
        return draining_;
    }
    bool crashed() const {
        return crashed_;
    }

    /** The ids of the batch items that it runs. */
    std::vector<std::string> items() const;

    worker_faults faults;
    /** Called when a request that the worker has started is to crash it. */
    std::function<void(const std::string &id, const std::string &content)> on_fatal;

private:
    struct run {
        uint64_t number = 0; // 0: waits in the queue
        HttpRequest request;
        std::string id;
        wire_answer_ptr answer;
        uint64_t next_event = 1;
        uint64_t breaks_at_event = 0; // 0: it does not break
        TimerPtr timer;
    };
    using run_ptr = std::shared_ptr<run>;

    std::optional<HttpResponse> answer_early(const HttpRequest &head) override;
    void handle(HttpRequest request, wire_answer_ptr answer) override;
    void handle_malformed(const Address &peer, const std::string &head) override;

    /** The response if the request is refused; decided from the head alone. */
    std::optional<HttpResponse> refusal(const HttpRequest &head);
    HttpResponse not_run_response(int status, const std::string &id) const;
    /** Sends a surplus answer ahead of the answer to this run, or shortly after it. */
    void send_surplus(const run &current);
    void send_later(const std::function<void(const HttpResponse &)> &sender, HttpResponse response);
    /** A surplus answer; most name no request, others another one. */
    HttpResponse surplus_response();
    void begin(const run_ptr &added);
    void schedule_crash_by(const run &fatal, const std::string &cause);
    void begin_queued();
    /** Answers with a failure if one of the faults says so. \return Whether it did. */
    bool answer_wrongly(const run_ptr &current);
    /** Sends bytes that are no answer until the caller closes the connection. */
    void flood(const run_ptr &current, const std::string &bytes);
    void begin_answer(const run_ptr &current);
    bool is_stream(const run &current) const;
    uint64_t events_of(const run &current) const;
    /** How long work takes now, in percent of the usual time; changes several times per second. */
    uint64_t slowdown() const;
    /** The time that work of this usual duration takes at this worker now. */
    Duration at_own_pace(Duration usual) const;
    HttpHeaders response_headers(const run &current) const;
    void send_event(const run_ptr &current);
    void end(const run_ptr &current, run_outcome outcome);

    role_process &process_;
    service_options service_;
    /** In percent of the usual. */
    uint64_t speed_ = 100;
    std::string version_;
    std::string incarnation_;
    std::string zone_;
    std::map<uint64_t, run_ptr> running_; // by number
    std::deque<run_ptr> queue_;
    bool draining_ = false;
    bool crashed_ = false;
    const WallTime started_ =
        std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    wire_server server_;
    Lifetime lifetime_;
};

} // namespace chalkshed::soak

#endif
