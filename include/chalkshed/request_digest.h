#ifndef CHALKSHED_REQUEST_DIGEST_H
#define CHALKSHED_REQUEST_DIGEST_H

/** \file
 * Names a request by what it asks for, whoever sends it again and wherever it arrives. The id of a
 * request names one attempt of its caller; attempts with the same content share nothing else.
 */

#include <cstdint>
#include <string>

#include "src/serving/serving_request.h"

namespace chalkshed {

/** \return A 64-bit hash (XXH3) of the caller's tenant, the host, the method, the path with its
 * query, and the body. Headers are left out: ids, deadlines and positions in a stream differ
 * between attempts. Not safe against a caller who forges a collision with a request of its own
 * tenant. */
uint64_t request_digest(const ServingRequest &request);

/** \return The digest as logs and rows of the store name it: 16 hexadecimal digits. */
std::string digest_text(uint64_t digest);

} // namespace chalkshed

#endif
