#include "chalkshed/request_digest.h"

#include <array>
#include <cstdio>

#include "src/core/digest.h"

namespace chalkshed {

uint64_t request_digest(const ServingRequest &request) {
    const HttpRequest &message = request.message;
    uint64_t digest = 0;
    for (const std::string *part : {&request.tenant, &request.host, &message.method, &message.path,
                                    &message.query, &message.body}) {
        // Seeding each part with the digest of the preceding ones makes the boundaries between
        // parts count.
        digest = content_hash(*part, digest + 1);
    }
    return digest;
}

std::string digest_text(uint64_t digest) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
    return text.data();
}

} // namespace chalkshed
