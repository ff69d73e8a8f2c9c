// A worker as one node sees it: its record, the requests in flight there, and what its answers and
// other nodes tell about it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "chalkshed/cold_start_limit.h"
#include "chalkshed/software_id.h"
#include "chalkshed/worker_outcomes.h"
#include "chalkshed/worker_speed.h"
#include "src/core/address.h"
#include "src/core/time.h"
#include "src/serving/serving_protocol.h"

namespace chalkshed {

// A worker's record in the source of truth. Name and start time identify one incarnation of it.
struct WorkerRecord {
  std::string incarnation;
  std::string service;
  Address address;
  std::string zone;
  uint32_t slots = 1;
  bool leaving = false;
  // Start time, which tells apart incarnations with the same name; the epoch if the record has
  // none.
  WallTime started{};
  Duration cold_left{0};     // remaining warm-up time as reported by the worker
  std::string version = {};  // of its software; empty if the record has none
};

// Requests in flight at all workers of a service together. Maintained incrementally: summing over
// all workers for each load update of a peer took 45 in 100 of a core at 3,000 workers.
struct ServiceCounts {
  int64_t online = 0;     // of all nodes, as far as known
  int64_t own_batch = 0;  // of this node
};

// This node's view of one worker.
struct ServingWorker {
  WorkerRecord record;
  software_id software = software_id::kUnknown;
  std::shared_ptr<ServiceCounts> counts;  // of its service
  uint64_t hash = 0;        // 32-bit hash of the incarnation; identifies the worker between nodes
  double order_offset = 0;  // in [0, 1): this node's fixed pseudo-random offset for it
  bool listed = false;      // false: the record was removed
  MonotonicTime unlisted_since{};
  bool removal_doubtful = false;  // the record may have lapsed because the store failed
  bool evacuated = false;         // the worker's zone is evacuated
  cold_state cold;
  uint32_t online_in_flight = 0;  // of this node
  uint32_t batch_in_flight = 0;
  // In flight from other nodes, as reported by them.
  int32_t others_online = 0;
  int32_t others_batch = 0;
  // Prompt tokens sent there by this node; wraps around.
  uint32_t prompt_tokens_sent = 0;
  // Estimated end of the prefill of all prompts sent there by any node, as far as known.
  MonotonicTime prefill_until{};
  // The load that the worker itself reported with an answer.
  std::optional<WorkerLoadReport> report;
  MonotonicTime reported{};
  uint32_t in_flight_when_reported = 0;
  // Another worker has answered at its address.
  bool replaced = false;
  // Set after a refusal: not selected before this time unless there is no alternative.
  MonotonicTime avoided_until{};
  worker_outcomes outcomes;
  worker_speed speed;
  // Samples of its speed that were not reported to the other nodes yet.
  speed_samples unreported_speed;
  bool speed_unreported = false;  // listed among the workers to report to the other nodes

  // Leaving, or to get nothing for another reason that does not pass by itself.
  bool withdrawn() const { return record.leaving || replaced || evacuated; }
  bool in_service() const { return listed && !withdrawn(); }
  uint32_t in_flight() const { return online_in_flight + batch_in_flight; }
  // Of all nodes, as far as known.
  uint32_t batch_of_all() const {
    return batch_in_flight + static_cast<uint32_t>(std::max(others_batch, 0));
  }
  // Negative if a peer reported a request's start before the worker was listed and its end after.
  int64_t online_of_others() const { return std::max(others_online, 0); }
};
using WorkerPtr = std::shared_ptr<ServingWorker>;

// @param report_lifetime how long the worker's own report counts, with a weight that falls to zero.
// @return the requests in flight at the worker from all nodes, as far as known.
uint32_t load_at(const ServingWorker& worker, MonotonicTime now, Duration report_lifetime);

}  // namespace chalkshed
