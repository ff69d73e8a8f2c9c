// Measurements with real processes: the overhead of a hop through a node, the token throughput of a
// node, and the effect of batch work on the latency of pings to a plain service.
#pragma once

#include <string>

#include "src/core/address.h"

namespace chalkshed::bench {

struct LiveSettings {
  Address node;    // the node that is measured
  Address worker;  // an engine, for direct requests
  std::string model;
  std::string plain_service;
  std::string online_key;  // API keys of tenants without limits
  std::string batch_key;
  int node_process = 0;  // its CPU time is read; 0: not measured
  uint32_t hop_requests = 400;
  uint32_t streams = 224;
  uint32_t stream_seconds = 8;
  uint32_t pings = 400;
  uint32_t batch_items = 3000;
};

// @return the measurements as one JSON object.
// Throws std::runtime_error when requests fail.
std::string run_live(const LiveSettings& settings);

}  // namespace chalkshed::bench
