#ifndef CHALKSHED_TESTS_SOAK_FLEET_ONLINE_LOAD_H
#define CHALKSHED_TESTS_SOAK_FLEET_ONLINE_LOAD_H

/** \file
 * The online requests of one caller process: reused and new connections, several requests on one,
 * some of them pipelined, bodies of all sizes, callers that disconnect early and retry.
 */

#include <deque>
#include <map>
#include <memory>

#include "tests/soak/fleet/ready_nodes.h"
#include "tests/soak/fleet/role_process.h"
#include "tests/soak/fleet/wire_client.h"

namespace chalkshed::soak {

class online_load {
public:
    online_load(role_process &process, ready_nodes &nodes);
    /** Starts the load; the rates alternate in steps around those of the routes. */
    void begin();
    void end() {
        ended_ = true;
    }
    uint64_t open_calls() const {
        return open_calls_;
    }

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;

    void schedule_arrival(const route_options &route);
    /** Repeatedly sends a body that crashes its workers to random nodes. */
    void schedule_fatal(uint64_t number);
    /** Sends one request with that body. */
    void send_fatal(const route_options &route, uint64_t number);
    void begin_fatal_parts();
    /** Repeatedly sends requests of their own content with that part to random nodes. */
    void schedule_fatal_part(const route_options &route, uint64_t number);
    void send_fatal_part(const route_options &route, uint64_t number);
    void submit(const route_options &route, uint64_t node, int tries);
    call_ptr prepare(const route_options &route, uint64_t node, int tries);
    wire_client_ptr connection_to(uint64_t node, bool kept);
    void send(const call_ptr &sent, const wire_client_ptr &connection);
    void schedule_disconnect(const call_ptr &sent);
    void record_disconnect(const call &sent, const call_result &result);
    void take_up(const call &sent, const call_result &result);
    void handle_answer(const call_ptr &sent, const call_result &result);
    bool matches(const call &sent, const call_result &result) const;
    void retry(const call &sent, const call_result &result);
    double load_factor() const;

    role_process &process_;
    ready_nodes &nodes_;
    std::map<uint64_t, std::deque<wire_client_ptr>> idle_connections_; // by node
    MonotonicTime started_at_{};
    uint64_t next_id_ = 0;
    uint64_t open_calls_ = 0;
    bool ended_ = false;
};

/** Draws a body size: most are near the minimum, a few percent near the maximum. */
uint64_t draw_length(RandomGenerator &random, const range &lengths);

} // namespace chalkshed::soak

#endif
