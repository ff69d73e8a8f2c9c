// This node's view of one model worker or plain back end.
#pragma once

#include <memory>
#include <string>

#include "src/core/address.h"
#include "src/core/time.h"
#include "src/platform/machine_list.h"
#include "src/routing/batch_window.h"
#include "src/routing/router.h"
#include "src/routing/worker_health.h"
#include "src/routing/worker_load.h"

namespace chalkshed {

// The source of the information that a worker is leaving.
enum class LeavingSource : uint8_t { kNobody, kMachineList, kOwnReport, kOperator };

// @return "machine_list", "own_report", "operator" or "".
std::string_view leaving_source_name(LeavingSource source);

struct Worker {
  WorkerId id;
  Address address;
  std::string service;
  std::string zone;
  std::string region;
  MachineRole role = MachineRole::kWorker;
  uint64_t incarnation = 0;

  LeavingSource leaving_source = LeavingSource::kNobody;
  bool dropped = false;  // no longer listed; requests in flight may still refer to it

  WorkerLoad load;
  WorkerHealth health;
  BatchWindow window;

  bool leaving() const { return leaving_source != LeavingSource::kNobody; }
  bool usable() const { return !leaving() && !dropped; }
};
using WorkerHandle = std::shared_ptr<Worker>;

}  // namespace chalkshed
