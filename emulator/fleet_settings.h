// Settings of chalkshed-emulator: platform services and the fleet of workers and back ends.
#pragma once

#include <string>
#include <vector>

#include "emulator/emulated_platform.h"
#include "emulator/engine_settings.h"
#include "src/core/address.h"
#include "src/core/error.h"

namespace chalkshed {

// Machines of one role on consecutive ports, assigned to zones round-robin.
struct MachineGroup {
  MachineRole role = MachineRole::kWorker;
  std::string service;
  std::string id_prefix;  // ids are <prefix>-1, <prefix>-2, ...
  uint32_t count = 1;
  Address first_address;
  std::vector<std::string> zones;
  std::string region;
  Duration latency = std::chrono::milliseconds(2);  // back ends only
};

struct FleetSettings {
  Address control{"127.0.0.1", 7300};  // address of the platform services, faults and status
  uint64_t seed = 1;
  std::string run_log;  // file in which runs are recorded; empty: not recorded
  ServiceFaults table;
  ServiceFaults objects;
  ServiceFaults machine_list;
  Duration machine_list_lag = std::chrono::seconds(2);
  EngineSettings engine;
  std::vector<MachineGroup> groups;
  std::vector<Machine> nodes;  // nodes in the machine list
};

// Reads a TOML file. Errors: kInvalidSetting with file, line and key, also for unknown keys.
Expected<FleetSettings> load_fleet_settings(const std::string& path);

}  // namespace chalkshed
