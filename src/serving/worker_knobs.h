// Settings of worker selection.
#pragma once

#include <array>
#include <cstdint>

#include "chalkshed/batch_room.h"
#include "chalkshed/cold_start_limit.h"
#include "chalkshed/worker_outcomes.h"
#include "chalkshed/worker_speed.h"
#include "src/core/time.h"

namespace chalkshed {

struct WorkerKnobs {
  // The weight of a worker's load report falls linearly from one to zero over this time.
  Duration report_lifetime = std::chrono::milliseconds(400);
  // A worker that refused a request gets no further one for this long.
  Duration refusal_pause = std::chrono::milliseconds(60);
  outcome_knobs outcomes;
  // A worker whose record disappeared without draining first is used as a last resort for this
  // long: records also disappear while the store is down.
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
  // Whether the reported slowdown counts in the choice of a worker, and not only in learning.
  bool choose_by_slowdown = true;
  // Cost of holding a slot for the duration of an answer at a worker of speed 1; only the
  // difference to that worker counts.
  double answer_milliseconds = 10.0;
  // Cost per request in flight for a request that may crash its worker, and the others with it.
  double milliseconds_per_request_at_risk = 1000.0;
  // Cost penalty of a worker in another zone.
  double other_zone_milliseconds = 2.0;
  // Each node adds a fixed pseudo-random offset of up to this many milliseconds to the cost of each
  // worker. Nodes learn of free slots with a delay; without offsets they would all choose the same
  // worker.
  double order_offset_milliseconds = 12.0;
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
