#ifndef CHALKSHED_TESTS_SOAK_FLEET_EXPECTED_ANSWERS_H
#define CHALKSHED_TESTS_SOAK_FLEET_EXPECTED_ANSWERS_H

/** \file
 * What a request's answer must be. It follows from the request's id alone, so that callers know it
 * without hearing of the run, and an answer to another request shows.
 */

#include <cstdint>
#include <string>

#include "tests/soak/fleet/deployment.h"

namespace chalkshed::soak {

/** How an item fares at each of its runs. */
enum class run_fate { kCompletes, kFails, kImpossible };

/** Items run longer than online requests, as batch work does: by this factor. */
constexpr uint64_t kItemEvents = 6;

/** Events of an answer on the route, for an item on a batch route. It follows from the service that
 * the file gives the route, also where the operator has moved it since. */
uint64_t events_of(const deployment &plan, const route_options &route);
/** \return Nothing when no route takes the path. */
const route_options *route_of(const deployment &plan, const std::string &path);

run_fate fate_of_run(const std::string &id);
/** Whether the id is that of an item. */
bool is_item(const std::string &id);
std::string item_id(const std::string &job, uint64_t number);

/** The data of one event, counted from 1. */
std::string event_text(const std::string &id, uint64_t event);
/** The event as it is sent. */
std::string event_bytes(const std::string &id, uint64_t event);
/** The data of all events, as a job lists them. */
std::string whole_text(const std::string &id, uint64_t events);
/** The body of an answer that is no stream. */
std::string plain_body(const std::string &id);
/** A body that ends each worker which begins it. */
std::string fatal_body(uint64_t caller, uint64_t number);
bool is_fatal(const std::string &body);

/** A body to send: different for each id, with all bytes that there are. */
std::string request_body(const std::string &id, uint64_t length);

} // namespace chalkshed::soak

#endif
