#ifndef CHALKSHED_TESTS_SOAK_FLEET_EXPECTED_ANSWERS_H
#define CHALKSHED_TESTS_SOAK_FLEET_EXPECTED_ANSWERS_H

/** \file
 * The expected answers to requests. An answer depends on the request's id alone, so that callers
 * can verify it without knowledge of the run and detect an answer to another request.
 */

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tests/soak/fleet/deployment.h"

namespace chalkshed::soak {

/** The outcome of an item, the same at each of its runs. */
enum class run_fate { kCompletes, kFails, kImpossible };

/** Items have this many times the events of online requests, because batch work runs longer. */
constexpr uint64_t kItemEvents = 6;

/** Events in an answer on the route, on a batch route in that of an item. Depends on the service
 * that the deployment file gives the route, even if the route has been moved since. */
uint64_t events_of(const deployment &plan, const route_options &route);
/** \return The route that matches the path, or null. */
const route_options *route_of(const deployment &plan, const std::string &path);

run_fate fate_of_run(const std::string &id);
/** Whether the id is that of an item. */
bool is_item(const std::string &id);
std::string item_id(const std::string &job, uint64_t number);

/** The data of one event, counted from 1. */
std::string event_text(const std::string &id, uint64_t event);
/** The event as sent on the wire. \param version Of the worker, which marks its data; empty: none.
 */
std::string event_bytes(const std::string &id, uint64_t event, const std::string &version = "");
/** A text as received, split into what it says and the versions that mark it. */
struct marked_text {
    std::string text;
    /** Each version of a line that ends, once, in the order of its first mark. */
    std::vector<std::string> versions;
};
marked_text without_marks(std::string_view marked);
/** The data of all events, as a job lists them. */
std::string whole_text(const std::string &id, uint64_t events);
/** The body of an answer that is not a stream. */
std::string plain_body(const std::string &id);
/** A request body that terminates every worker that starts it. */
std::string fatal_body(uint64_t caller, uint64_t number);
std::string fatal_item_body(const std::string &item, uint64_t length);
bool is_fatal(const std::string &body);

/** The parts of a prompt that crash each worker that begins an answer on it. */
std::string fatal_part(uint64_t number);
/** \param prompt The header's value. \return The fatal part in it that isn't the last; empty: none.
 */
std::string fatal_part_of(const std::string &prompt);

/** A request body of pseudo-random bytes of all values, different for each id. */
std::string request_body(const std::string &id, uint64_t length);

} // namespace chalkshed::soak

#endif
