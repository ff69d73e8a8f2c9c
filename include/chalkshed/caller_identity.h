#ifndef CHALKSHED_CALLER_IDENTITY_H
#define CHALKSHED_CALLER_IDENTITY_H

/** \file
 * Identifies the caller of a request, and maps job ids to the names under which a tenant's jobs
 * are stored. */

#include <optional>
#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/serving/route_table.h"

namespace chalkshed {

struct caller_identity {
    /** Empty for an anonymous caller: no tenants are configured, or the route is open. */
    std::string tenant;
    /** Overrides the priority of the route. */
    std::optional<uint32_t> priority;
};

/** \param route The request's route; null for calls about jobs, which need a tenant's key if
 * creating jobs does.
 * \param authorization Value of the Authorization header; empty: none.
 * \return The caller. Errors, Ran::kNo: kUnauthenticated. They never contain the key. */
Expected<caller_identity> identify_caller(const RouteTable &table, const Route *route,
                                          std::string_view authorization);

/** \return The name under which a job is stored. Tenants have separate namespaces, so that requests
 * for another tenant's job behave as if that job didn't exist. std::nullopt for ids that no job
 * can have: empty ones and those in the format of a stored name. */
std::optional<std::string> stored_job_id(std::string_view tenant, std::string_view id);

/** \return The id that the caller gave to the job with that stored name. */
std::string caller_job_id(std::string_view stored);

} // namespace chalkshed

#endif
