#include "chalkshed/admission_message.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"
#include "src/shared_admission/admission_message_generated.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

/** Bytes of all entries of a page. The other fields take less than 200 bytes. */
constexpr size_t kPageBytes = 960;

uint32_t milliseconds_of(Duration duration) {
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
}

/** Moves entries from `at` on to the page until it is full.
 * \return Whether all entries have been moved. */
template <typename Wire, typename Entry>
bool fill(std::vector<Entry> &page, const std::vector<Entry> &all, size_t &at, size_t &bytes_left) {
    const size_t count = std::min(all.size() - at, bytes_left / sizeof(Wire));
    page.assign(all.begin() + static_cast<ptrdiff_t>(at),
                all.begin() + static_cast<ptrdiff_t>(at + count));
    at += count;
    bytes_left -= count * sizeof(Wire);
    return at == all.size();
}

void decode_demand(const wire::AdmissionMessage &fields, admission_message &message) {
    if (fields.counts() != nullptr) {
        for (const wire::AdmissionCountEntry *each : *fields.counts()) {
            message.counts.push_back({{each->service(), each->priority(), each->tenant()},
                                      each->arrived(),
                                      each->recent(),
                                      each->admitted(),
                                      each->waiting()});
        }
    }
    if (fields.served() != nullptr) {
        for (const wire::AdmissionServedEntry *each : *fields.served()) {
            message.served.push_back({each->service(), each->ended(), each->busy()});
        }
    }
    if (fields.contents() != nullptr) {
        for (const wire::AdmissionContentEntry *each : *fields.contents()) {
            message.contents.push_back({each->content(), milliseconds(each->age_ms())});
        }
    }
}

/** \return Whether all figures are valid: a view that isn't from this program must not reach the
 * decisions. */
bool decode_view(const wire::AdmissionMessage &fields, admission_message &message) {
    bool valid = true;
    if (fields.services() != nullptr) {
        for (const wire::AdmissionServiceEntry *each : *fields.services()) {
            message.services.push_back(
                {each->service(), each->overloaded() != 0, each->capacity()});
            valid = valid && each->capacity() >= 0;
        }
    }
    if (fields.levels() != nullptr) {
        for (const wire::AdmissionLevelEntry *each : *fields.levels()) {
            message.levels.push_back({each->service(), each->priority(), each->level(),
                                      each->demand(), milliseconds(each->wait_ms())});
            valid = valid && each->level() >= 0 && each->demand() >= 0;
        }
    }
    if (fields.shares() != nullptr) {
        for (const wire::AdmissionShareEntry *each : *fields.shares()) {
            message.shares.push_back(
                {{each->service(), each->priority(), each->tenant()}, each->demand()});
            valid = valid && each->demand() >= 0;
        }
    }
    return valid;
}

} // namespace

uint32_t service_hash(std::string_view name) {
    return static_cast<uint32_t>(content_hash(name));
}

uint64_t content_key(uint64_t digest, uint32_t tenant) {
    constexpr uint64_t kOdd = 0x9E3779B97F4A7C15;
    return digest ^ (kOdd * tenant);
}

std::string encode_admission_message(const admission_message &message) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::AdmissionCountEntry> counts;
    for (const admission_count &each : message.counts) {
        counts.emplace_back(each.key.service, each.key.priority, each.key.tenant, each.arrived,
                            each.recent, each.admitted, each.waiting);
    }
    std::vector<wire::AdmissionServedEntry> served;
    for (const served_count &each : message.served) {
        served.emplace_back(each.service, each.ended, each.busy);
    }
    std::vector<wire::AdmissionServiceEntry> services;
    for (const service_capacity &each : message.services) {
        services.emplace_back(each.service, each.overloaded ? 1 : 0, each.capacity);
    }
    std::vector<wire::AdmissionLevelEntry> levels;
    for (const admission_level &each : message.levels) {
        levels.emplace_back(each.service, each.priority, each.level, each.demand,
                            milliseconds_of(each.wait));
    }
    std::vector<wire::AdmissionShareEntry> shares;
    for (const limited_demand &each : message.shares) {
        shares.emplace_back(each.key.service, each.key.priority, each.key.tenant, each.demand);
    }
    std::vector<wire::AdmissionContentEntry> contents;
    for (const refused_content &each : message.contents) {
        contents.emplace_back(each.content, milliseconds_of(each.age));
    }
    const auto session = builder.CreateString(message.session);
    const auto packed_counts = builder.CreateVectorOfStructs(counts);
    const auto packed_served = builder.CreateVectorOfStructs(served);
    const auto packed_services = builder.CreateVectorOfStructs(services);
    const auto packed_levels = builder.CreateVectorOfStructs(levels);
    const auto packed_shares = builder.CreateVectorOfStructs(shares);
    const auto packed_contents = builder.CreateVectorOfStructs(contents);
    builder.Finish(wire::CreateAdmissionMessage(
                       builder, session, static_cast<uint8_t>(message.kind), message.sequence,
                       packed_counts, packed_served, message.nodes, packed_services, packed_levels,
                       packed_shares, packed_contents),
                   wire::AdmissionMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<admission_message> decode_admission_message(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyAdmissionMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::AdmissionMessage *fields = wire::GetAdmissionMessage(bytes);
    if (fields->kind() > static_cast<uint8_t>(admission_message_kind::kView)) {
        return std::nullopt;
    }
    admission_message message;
    message.kind = static_cast<admission_message_kind>(fields->kind());
    message.session = fields->session()->str();
    message.sequence = fields->sequence();
    message.nodes = fields->nodes();
    decode_demand(*fields, message);
    if (!decode_view(*fields, message)) {
        return std::nullopt;
    }
    return message;
}

std::vector<admission_message> split_admission_message(const admission_message &whole) {
    std::vector<admission_message> pages;
    size_t at[6] = {};
    bool all = false;
    while (!all) {
        admission_message page;
        page.kind = whole.kind;
        page.session = whole.session;
        page.sequence = whole.sequence;
        page.nodes = whole.nodes;
        size_t left = kPageBytes;
        all = fill<wire::AdmissionServiceEntry>(page.services, whole.services, at[0], left);
        all = fill<wire::AdmissionLevelEntry>(page.levels, whole.levels, at[1], left) && all;
        all = fill<wire::AdmissionShareEntry>(page.shares, whole.shares, at[2], left) && all;
        all = fill<wire::AdmissionServedEntry>(page.served, whole.served, at[3], left) && all;
        all = fill<wire::AdmissionCountEntry>(page.counts, whole.counts, at[4], left) && all;
        all = fill<wire::AdmissionContentEntry>(page.contents, whole.contents, at[5], left) && all;
        pages.push_back(std::move(page));
    }
    return pages;
}

} // namespace chalkshed
