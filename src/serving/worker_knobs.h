// Tunables of the choice of workers.
#pragma once

#include <array>
#include <cstdint>

#include "chalkshed/batch_room.h"
#include "chalkshed/cold_start_limit.h"
#include "chalkshed/worker_outcomes.h"
#include "src/core/time.h"

namespace chalkshed {

struct WorkerKnobs {
  // A report of a worker counts in full when new and for nothing after this long.
  Duration report_lifetime = std::chrono::milliseconds(400);
  // A worker that refused is not asked again for this long.
  Duration refusal_pause = std::chrono::milliseconds(60);
  outcome_knobs outcomes;
  // A worker whose record is gone without having said that it leaves serves as a last resort for
  // this long: records also vanish while the store is down.
  Duration unlisted_grace = std::chrono::seconds(10);
  // How much of a service batch work takes.
  batch_room_knobs batch_room;
  // Prompt tokens that an engine reads in a millisecond, until it has been measured.
  double prompt_tokens_per_millisecond = 60.0;
  // What each further request at a worker costs a new one, in milliseconds.
  double milliseconds_per_request = 1.0;
  // What may be sent to workers that have just started.
  cold_start_knobs cold_start;
  // A cold worker counts as if it had this many milliseconds more to do: it takes what no warm one
  // has room for.
  double cold_milliseconds = 50.0;
  // What a worker whose places are all taken costs, and each request that waits there.
  double full_milliseconds = 100.0;
  double waiting_milliseconds = 50.0;
  // The same for a request that may end its worker: what it costs the others there.
  double milliseconds_per_request_at_risk = 1000.0;
  // A worker in another zone counts as if it had this many milliseconds more to do.
  double other_zone_milliseconds = 2.0;
  // Each node has an order of its own among the workers, which counts up to this many milliseconds.
  // Many nodes see the same free places a little late; without it they all take the same one.
  double own_order_milliseconds = 12.0;
  // Shared prompt parts below this many tokens don't decide where a request goes.
  uint32_t least_shared_tokens = 1000;
  // Nodes far away hear at once of a prompt of which a worker has to read this much.
  double long_prompt_tokens = 3000;
  // So they do of each so many requests sent.
  uint64_t notable_places = 4;
  // How sure it is that the worker to which a shared prompt is sent first still keeps it, and those
  // to which it is sent when the ones before have no room: they keep it from the last such time.
  std::array<double, 3> prefix_kept = {0.8, 0.5, 0.3};
};

}  // namespace chalkshed
