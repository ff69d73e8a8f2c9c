// The status that a node reports to its peers a few times a second.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/queued_tokens.h"
#include "chalkshed/worker_speed.h"
#include "src/core/time.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

// Requests that one node has in flight at one worker.
struct PeerWorkerLoad {
  uint64_t worker = 0;  // hash of its incarnation
  uint16_t online = 0;
  uint16_t batch = 0;
  uint32_t prompt_tokens = 0;  // sent there since the node's session began; wraps around
};

// Recent outcomes of the sender's own requests at one worker.
struct PeerWorkerOutcomes {
  uint64_t worker = 0;
  std::optional<Duration> failed_ago;  // nothing: never, or too long ago to be relevant
  std::optional<Duration> succeeded_ago;
  uint16_t failures = 0;  // since the last success
};

// The newest row versions that a node knows of the tables that all nodes base their decisions on.
struct KnownVersions {
  StoreVersion configuration = 0;
  StoreVersion workers = 0;
};

struct Heartbeat {
  std::string session;
  uint64_t sequence = 0;  // increasing; heartbeats that arrive out of order are ignored
  bool draining = false;
  Duration store_silence{0};
  StoreVersion store_version = 0;
  KnownVersions known;
  std::vector<PeerWorkerLoad> loads;
  std::vector<PeerWorkerOutcomes> outcomes;
  std::vector<job_remainder> remainders;
  // Samples of workers' speeds since the sender's previous heartbeat.
  std::vector<worker_speed_entry> speeds;
  // The sender sends the next heartbeat to this receiver within this time; 0: unknown. An interval
  // that is estimated from arrivals makes a sender look dead that has reported many failures and
  // then sends less (259 false lapses in 1.5 s of the logs of 295 nodes).
  Duration next_within{0};
};

std::string encode_heartbeat(const Heartbeat& heartbeat);
// @return nothing if the bytes are not a heartbeat.
std::optional<Heartbeat> decode_heartbeat(std::string_view datagram);

}  // namespace chalkshed
