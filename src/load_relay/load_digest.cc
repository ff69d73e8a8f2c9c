#include "chalkshed/load_digest.h"

#include <algorithm>

#include "src/load_relay/load_digest_generated.h"
#include "src/transport/peer_transport.h"
#include "src/worker_speed/speed_wire.h"

namespace chalkshed {
namespace {

// Sizes in a datagram. The head is everything but the lists and the session's name.
constexpr size_t kHeadBytes = 130;
constexpr size_t kBytesOfEntry = 8;
constexpr size_t kBytesOfLapsed = 8;

} // namespace

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
    const auto speeds =
        digest.speeds.empty()
            ? 0
            : builder.CreateVectorOfStructs(to_wire<wire::DigestSpeedEntry>(digest.speeds));
    builder.Finish(wire::CreateLoadDigest(builder, session, digest.sequence, digest.zone_sum,
                                          digest.first, digest.last, packed,
                                          digest.lapsed.has_value(), lapsed, digest.store_version,
                                          digest.known.configuration, digest.known.workers, speeds),
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
    digest.speeds = from_wire(message->speeds());
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
    const std::vector<worker_speed_entry> speeds = std::exchange(whole.speeds, {});
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
    // The last page has the most room. Speeds that do not fit are sent with later samples.
    load_digest &last = pages.back();
    const size_t used = kHeadBytes + last.session.size() + kBytesOfEntry * last.entries.size() +
                        kBytesOfLapsed * (last.lapsed ? last.lapsed->size() : 0);
    const size_t room = DatagramTransport::kMaxDatagramBytes -
                        std::min<size_t>(used, DatagramTransport::kMaxDatagramBytes);
    last.speeds.assign(speeds.begin(), speeds.begin() + static_cast<ptrdiff_t>(std::min(
                                                            speeds.size(), room / kBytesOfSpeed)));
    return pages;
}

} // namespace chalkshed
