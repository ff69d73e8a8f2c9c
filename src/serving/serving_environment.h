// Dependencies and settings shared by all requests of one serving gateway.
#pragma once

#include <memory>

#include "chalkshed/request_quarantine.h"
#include "src/core/dispatcher.h"
#include "src/core/random.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/serving/serving_protocol.h"
#include "src/serving/worker_set.h"
#include "src/transport/http_client.h"

namespace chalkshed {

class answer_memory;
class stream_origins;
class surplus_answers;

struct ServingKnobs {
  // Maximum number of sends of one request that workers refuse without running it.
  uint32_t max_refused_sends = 4;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // Default Retry-After of a refusal.
  Duration retry_after = std::chrono::milliseconds(150);
  // A stream is aborted when more bytes than this are unread by its caller.
  size_t max_buffered_bytes = 1024 * 1024;
  // A repeatable request is sent to another worker when its worker has sent nothing for this long.
  Duration repeatable_silence = std::chrono::milliseconds(900);
  // How long a request waits for a free slot, as a fraction of its latency target.
  double max_wait_share_of_target = 0.8;
};

// All references outlive the requests.
struct ServingEnvironment {
  TimeSource& time_source;
  Dispatcher& dispatcher;
  RandomGenerator& random;
  HttpClient& worker_client;
  const ServingProtocol& protocol;
  WorkerSet& workers;
  Logger& logger;
  MetricsRegistry& metrics;
  ServingKnobs knobs;
  request_quarantine& quarantine;
  // Null: callers cannot take streams up again.
  stream_origins* origins = nullptr;
  // Null: surplus answers are not recorded.
  surplus_answers* surplus = nullptr;
  // Null: what is kept of all answers together is not bounded.
  answer_memory* memory = nullptr;
};

}  // namespace chalkshed
