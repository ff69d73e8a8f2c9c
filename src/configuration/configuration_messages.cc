#include "src/configuration/configuration_messages.h"

#include <flatbuffers/flatbuffers.h>

#include "src/configuration/configuration_messages_generated.h"

namespace chalkshed {
namespace {

using flatbuffers::FlatBufferBuilder;

constexpr uint64_t kMaxAgeMilliseconds = 1'000'000'000;

template <typename Table>
std::string finish(FlatBufferBuilder& builder, flatbuffers::Offset<Table> root) {
  builder.Finish(root);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// @return the verified root table, or null.
template <typename Table>
const Table* root_of(std::string_view body) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(body.data());
  flatbuffers::Verifier verifier(bytes, body.size());
  return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

Error malformed(const char* what) {
  return not_run(ErrorKind::kInvalidRequest, std::string("malformed ") + what + " from a peer",
                 "run the same release on all nodes");
}

std::string text_of(const flatbuffers::String* text) { return text ? text->str() : std::string(); }

using TextVector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

std::vector<std::string> texts_of(const TextVector* vector) {
  std::vector<std::string> texts;
  if (vector != nullptr) {
    for (const flatbuffers::String* text : *vector) {
      texts.push_back(text_of(text));
    }
  }
  return texts;
}

}  // namespace

std::string encode(const HeadReport& message) {
  FlatBufferBuilder builder;
  const ConfigurationHead& head = message.head;
  const auto head_table =
      wire::CreateHeadDirect(builder, head.version, head.manifest_digest.c_str(),
                             head.attempt.c_str(), head.origin.c_str());
  const auto age = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(message.confirmed_age).count());
  return finish(builder, wire::CreateHeadReport(builder, head_table, message.applied_version,
                                                message.learned, message.cut_off, age));
}

std::string encode(const ManifestRequest& message) {
  FlatBufferBuilder builder;
  return finish(builder, wire::CreateManifestRequestDirect(builder, message.digest.c_str(),
                                                           message.known_digest.c_str()));
}

std::string encode(const ManifestReply& message) {
  FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ManifestEntry>> entries;
  for (const auto& [name, digest] : message.delta.changed) {
    entries.push_back(wire::CreateManifestEntryDirect(builder, name.c_str(), digest.c_str()));
  }
  const auto entry_vector = builder.CreateVector(entries);
  const auto removed = builder.CreateVectorOfStrings(message.delta.removed);
  const auto blocks = builder.CreateVectorOfStrings(message.blocks);
  return finish(
      builder, wire::CreateManifestReply(builder, message.complete, entry_vector, removed, blocks));
}

std::string encode(const BlockRequest& message) {
  FlatBufferBuilder builder;
  const auto digests = builder.CreateVectorOfStrings(message.digests);
  return finish(builder, wire::CreateBlockRequest(builder, digests));
}

std::string encode(const BlockReply& message) {
  FlatBufferBuilder builder;
  const auto blocks = builder.CreateVectorOfStrings(message.blocks);
  return finish(builder, wire::CreateBlockReply(builder, blocks));
}

Expected<HeadReport> decode_head_report(std::string_view body) {
  const auto* table = root_of<wire::HeadReport>(body);
  if (table == nullptr || table->head() == nullptr) {
    return tl::unexpected(malformed("head report"));
  }
  HeadReport report;
  report.head.version = table->head()->version();
  report.head.manifest_digest = text_of(table->head()->manifest_digest());
  report.head.attempt = text_of(table->head()->attempt());
  report.head.origin = text_of(table->head()->origin());
  report.applied_version = table->applied_version();
  report.learned = table->learned();
  report.cut_off = table->cut_off();
  report.confirmed_age = std::chrono::milliseconds(
      std::min<uint64_t>(table->confirmed_age_milliseconds(), kMaxAgeMilliseconds));
  return report;
}

Expected<ManifestRequest> decode_manifest_request(std::string_view body) {
  const auto* table = root_of<wire::ManifestRequest>(body);
  if (table == nullptr) {
    return tl::unexpected(malformed("manifest request"));
  }
  return ManifestRequest{text_of(table->digest()), text_of(table->known_digest())};
}

Expected<ManifestReply> decode_manifest_reply(std::string_view body) {
  const auto* table = root_of<wire::ManifestReply>(body);
  if (table == nullptr) {
    return tl::unexpected(malformed("manifest"));
  }
  ManifestReply reply;
  reply.complete = table->complete();
  if (table->entries() != nullptr) {
    for (const wire::ManifestEntry* entry : *table->entries()) {
      reply.delta.changed.emplace(text_of(entry->name()), text_of(entry->digest()));
    }
  }
  reply.delta.removed = texts_of(table->removed());
  reply.blocks = texts_of(table->blocks());
  return reply;
}

Expected<BlockRequest> decode_block_request(std::string_view body) {
  const auto* table = root_of<wire::BlockRequest>(body);
  if (table == nullptr) {
    return tl::unexpected(malformed("block request"));
  }
  return BlockRequest{texts_of(table->digests())};
}

Expected<BlockReply> decode_block_reply(std::string_view body) {
  const auto* table = root_of<wire::BlockReply>(body);
  if (table == nullptr) {
    return tl::unexpected(malformed("blocks"));
  }
  return BlockReply{texts_of(table->blocks())};
}

}  // namespace chalkshed
