// Experiment: network bytes per node for a day of configuration changes, with full snapshots and
// with content-addressed blocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chalkshed {

struct ConfigurationTrafficSettings {
  uint32_t nodes = 9;
  uint32_t tenants = 480;
  uint32_t models = 25;
  uint32_t changes = 2300;        // spread evenly over a day
  uint32_t policy_bytes = 9'400;  // program text of each model's service
  uint32_t tenant_buckets = 64;
  // Percentages of the changes; the rest change a policy.
  uint32_t tenant_changes = 85;
  uint32_t service_changes = 10;
  // HTTP start lines and headers of one call between nodes, request and response together.
  uint32_t call_overhead_bytes = 250;
  uint64_t seed = 1;
};

// Bytes that a node receives and sends because of the changes, over the whole day.
struct ConfigurationTraffic {
  uint64_t snapshot_bytes = 0;      // size of the configuration
  uint64_t whole_snapshots = 0;     // each change sends the complete configuration
  uint64_t one_level_manifest = 0;  // complete manifest, then the changed block
  uint64_t two_level_manifest = 0;  // root, one page, then the changed block
  uint64_t manifest_delta = 0;      // the production protocol, measured in a simulated cluster
  double calls_per_change = 0;      // of the production protocol, per node
  uint64_t exchanges = 0;           // the production protocol's periodic exchange of heads
  uint64_t installs = 0;            // versions that took effect, summed over all nodes
};

// Runs a day of virtual time with the production classes.
ConfigurationTraffic measure_configuration_traffic(const ConfigurationTrafficSettings& settings);

}  // namespace chalkshed
