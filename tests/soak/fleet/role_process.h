#ifndef CHALKSHED_TESTS_SOAK_FLEET_ROLE_PROCESS_H
#define CHALKSHED_TESTS_SOAK_FLEET_ROLE_PROCESS_H

/** \file
 * Common parts of each harness process: an event loop whose lag it measures, a file of records, and
 * a control address at which it receives commands from the coordinator.
 */

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/event_http_client.h"
#include "src/http/http_server.h"
#include "tests/soak/fleet/deployment.h"
#include "tests/soak/fleet/fleet_layout.h"
#include "tests/soak/fleet/lag_meter.h"
#include "tests/soak/fleet/records.h"

namespace chalkshed::soak {

struct role_options {
    std::string file; // of the deployment
    deployment plan;
    std::string folder;
    std::string role;
    uint64_t number = 0; // among the processes of its role
    uint64_t seed = 1;
    fleet_layout layout;
};

class role_process : public HttpHandler {
public:
    /** Executes a command. \return The response body. */
    using command_handler = std::function<nlohmann::json(const nlohmann::json &)>;

    role_process(role_options options, const Address &control);
    ~role_process() override;

    /** \param handler Handles the commands that are posted to /NAME. */
    void on_command(const std::string &name, command_handler handler);
    /** Dispatches a command to its handler. */
    void handle(HttpRequest request, ResponseWriterPtr writer) override;
    /** Runs the event loop until the command "stop" arrives. */
    void run();
    void stop();
    /** Starts to measure the lag of this process. */
    void start_lag_measurement();
    void add_record(const record &entry) {
        records_.add(entry);
    }
    MonotonicTime now() const {
        return time_source_.monotonic_now();
    }
    /** A random duration in [shortest, longest]. */
    Duration random_duration(Duration shortest, Duration longest) {
        const auto room = static_cast<uint64_t>((longest - shortest).count()) + 1;
        return shortest + Duration(random.below(room));
    }
    bool chance(uint64_t percent) {
        return random.below(100) < percent;
    }
    /** Runs `function` after `delay`. */
    void run_after(Duration delay, std::function<void()> function);

    role_options options;
    EventDispatcher dispatcher;
    SeededRandomGenerator random;
    EventHttpClient client;

private:
    void flush_regularly();
    void record_lag();

    SystemTimeSource time_source_;
    record_writer records_;
    std::map<std::string, command_handler> commands_;
    std::vector<Duration> lags_;
    std::unique_ptr<lag_meter> lag_meter_;
    TimerPtr flush_timer_;
    Lifetime lifetime_;
    std::unique_ptr<HttpServer> control_server_;
};

/** Sends a command to a harness process. */
void send_command(HttpClient &client, const Address &control, const std::string &name,
                  const nlohmann::json &fields, Callback<HttpResponse> callback);

} // namespace chalkshed::soak

#endif
