#include "src/peers/heartbeat.h"

#include <algorithm>
#include <limits>

#include "src/peers/heartbeat_generated.h"
#include "src/worker_speed/speed_wire.h"

namespace chalkshed {
namespace {

uint32_t milliseconds_of(Duration duration) {
  const int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, std::numeric_limits<uint32_t>::max()));
}

constexpr uint16_t kNever = std::numeric_limits<uint16_t>::max();

uint16_t encode_age(const std::optional<Duration>& age) {
  return age ? static_cast<uint16_t>(std::min<uint32_t>(milliseconds_of(*age), kNever)) : kNever;
}

std::optional<Duration> decode_age(uint16_t milliseconds) {
  return milliseconds == kNever ? std::nullopt
                                : std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

}  // namespace

std::string encode_heartbeat(const Heartbeat& heartbeat) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::WorkerLoadEntry> loads;
  loads.reserve(heartbeat.loads.size());
  for (const PeerWorkerLoad& load : heartbeat.loads) {
    loads.emplace_back(load.worker, load.online, load.batch, load.prompt_tokens);
  }
  std::vector<wire::WorkerOutcomeEntry> outcomes;
  outcomes.reserve(heartbeat.outcomes.size());
  for (const PeerWorkerOutcomes& outcome : heartbeat.outcomes) {
    outcomes.emplace_back(outcome.worker, encode_age(outcome.failed_ago),
                          encode_age(outcome.succeeded_ago), outcome.failures);
  }
  std::vector<wire::JobRemainderEntry> remainders;
  remainders.reserve(heartbeat.remainders.size());
  for (const job_remainder& remainder : heartbeat.remainders) {
    remainders.emplace_back(remainder.job, remainder.queue, remainder.tokens);
  }
  // Left out if empty, as builds without the field do.
  const auto speeds =
      heartbeat.speeds.empty()
          ? 0
          : builder.CreateVectorOfStructs(to_wire<wire::WorkerSpeedEntry>(heartbeat.speeds));
  // One statement a part: C++ leaves the order of evaluation of arguments open, and the order of
  // the parts is the order of the bytes.
  const auto session = builder.CreateString(heartbeat.session);
  const auto load_entries = builder.CreateVectorOfStructs(loads);
  const auto outcome_entries = builder.CreateVectorOfStructs(outcomes);
  const auto remainder_entries = builder.CreateVectorOfStructs(remainders);
  builder.Finish(
      wire::CreateHeartbeat(builder, session, heartbeat.sequence, heartbeat.draining,
                            milliseconds_of(heartbeat.store_silence), heartbeat.store_version,
                            load_entries, outcome_entries, remainder_entries,
                            heartbeat.known.configuration, heartbeat.known.workers,
                            milliseconds_of(heartbeat.next_within), speeds),
      wire::HeartbeatIdentifier());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<Heartbeat> decode_heartbeat(std::string_view datagram) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(datagram.data());
  flatbuffers::Verifier verifier(bytes, datagram.size());
  if (!wire::VerifyHeartbeatBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::Heartbeat* message = wire::GetHeartbeat(bytes);
  Heartbeat heartbeat;
  heartbeat.session = message->session()->str();
  heartbeat.sequence = message->sequence();
  heartbeat.draining = message->draining();
  heartbeat.store_silence = std::chrono::milliseconds(message->store_silence_ms());
  heartbeat.store_version = message->store_version();
  heartbeat.known = {message->configuration_version(), message->workers_version()};
  heartbeat.next_within = std::chrono::milliseconds(message->next_within_ms());
  if (message->loads() != nullptr) {
    for (const wire::WorkerLoadEntry* load : *message->loads()) {
      heartbeat.loads.push_back(
          {load->worker(), load->online(), load->batch(), load->prompt_tokens()});
    }
  }
  if (message->outcomes() != nullptr) {
    for (const wire::WorkerOutcomeEntry* outcome : *message->outcomes()) {
      heartbeat.outcomes.push_back({outcome->worker(), decode_age(outcome->failed_ms_ago()),
                                    decode_age(outcome->succeeded_ms_ago()), outcome->failures()});
    }
  }
  if (message->remainders() != nullptr) {
    for (const wire::JobRemainderEntry* remainder : *message->remainders()) {
      heartbeat.remainders.push_back({remainder->job(), remainder->queue(), remainder->tokens()});
    }
  }
  heartbeat.speeds = from_wire(message->speeds());
  return heartbeat;
}

}  // namespace chalkshed
