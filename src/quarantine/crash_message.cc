#include "chalkshed/crash_message.h"

#include <algorithm>

#include "src/quarantine/crash_message_generated.h"

namespace chalkshed {
namespace {

uint32_t age_of(MonotonicTime time, MonotonicTime now) {
    const int64_t age = (now - time) / std::chrono::milliseconds(1);
    return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX));
}

MonotonicTime time_of(uint32_t age, MonotonicTime now) {
    return now - std::chrono::milliseconds(age);
}

std::vector<wire::BrokenRun> pack(const std::vector<broken_run> &runs, MonotonicTime now) {
    std::vector<wire::BrokenRun> packed;
    for (const broken_run &run : runs) {
        if (run.suspect == crash_suspect::kContent) {
            packed.emplace_back(run.digest, run.worker, age_of(run.at, now));
        }
    }
    return packed;
}

std::vector<wire::BrokenPart> pack_parts(const std::vector<broken_run> &runs, MonotonicTime now) {
    std::vector<wire::BrokenPart> packed;
    for (const broken_run &run : runs) {
        if (run.suspect == crash_suspect::kPart) {
            packed.emplace_back(run.digest, static_cast<uint64_t>(run.software), run.worker,
                                age_of(run.at, now));
        }
    }
    return packed;
}

void unpack_parts(const flatbuffers::Vector<const wire::BrokenPart *> *packed, MonotonicTime now,
                  std::vector<broken_run> &runs) {
    if (packed == nullptr) {
        return;
    }
    for (const wire::BrokenPart *part : *packed) {
        broken_run run{part->digest(), part->worker(), time_of(part->milliseconds_ago(), now)};
        run.suspect = crash_suspect::kPart;
        run.software = software_id{part->software()};
        runs.push_back(run);
    }
}

std::vector<broken_run> unpack(const flatbuffers::Vector<const wire::BrokenRun *> *packed,
                               MonotonicTime now) {
    std::vector<broken_run> runs;
    if (packed != nullptr) {
        for (const wire::BrokenRun *run : *packed) {
            runs.push_back({run->digest(), run->worker(), time_of(run->milliseconds_ago(), now)});
        }
    }
    return runs;
}

} // namespace

std::string encode_crash_message(const crash_message &message, MonotonicTime now) {
    const std::vector<wire::BrokenRun> broken = pack(message.broken, now);
    const std::vector<wire::BrokenRun> suspected = pack(message.suspected, now);
    const std::vector<wire::BrokenPart> broken_parts = pack_parts(message.broken, now);
    const std::vector<wire::BrokenPart> suspected_parts = pack_parts(message.suspected, now);
    std::vector<wire::AnsweredRun> answered;
    std::vector<wire::ProvedPart> proved;
    for (const answered_run &run : message.answered) {
        if (run.suspect == crash_suspect::kPart) {
            proved.emplace_back(run.digest, static_cast<uint64_t>(run.software),
                                age_of(run.sent, now));
        } else {
            answered.emplace_back(run.digest, age_of(run.sent, now));
        }
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto packed_broken = builder.CreateVectorOfStructs(broken);
    const auto packed_answered = builder.CreateVectorOfStructs(answered);
    const auto packed_suspected = builder.CreateVectorOfStructs(suspected);
    const bool has_parts = !broken_parts.empty() || !proved.empty() || !suspected_parts.empty();
    using broken_offset = flatbuffers::Offset<flatbuffers::Vector<const wire::BrokenPart *>>;
    using proved_offset = flatbuffers::Offset<flatbuffers::Vector<const wire::ProvedPart *>>;
    broken_offset packed_broken_parts;
    proved_offset packed_proved;
    broken_offset packed_suspected_parts;
    if (has_parts) {
        packed_broken_parts = builder.CreateVectorOfStructs(broken_parts);
        packed_proved = builder.CreateVectorOfStructs(proved);
        packed_suspected_parts = builder.CreateVectorOfStructs(suspected_parts);
    }
    wire::CrashMessageBuilder packed(builder);
    packed.add_broken(packed_broken);
    packed.add_answered(packed_answered);
    packed.add_suspected(packed_suspected);
    if (has_parts) {
        packed.add_broken_parts(packed_broken_parts);
        packed.add_proved_parts(packed_proved);
        packed.add_suspected_parts(packed_suspected_parts);
    }
    builder.Finish(packed.Finish(), wire::CrashMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<crash_message> decode_crash_message(std::string_view datagram, MonotonicTime now) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyCrashMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::CrashMessage *received = wire::GetCrashMessage(bytes);
    crash_message message;
    message.broken = unpack(received->broken(), now);
    message.suspected = unpack(received->suspected(), now);
    unpack_parts(received->broken_parts(), now, message.broken);
    unpack_parts(received->suspected_parts(), now, message.suspected);
    for (broken_run &run : message.suspected) {
        run.suspected = true;
    }
    if (received->answered() != nullptr) {
        for (const wire::AnsweredRun *run : *received->answered()) {
            message.answered.push_back({run->digest(), time_of(run->milliseconds_ago(), now)});
        }
    }
    if (received->proved_parts() != nullptr) {
        for (const wire::ProvedPart *part : *received->proved_parts()) {
            message.answered.push_back({part->digest(), time_of(part->milliseconds_ago(), now),
                                        crash_suspect::kPart, software_id{part->software()}});
        }
    }
    return message;
}

} // namespace chalkshed
