#include "chalkshed/turn_message.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/quarantine/turn_message_generated.h"

namespace chalkshed {
namespace {

constexpr std::array kEntryTypes = {
    std::pair{turn_entry_type::kAsk, wire::TurnWord::kAsk},
    std::pair{turn_entry_type::kGranted, wire::TurnWord::kGranted},
    std::pair{turn_entry_type::kBusy, wire::TurnWord::kBusy},
    std::pair{turn_entry_type::kOver, wire::TurnWord::kOver},
    std::pair{turn_entry_type::kRunning, wire::TurnWord::kRunning},
};

wire::TurnWord to_wire_type(turn_entry_type type) {
    const auto *const found = std::find_if(kEntryTypes.begin(), kEntryTypes.end(),
                                           [&](const auto &pair) { return pair.first == type; });
    return found == kEntryTypes.end() ? wire::TurnWord::kUnknown : found->second;
}

std::optional<turn_entry_type> from_wire_type(wire::TurnWord type) {
    const auto *const found = std::find_if(kEntryTypes.begin(), kEntryTypes.end(),
                                           [&](const auto &pair) { return pair.second == type; });
    return found == kEntryTypes.end() ? std::nullopt : std::optional(found->first);
}

} // namespace

std::string encode_turn_message(const turn_message &message) {
    std::vector<wire::TurnEntry> entries;
    for (const turn_entry &entry : message.entries) {
        const int64_t wait = std::chrono::ceil<std::chrono::milliseconds>(entry.wait).count();
        entries.emplace_back(entry.digest,
                             static_cast<uint32_t>(std::clamp<int64_t>(wait, 0, UINT32_MAX)),
                             to_wire_type(entry.type));
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto session = builder.CreateString(message.session);
    const auto packed = builder.CreateVectorOfStructs(entries);
    const auto asked = static_cast<uint64_t>(message.asked.time_since_epoch().count());
    builder.Finish(wire::CreateTurnMessage(builder, session, packed, asked),
                   wire::TurnMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<turn_message> decode_turn_message(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyTurnMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::TurnMessage *received = wire::GetTurnMessage(bytes);
    turn_message message;
    message.session = received->session()->str();
    message.asked = MonotonicTime(Duration(static_cast<int64_t>(received->asked_us())));
    if (received->entries() != nullptr) {
        for (const wire::TurnEntry *entry : *received->entries()) {
            if (const auto type = from_wire_type(entry->word())) {
                message.entries.push_back(
                    {*type, entry->digest(), std::chrono::milliseconds(entry->wait_ms())});
            }
        }
    }
    return message;
}

} // namespace chalkshed
