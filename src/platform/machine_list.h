// The platform's list of live and leaving machines. It lags and must not be relied on alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/address.h"
#include "src/core/error.h"

namespace chalkshed {

enum class MachineRole {
  kNode,     // runs chalkshedd
  kWorker,   // runs a model engine
  kBackend,  // runs a plain back end
};

enum class MachineState { kLive, kLeaving };

struct Machine {
  std::string id;
  MachineRole role = MachineRole::kNode;
  MachineState state = MachineState::kLive;
  std::string service;   // workers and back ends: the service they belong to
  Address address;       // HTTP address of the process
  Address peer_address;  // nodes only: UDP membership address
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;  // incremented at each start of the process
};

struct MachineListSnapshot {
  std::vector<Machine> machines;
  // Two snapshots of one list with the same revision are equal; 0: unknown.
  uint64_t revision = 0;
};

class MachineList {
 public:
  virtual ~MachineList() = default;
  // Errors: kStoreUnavailable.
  virtual void fetch(Callback<MachineListSnapshot> callback) = 0;
};

}  // namespace chalkshed
