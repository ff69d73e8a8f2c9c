#include "chalkshed/quota_message.h"

#include <algorithm>

#include "src/core/digest.h"
#include "src/tenant_quota/quota_message_generated.h"

namespace chalkshed {

uint32_t tenant_hash(std::string_view name) {
    return static_cast<uint32_t>(content_hash(name));
}

std::string encode_quota_message(const quota_message &message) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::TenantCountEntry> counts;
    counts.reserve(message.counts.size());
    for (const tenant_count &count : message.counts) {
        counts.emplace_back(count.tenant, count.asked, count.admitted);
    }
    std::vector<wire::TenantLevelEntry> levels;
    levels.reserve(message.levels.size());
    for (const tenant_level &level : message.levels) {
        levels.emplace_back(level.tenant, level.level, level.demand);
    }
    const auto session = builder.CreateString(message.session);
    const auto packed_counts = builder.CreateVectorOfStructs(counts);
    const auto packed_levels = builder.CreateVectorOfStructs(levels);
    builder.Finish(wire::CreateQuotaMessage(builder, session, static_cast<uint8_t>(message.kind),
                                            message.run, message.sequence, packed_counts,
                                            message.nodes, message.acknowledged, message.coverage,
                                            packed_levels, message.first, message.last),
                   wire::QuotaMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<quota_message> decode_quota_message(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyQuotaMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::QuotaMessage *fields = wire::GetQuotaMessage(bytes);
    if (fields->kind() > static_cast<uint8_t>(quota_message_kind::kView)) {
        return std::nullopt;
    }
    quota_message message;
    message.kind = static_cast<quota_message_kind>(fields->kind());
    message.session = fields->session()->str();
    message.run = fields->run();
    message.sequence = fields->sequence();
    message.nodes = fields->nodes();
    message.acknowledged = fields->acknowledged();
    message.coverage = fields->coverage();
    message.first = fields->first();
    message.last = fields->last();
    if (fields->counts() != nullptr) {
        for (const wire::TenantCountEntry *count : *fields->counts()) {
            message.counts.push_back({count->tenant(), count->asked(), count->admitted()});
        }
    }
    if (fields->levels() != nullptr) {
        for (const wire::TenantLevelEntry *level : *fields->levels()) {
            message.levels.push_back({level->tenant(), level->level(), level->demand()});
        }
    }
    return message;
}

std::vector<quota_message> split_quota_message(const quota_message &whole) {
    std::vector<quota_message> pages;
    size_t at_count = 0;
    size_t at_level = 0;
    uint32_t first = whole.first;
    do {
        quota_message page = whole;
        const size_t counts = std::min(kMaxQuotaEntries, whole.counts.size() - at_count);
        const auto count = whole.counts.begin() + static_cast<ptrdiff_t>(at_count);
        page.counts.assign(count, count + static_cast<ptrdiff_t>(counts));
        at_count += counts;
        const size_t levels = std::min(kMaxQuotaEntries - counts, whole.levels.size() - at_level);
        const auto level = whole.levels.begin() + static_cast<ptrdiff_t>(at_level);
        page.levels.assign(level, level + static_cast<ptrdiff_t>(levels));
        at_level += levels;
        page.first = first;
        const bool all = at_level == whole.levels.size();
        page.last = all ? whole.last : whole.levels[at_level].tenant - 1;
        first = all ? whole.last : whole.levels[at_level].tenant;
        pages.push_back(std::move(page));
    } while (at_count < whole.counts.size() || at_level < whole.levels.size());
    return pages;
}

} // namespace chalkshed
