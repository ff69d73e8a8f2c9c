#ifndef CHALKSHED_TESTS_SOAK_FLEET_ROLE_PROCESS_H
#define CHALKSHED_TESTS_SOAK_FLEET_ROLE_PROCESS_H

/** \file
 * What each process of the rig has: a loop of its own whose lag it measures, a file of records, and
 * an address at which the coordinator tells it what to do.
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
    /** Carries out a command. \return What the caller is told. */
    using command_handler = std::function<nlohmann::json(const nlohmann::json &)>;

    role_process(role_options options, const Address &control);
    ~role_process() override;

    /** \param handler of the commands that are posted to /NAME. */
    void on_command(const std::string &name, command_handler handler);
    /** A command. */
    void handle(HttpRequest request, ResponseWriterPtr writer) override;
    /** Until the command "stop". */
    void run();
    void stop();
    /** From now on the lag of this process counts. */
    void measure();
    void note(const record &entry) {
        records_.add(entry);
    }
    MonotonicTime now() const {
        return time_source_.monotonic_now();
    }
    /** A length between both. */
    Duration between(Duration shortest, Duration longest) {
        const auto room = static_cast<uint64_t>((longest - shortest).count()) + 1;
        return shortest + Duration(random.below(room));
    }
    bool chance(uint64_t percent) {
        return random.below(100) < percent;
    }
    /** Runs `function` after `delay`. */
    void later(Duration delay, std::function<void()> function);

    role_options options;
    EventDispatcher dispatcher;
    SeededRandomGenerator random;
    EventHttpClient client;

private:
    void flush_regularly();
    void note_lag();

    SystemTimeSource time_source_;
    record_writer records_;
    std::map<std::string, command_handler> commands_;
    std::vector<Duration> lags_;
    std::unique_ptr<lag_meter> meter_;
    TimerPtr flush_timer_;
    Lifetime lifetime_;
    std::unique_ptr<HttpServer> control_;
};

/** Tells a process of the rig to do something. */
void send_command(HttpClient &client, const Address &control, const std::string &name,
                  const nlohmann::json &fields, Callback<HttpResponse> callback);

} // namespace chalkshed::soak

#endif
