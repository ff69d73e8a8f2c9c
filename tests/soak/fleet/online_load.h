#ifndef CHALKSHED_TESTS_SOAK_FLEET_ONLINE_LOAD_H
#define CHALKSHED_TESTS_SOAK_FLEET_ONLINE_LOAD_H

/** \file
 * The online requests of one caller process: kept and fresh connections, several requests on one,
 * some of them sent ahead, bodies of all sizes, callers that leave early and come again.
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
    /** The rates go up and down in steps around those of the routes. */
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

    void arrive(const route_options &route);
    /** Sends a content that ends its workers, again and again, to any node. */
    void repeat_fatal(uint64_t number);
    /** Asks with that body, under an id and a path as usual. */
    void send_fatal(const route_options &route, uint64_t number);
    void submit(const route_options &route, uint64_t node, int tries);
    call_ptr prepare(const route_options &route, uint64_t node, int tries);
    wire_client_ptr connection_to(uint64_t node, bool kept);
    void send(const call_ptr &sent, const wire_client_ptr &connection);
    void leave_at_times(const call_ptr &sent);
    void note_left(const call &sent);
    void handle_answer(const call_ptr &sent, const call_result &result);
    bool matches(const call &sent, const call_result &result) const;
    void come_again(const call &sent, const call_result &result);
    double factor_now() const;

    role_process &process_;
    ready_nodes &nodes_;
    std::map<uint64_t, std::deque<wire_client_ptr>> kept_; // by node
    MonotonicTime began_{};
    uint64_t next_id_ = 0;
    uint64_t open_calls_ = 0;
    bool ended_ = false;
};

/** Bytes of a body: most are near the fewest, a few percent near the most. */
uint64_t draw_length(RandomGenerator &random, const range &lengths);

} // namespace chalkshed::soak

#endif
