#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_WORKER_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_WORKER_H

/** \file
 * An emulated worker: slots, a short queue, streams of events at a pace, and the faults that real
 * workers have. Notes each run as it begins and ends.
 */

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "src/core/lifetime.h"
#include "tests/soak/fleet/role_process.h"
#include "tests/soak/fleet/wire_server.h"

namespace chalkshed::soak {

/** Shares of 100 requests that meet each fault now. */
struct worker_faults {
    uint64_t broken = 0;
    uint64_t refused = 0;
    /** Begun and answered seconds later, or never. */
    uint64_t mute = 0;
};

class fleet_worker : private wire_handler {
public:
    fleet_worker(role_process &process, const service_options &service, std::string incarnation,
                 std::string zone, const Address &local);
    ~fleet_worker() override;

    const std::string &incarnation() const {
        return incarnation_;
    }
    const service_options &service() const {
        return service_;
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
    /** Ends all runs and connections, as a process that dies. */
    void crash();
    /** Answers from now on ask their callers to close. */
    void drain() {
        draining_ = true;
    }
    bool draining() const {
        return draining_;
    }
    bool crashed() const {
        return crashed_;
    }

    worker_faults faults;
    /** Called when the worker is to end by a request that it has begun. */
    std::function<void(const std::string &id, const std::string &content)> on_fatal;

private:
    struct run {
        uint64_t number = 0; // 0: waits in the queue
        HttpRequest request;
        std::string id;
        wire_answer_ptr answer;
        uint64_t next_event = 1;
        uint64_t breaks_before = 0; // 0: it does not break
        TimerPtr timer;
    };
    using run_ptr = std::shared_ptr<run>;

    std::optional<HttpResponse> answer_early(const HttpRequest &head) override;
    void handle(HttpRequest request, wire_answer_ptr answer) override;
    void handle_malformed(const Address &peer, const std::string &head) override;

    /** Why a request isn't run, before its body is looked at. */
    std::optional<HttpResponse> refusal(const HttpRequest &head);
    HttpResponse not_run(int status, const std::string &id) const;
    void begin(const run_ptr &added);
    void end_soon_by(const run &fatal);
    void begin_next();
    void begin_answer(const run_ptr &current);
    bool is_stream(const run &current) const;
    uint64_t events_of(const run &current) const;
    HttpHeaders head_of(const run &current) const;
    void send_event(const run_ptr &current);
    void end(const run_ptr &current, run_outcome outcome);

    role_process &process_;
    service_options service_;
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
