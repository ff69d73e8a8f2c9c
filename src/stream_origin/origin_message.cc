#include "chalkshed/origin_message.h"

#include <algorithm>

#include "src/stream_origin/origin_message_generated.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

origin_question unpack(const wire::OriginQuestion &packed) {
    origin_question question;
    question.number = packed.number();
    question.asked = packed.asked();
    question.stream = static_cast<stream_key>(packed.stream());
    question.longest = milliseconds(packed.longest_ms());
    if (packed.service() != nullptr) {
        question.service = packed.service()->str();
    }
    if (packed.ip() != nullptr) {
        question.reply_to = {packed.ip()->str(), packed.port()};
    }
    if (packed.host() != nullptr && packed.path() != nullptr) {
        question.host = packed.host()->str();
        question.path = packed.path()->str();
    }
    return question;
}

origin_answer unpack(const wire::OriginAnswer &packed) {
    origin_answer answer;
    answer.number = packed.number();
    answer.asked = packed.asked();
    answer.evidence.recorded = static_cast<software_id>(packed.recorded());
    answer.evidence.current = packed.current();
    const uint8_t known = packed.known();
    // What a later build may add proves nothing to this one.
    answer.evidence.versions.known = known > static_cast<uint8_t>(version_span::kind::kSeveral)
                                         ? version_span::kind::kSeveral
                                         : static_cast<version_span::kind>(known);
    answer.evidence.versions.software = static_cast<software_id>(packed.software());
    answer.evidence.route = packed.route() > static_cast<uint8_t>(route_span::kChanged)
                                ? route_span::kChanged
                                : static_cast<route_span>(packed.route());
    return answer;
}

flatbuffers::Offset<wire::OriginQuestion> pack(flatbuffers::FlatBufferBuilder &builder,
                                               const origin_question &question) {
    const auto longest = std::clamp<int64_t>(question.longest / milliseconds(1), 0, UINT32_MAX);
    const auto service = builder.CreateString(question.service);
    const auto ip = builder.CreateString(question.reply_to.ip);
    flatbuffers::Offset<flatbuffers::String> host;
    flatbuffers::Offset<flatbuffers::String> path;
    if (!question.host.empty()) {
        host = builder.CreateString(question.host);
        path = builder.CreateString(question.path);
    }
    return wire::CreateOriginQuestion(builder, question.number, question.asked,
                                      question.reply_to.port, static_cast<uint32_t>(longest),
                                      static_cast<uint64_t>(question.stream), service, ip, host,
                                      path);
}

flatbuffers::Offset<wire::OriginAnswer> pack(flatbuffers::FlatBufferBuilder &builder,
                                             const origin_answer &answer) {
    const origin_evidence &evidence = answer.evidence;
    return wire::CreateOriginAnswer(
        builder, answer.number, answer.asked, static_cast<uint8_t>(evidence.versions.known),
        evidence.current, static_cast<uint64_t>(evidence.recorded),
        static_cast<uint64_t>(evidence.versions.software), static_cast<uint8_t>(evidence.route));
}

} // namespace

std::string encode_origin_message(const origin_message &message) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::PlacedOrigin> placed;
    for (const placed_origin &origin : message.placed) {
        placed.emplace_back(static_cast<uint64_t>(origin.stream),
                            static_cast<uint64_t>(origin.software));
    }
    flatbuffers::Offset<flatbuffers::Vector<const wire::PlacedOrigin *>> packed_placed;
    if (!placed.empty()) {
        packed_placed = builder.CreateVectorOfStructs(placed);
    }
    flatbuffers::Offset<wire::OriginQuestion> question;
    if (message.question) {
        question = pack(builder, *message.question);
    }
    flatbuffers::Offset<wire::OriginAnswer> answer;
    if (message.answer) {
        answer = pack(builder, *message.answer);
    }
    builder.Finish(wire::CreateOriginMessage(builder, packed_placed, question, answer),
                   wire::OriginMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<origin_message> decode_origin_message(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyOriginMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::OriginMessage *received = wire::GetOriginMessage(bytes);
    origin_message message;
    if (received->placed() != nullptr) {
        for (const wire::PlacedOrigin *origin : *received->placed()) {
            message.placed.push_back({static_cast<stream_key>(origin->stream()),
                                      static_cast<software_id>(origin->software())});
        }
    }
    if (received->question() != nullptr) {
        message.question = unpack(*received->question());
    }
    if (received->answer() != nullptr) {
        message.answer = unpack(*received->answer());
    }
    return message;
}

} // namespace chalkshed
