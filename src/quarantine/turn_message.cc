#include "chalkshed/turn_message.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/quarantine/turn_message_generated.h"

namespace chalkshed {
namespace {

constexpr std::array kWords = {
    std::pair{turn_entry_type::kAsk, wire::TurnWord::kAsk},
    std::pair{turn_entry_type::kGranted, wire::TurnWord::kGranted},
    std::pair{turn_entry_type::kBusy, wire::TurnWord::kBusy},
    std::pair{turn_entry_type::kOver, wire::TurnWord::kOver},
    std::pair{turn_entry_type::kRunning, wire::TurnWord::kRunning},
};

wire::TurnWord wire_word(turn_entry_type word) {
    const auto *const found = std::find_if(kWords.begin(), kWords.end(),
                                           [&](const auto &pair) { return pair.first == word; });
    return found == kWords.end() ? wire::TurnWord::kUnknown : found->second;
}

std::optional<turn_entry_type> read_word(wire::TurnWord word) {
    const auto *const found = std::find_if(kWords.begin(), kWords.end(),
                                           [&](const auto &pair) { return pair.second == word; });
    return found == kWords.end() ? std::nullopt : std::optional(found->first);
}

} // namespace

std::string encode_turn_message(const turn_message &message) {
    std::vector<wire::TurnEntry> entries;
    for (const turn_entry &entry : message.entries) {
        const int64_t wait = std::chrono::ceil<std::chrono::milliseconds>(entry.wait).count();
        entries.emplace_back(entry.digest,
                             static_cast<uint32_t>(std::clamp<int64_t>(wait, 0, UINT32_MAX)),
                             wire_word(entry.word));
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto session = builder.CreateString(message.session);
    const auto packed = builder.CreateVectorOfStructs(entries);
    builder.Finish(wire::CreateTurnMessage(builder, session, packed),
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
    if (received->entries() != nullptr) {
        for (const wire::TurnEntry *entry : *received->entries()) {
            if (const auto word = read_word(entry->word())) {
                message.entries.push_back(
                    {*word, entry->digest(), std::chrono::milliseconds(entry->wait_ms())});
            }
        }
    }
    return message;
}

} // namespace chalkshed
