#include "chalkshed/request_digest.h"

#include <algorithm>
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

std::vector<uint64_t> shared_part_digests(const ServingRequest &request) {
    uint64_t origin = 0;
    for (const std::string *field : {&request.tenant, &request.host, &request.model}) {
        origin = content_hash(*field, origin + 1);
    }
    std::vector<uint64_t> digests;
    for (size_t index = 0; index + 1 < request.prompt.size(); ++index) {
        const std::string &id = request.prompt[index].id;
        const uint64_t digest = content_hash(id, origin);
        if (digests.size() == kMaxSharedParts) {
            break;
        }
        if (!id.empty() && std::find(digests.begin(), digests.end(), digest) == digests.end()) {
            digests.push_back(digest);
        }
    }
    return digests;
}

void set_digests(ServingRequest &request) {
    request.digest = request_digest(request);
    request.shared_parts = shared_part_digests(request);
}

std::string digest_text(uint64_t digest) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
    return text.data();
}

} // namespace chalkshed
