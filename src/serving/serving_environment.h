// What all requests in progress of one serving gateway share.
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

struct ServingKnobs {
  // Sends of one request to workers that refuse it without running it.
  uint32_t most_refused_sends = 4;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // When to come back after a refusal, unless there is better to say.
  Duration retry_after = std::chrono::milliseconds(150);
  // A stream whose caller has not taken this much is cut off.
  size_t most_buffered_bytes = 1024 * 1024;
  // A repeatable request is sent elsewhere when its worker has been silent for this long.
  Duration repeatable_silence = std::chrono::milliseconds(900);
  // A request that finds all places taken waits for one this share of its target.
  double longest_wait_of_target = 0.8;
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
};

}  // namespace chalkshed
