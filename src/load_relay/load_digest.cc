#include "chalkshed/load_digest.h"

#include <algorithm>

#include "src/load_relay/load_digest_generated.h"

namespace chalkshed {

std::string encode_load_digest(const load_digest &digest) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::DigestEntry> entries;
    entries.reserve(digest.entries.size());
    for (const digest_entry &entry : digest.entries) {
        entries.emplace_back(entry.worker, entry.online, entry.batch, entry.prompt_units);
    }
    const auto session = builder.CreateString(digest.session);
    const auto packed = builder.CreateVectorOfStructs(entries);
    const auto lapsed = builder.CreateVector(digest.lapsed.value_or(std::vector<uint64_t>{}));
    builder.Finish(wire::CreateLoadDigest(builder, session, digest.sequence, digest.zone_sum,
                                          digest.first, digest.last, packed,
                                          digest.lapsed.has_value(), lapsed, digest.store_version,
                                          digest.known.configuration, digest.known.workers),
                   wire::LoadDigestIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<load_digest> decode_load_digest(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyLoadDigestBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::LoadDigest *message = wire::GetLoadDigest(bytes);
    load_digest digest;
    digest.session = message->session()->str();
    digest.sequence = message->sequence();
    digest.zone_sum = message->zone_sum();
    digest.first = message->first();
    digest.last = message->last();
    digest.store_version = message->store_version();
    digest.known = {message->configuration_version(), message->workers_version()};
    if (message->entries() != nullptr) {
        for (const wire::DigestEntry *entry : *message->entries()) {
            digest.entries.push_back(
                {entry->worker(), entry->online(), entry->batch(), entry->prompt_units()});
        }
    }
    if (message->has_lapsed()) {
        digest.lapsed.emplace();
        if (message->lapsed() != nullptr) {
            digest.lapsed->assign(message->lapsed()->begin(), message->lapsed()->end());
        }
    }
    return digest;
}

std::vector<load_digest> split_digest(load_digest whole, size_t max_entries) {
    const std::vector<digest_entry> entries = std::move(whole.entries);
    std::vector<load_digest> pages;
    size_t at = 0;
    uint32_t first = whole.first;
    do {
        const size_t end = std::min(at + max_entries, entries.size());
        load_digest page = whole;
        page.entries.assign(entries.begin() + static_cast<ptrdiff_t>(at),
                            entries.begin() + static_cast<ptrdiff_t>(end));
        page.first = first;
        page.last = end == entries.size() ? whole.last : entries[end].worker - 1;
        first = end == entries.size() ? whole.last : entries[end].worker;
        at = end;
        pages.push_back(std::move(page));
        whole.lapsed.reset();
    } while (at < entries.size());
    return pages;
}

} // namespace chalkshed
