// Dependencies and settings shared by all requests of one gateway.
#pragma once

#include <cstdint>
#include <string>

#include "src/gateway/gateway_knobs.h"
#include "src/node/node_dependencies.h"
#include "src/routing/router.h"

namespace chalkshed {

// Generates identifiers that are unique among all attempts of all nodes and their incarnations.
class UniqueIds {
 public:
  explicit UniqueIds(const NodeIdentity& identity)
      : prefix_(identity.id + "-" + std::to_string(identity.incarnation) + "-") {}
  std::string next() { return prefix_ + std::to_string(next_++); }

 private:
  const std::string prefix_;
  uint64_t next_ = 0;
};

struct GatewayEnvironment {
  TimeSource& time_source;
  Dispatcher& dispatcher;
  EngineClient& engine_client;
  HttpClient& backend_client;
  Router& router;
  Logger& logger;
  MetricsRegistry& metrics;
  GatewayKnobs knobs;
  UniqueIds unique_ids;
};

}  // namespace chalkshed
