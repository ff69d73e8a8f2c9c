// Settings of worker selection.
#pragma once

#include <array>
#include <cstdint>

#include "chalkshed/batch_room.h"
#include "chalkshed/cold_start_limit.h"
#include "chalkshed/worker_failures.h"
#include "chalkshed/worker_outcomes.h"
#include "chalkshed/worker_speed.h"
#include "src/core/time.h"

namespace chalkshed {

// The choice among workers that report their slowdown. All nodes see the loads of some 70 ms ago
// and the same speeds: a cost that differs much between workers sends the requests of all nodes to
// the same few. The terms are therefore small compared with each node's own order of the workers.
struct speed_choice_knobs {
  // Whether the reported slowdown counts in the choice, and not only in learning.
  bool by_slowdown = true;
  // Spread of each node's own order; replaces `order_offset_milliseconds`, with the same mean.
  double order_offset_milliseconds = 40.0;
  // By how much of a worker's speed its prefill time differs.
  double share_in_prefill = 0.3;
  // Cost at a worker of speed 1 of each request that leaves fewer free slots than this, which other
  // nodes may take meanwhile. A slow worker takes longer until it has a free slot again.
  double crowding_milliseconds = 4.0;
  double wanted_free_slots = 2.0;
  // A worker that is at least as fast may get one online request more than it has slots: a slot is
  // free there sooner than this node would learn of one elsewhere.
  double min_speed_to_queue = 0.8;
};

struct WorkerKnobs {
  // The weight of a worker's load report falls linearly from one to zero over this time.
  Duration report_lifetime = std::chrono::milliseconds(400);
  // A worker that refused a request gets no further one for this long.
  Duration refusal_pause = std::chrono::milliseconds(60);
  outcome_knobs outcomes;
  // A worker whose record disappeared without draining first, while the store may have had a fault,
  // is used as a last resort for this long.
  Duration unlisted_grace = std::chrono::seconds(10);
  // Share of a service's slots that batch work may use.
  batch_room_knobs batch_room;
  // Prefill rate of an engine in tokens per millisecond, until it has been measured.
  double prompt_tokens_per_millisecond = 60.0;
  // Estimated delay of a new request by each request in flight at the worker.
  double milliseconds_per_request = 1.0;
  // Limits on requests to workers that have just started.
  cold_start_knobs cold_start;
  // Cost penalty of a cold worker: it gets only requests for which no warm worker has room.
  double cold_milliseconds = 50.0;
  // Cost penalty of a worker without a free slot, and of each request queued there.
  double full_worker_milliseconds = 100.0;
  double waiting_milliseconds = 50.0;
  // Learning of the speeds of workers that report their slowdown.
  worker_speed_knobs speed;
  speed_choice_knobs speed_choice;
  // Cost per request in flight for a request that may crash its worker, and the others with it.
  double milliseconds_per_request_at_risk = 1000.0;
  // Detection of workers that fail more requests than others.
  failure_knobs failures;
  // Cost of a worker that was ejected for it: a last resort, or preferred by the next probe.
  double probe_milliseconds = 1000.0;
  // A request that may run once cannot be retried after a failure, so it avoids workers with recent
  // failures more strongly.
  double once_failure_factor = 2.0;
  // Cost penalty of a worker in another zone.
  double other_zone_milliseconds = 2.0;
  // Each node adds a fixed pseudo-random offset of up to this many milliseconds to the cost of each
  // worker. Nodes learn of free slots with a delay; without offsets they would all choose the same
  // worker.
  double order_offset_milliseconds = 12.0;
  // New requests avoid a version with less than this share of its service's slots, by up to that
  // much cost: less than a full worker costs.
  double scarce_version_share = 0.25;
  double scarce_version_milliseconds = 40.0;
  // Shared prompt prefixes shorter than this are ignored in worker selection.
  uint32_t min_shared_tokens = 1000;
  // Distant nodes are told at once of a prompt with at least this many tokens to prefill.
  double long_prompt_tokens = 3000;
  // Distant nodes are also told at once after every this many requests sent.
  uint64_t notable_slots = 4;
  // Estimated probability that a shared prefix is still cached at its first-choice worker, and at
  // the second and third choices, which get requests with that prefix when the ones before are
  // full.
  std::array<double, 3> prefix_cached_probability = {0.8, 0.5, 0.3};
};

}  // namespace chalkshed
