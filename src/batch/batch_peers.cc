#include "src/batch/batch_peers.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

#include "src/batch/batch_messages_generated.h"
#include "src/membership/rendezvous.h"

namespace chalkshed {
namespace {

constexpr const char* kCancelMethod = "batch_cancel";
constexpr const char* kOpenMethod = "batch_open";
// Nodes beyond this limit discover a new job by polling the table.
constexpr uint32_t kMaxNotifiedNodes = 32;

std::string copy_body(const flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// @return the message, or null when the body is malformed.
template <typename Message>
const Message* parse_message(const std::string& body) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(body.data()), body.size());
  return verifier.VerifyBuffer<Message>(nullptr) ? flatbuffers::GetRoot<Message>(body.data())
                                                 : nullptr;
}

void ignore(const Expected<std::string>& /*answer*/) {}

}  // namespace

BatchPeers::BatchPeers(const NodeIdentity& identity, NodeDependencies& dependencies,
                       const MembershipView& membership, Events events)
    : identity_(identity),
      dependencies_(dependencies),
      membership_(membership),
      events_(std::move(events)) {
  dependencies_.peer_server.register_method(
      kCancelMethod,
      lifetime_.guard([this](const std::string& body, const PeerServer::Reply& reply) {
        on_cancel_call(body);
        reply(std::string());
      }));
  dependencies_.peer_server.register_method(
      kOpenMethod, lifetime_.guard([this](const std::string& body, const PeerServer::Reply& reply) {
        on_open_call(body);
        reply(std::string());
      }));
}

void BatchPeers::notify_cancelled(const std::string& session, const JobId& job) {
  for (const Member& member : membership_.members()) {
    if (!session.starts_with(member.id + "-" + std::to_string(member.incarnation) + "-")) {
      continue;
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateBatchCancelDirect(builder, job.c_str()));
    dependencies_.peer_client.call(member.http_address, kCancelMethod, copy_body(builder), ignore);
  }
}

void BatchPeers::notify_accepted(const OpenJobRow& job, RowVersion version) {
  const std::vector<Member> members = membership_.members();
  const uint32_t count = std::min(job.job.chunks, kMaxNotifiedNodes);
  const auto chosen = rendezvous_ranking(job.job.id, rendezvous_candidates(members, {}), count);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateBatchOpenDirect(builder, encode(job).c_str(), version));
  for (const Member& member : members) {
    const bool notified = std::find(chosen.begin(), chosen.end(), member.id) != chosen.end();
    if (notified && member.id != identity_.id) {
      dependencies_.peer_client.call(member.http_address, kOpenMethod, copy_body(builder), ignore);
    }
  }
}

void BatchPeers::on_cancel_call(const std::string& body) {
  if (const auto* message = parse_message<wire::BatchCancel>(body)) {
    events_.on_cancelled(message->job()->str());
  }
}

void BatchPeers::on_open_call(const std::string& body) {
  const auto* message = parse_message<wire::BatchOpen>(body);
  const auto row = message == nullptr ? Expected<OpenJobRow>(OpenJobRow{})
                                      : decode_open_job(message->row()->str());
  if (message != nullptr && row) {
    events_.on_accepted(*row, message->version());
  }
}

}  // namespace chalkshed
