#ifndef CHALKSHED_REQUEST_DIGEST_H
#define CHALKSHED_REQUEST_DIGEST_H

/** \file
 * Identifies a request by its content, independent of who retries it and at which node it arrives.
 * A request id names a single attempt of its caller; attempts with the same content have nothing
 * else in common. */

#include <cstdint>
#include <string>

#include "src/serving/serving_request.h"

namespace chalkshed {

/** \return A 64-bit hash (XXH3) of the caller's tenant, the host, the method, the path, the query
 * and the body. Headers are excluded: ids, deadlines and stream positions differ between attempts.
 * Not safe against a caller who forges a collision with a request of its own tenant. */
uint64_t request_digest(const ServingRequest &request);

/** \return The digest as used in logs and store rows: 16 hexadecimal digits. */
std::string digest_text(uint64_t digest);

} // namespace chalkshed

#endif
