#ifndef CHALKSHED_REQUEST_DIGEST_H
#define CHALKSHED_REQUEST_DIGEST_H

/** \file
 * Identifies a request by its content, independent of who retries it and at which node it arrives.
 * A request id names a single attempt of its caller; attempts with the same content have nothing
 * else in common. */

#include <cstdint>
#include <string>
#include <vector>

#include "src/serving/serving_request.h"

namespace chalkshed {

/** \return A 64-bit hash (XXH3) of the caller's tenant, the host, the method, the path, the query
 * and the body. Headers are excluded: ids, deadlines and stream positions differ between attempts.
 * Not safe against a caller who forges a collision with a request of its own tenant. */
uint64_t request_digest(const ServingRequest &request);

/** Identifies the parts of the prompt that other requests may share: all but the last.
 * \return A 64-bit hash (XXH3) of tenant, host, model and id for each part, every part once. The
 * same id names other text to workers of another host or model, and callers of one tenant must not
 * bring evidence against parts of another. At most kMaxSharedParts, from the first on. */
std::vector<uint64_t> shared_part_digests(const ServingRequest &request);

/** No prompt in use has more; evidence about a lost run is sent for each. */
inline constexpr size_t kMaxSharedParts = 16;

/** Sets the digest of the content and those of the shared parts. */
void set_digests(ServingRequest &request);

/** \return The digest as used in logs and store rows: 16 hexadecimal digits. */
std::string digest_text(uint64_t digest);

} // namespace chalkshed

#endif
