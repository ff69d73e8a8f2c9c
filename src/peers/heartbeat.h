// What a node tells its peers a few times a second.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/queued_tokens.h"
#include "src/core/time.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

// Requests that one node has in flight at one worker.
struct PeerWorkerLoad {
  uint64_t worker = 0;  // hash of its incarnation
  uint16_t online = 0;
  uint16_t batch = 0;
  uint32_t prompt_tokens = 0;  // to be read, sent there since the node's session began; wraps
};

// How requests ended lately at one worker, by the sender's own sight.
struct PeerWorkerOutcomes {
  uint64_t worker = 0;
  std::optional<Duration> failed_ago;  // nothing: never, or too long ago to matter
  std::optional<Duration> succeeded_ago;
  uint16_t failures = 0;  // since the last success
};

// The newest rows that a node knows of the tables on which every node's decisions rest.
struct KnownVersions {
  StoreVersion configuration = 0;
  StoreVersion workers = 0;
};

struct Heartbeat {
  std::string session;
  uint64_t sequence = 0;  // grows; older ones arrive late and are ignored
  bool draining = false;
  Duration store_silence{0};
  StoreVersion store_version = 0;
  KnownVersions known;
  std::vector<PeerWorkerLoad> loads;
  std::vector<PeerWorkerOutcomes> outcomes;
  std::vector<job_remainder> remainders;
  // The sender's promise to this receiver: when the next one is sent at the latest; 0: not said. An
  // interval estimated from arrivals takes a sender for dead that has reported many failures and
  // grows quiet (259 false lapses on 295 nodes, counted in 1.5 s of their logs).
  Duration next_within{0};
};

std::string encode_heartbeat(const Heartbeat& heartbeat);
// @return nothing when the bytes form no heartbeat.
std::optional<Heartbeat> decode_heartbeat(std::string_view datagram);

}  // namespace chalkshed
