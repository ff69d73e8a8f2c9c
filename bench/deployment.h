// The two reference deployments: their sizes, latencies and load.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/time.h"

namespace chalkshed::bench {

struct Deployment {
  std::string name;
  uint32_t workers = 12;
  uint32_t nodes = 3;  // one per zone
  std::vector<std::string> zones = {"zone-1", "zone-2", "zone-3"};
  Duration zone_latency = std::chrono::milliseconds(1);     // one way, between zones
  Duration local_latency = std::chrono::microseconds(100);  // one way, within a zone
  Duration client_latency = std::chrono::milliseconds(2);   // one way
  double batch_fill = 0.5;                                  // of the deployment's policy
  double tail_bound = 1.10;  // maximum ratio of the online p99 with batch to that without
  double requests_per_second = 60;
  // Somewhat more than the engines' sequence slots (32 each), so that online requests queue briefly
  // even without batch.
  uint32_t burst_requests = 550;
  uint32_t heap_items = 3600;  // of each batch submission
};

// 12 workers; favours batch throughput.
Deployment throughput_deployment();
// 18 workers; favours online tail latency.
Deployment tail_deployment();

}  // namespace chalkshed::bench
