#include "src/batch/work_demand.h"

#include "src/gateway/request_admission.h"

namespace chalkshed {
namespace {

// Number of held items as a multiple of what the workers can run concurrently, so that slots do not
// stay idle while the next chunk is claimed and loaded.
constexpr uint32_t kPrefetchFactor = 2;

struct HeldItems {
  uint32_t unfinished = 0;
  uint32_t running = 0;
};

HeldItems held_items(const Configuration& configuration, const std::string& service,
                     const WorkDemand::Chunks& chunks) {
  HeldItems held;
  for (const auto& [id, chunk] : chunks) {
    for (const std::string& model : chunk->job().models) {
      const auto found = find_service_of_model(configuration, model);
      if (found && (*found)->name == service) {
        held.unfinished += chunk->unfinished_items();
        held.running += chunk->running_items();
        break;
      }
    }
  }
  return held;
}

}  // namespace

WorkDemand::WorkDemand(const Configuration& configuration, const BatchSlots& slots,
                       const Chunks& chunks, uint32_t claimed_items)
    : configuration_(configuration) {
  for (const auto& [name, service] : configuration.services) {
    const uint32_t free_slots = service.kind == ServiceKind::kModel ? slots.available(name) : 0;
    if (free_slots == 0) {
      continue;
    }
    const HeldItems held = held_items(configuration, name, chunks);
    if (held.unfinished + claimed_items < kPrefetchFactor * (held.running + free_slots)) {
      services_.insert(name);
    }
  }
}

bool WorkDemand::has_capacity_for(const JobRow& job) const {
  for (const std::string& model : job.models) {
    const auto service = find_service_of_model(configuration_, model);
    // Items of unknown models are failed by the node that claims them.
    if (!service || services_.contains((*service)->name)) {
      return true;
    }
  }
  return false;
}

}  // namespace chalkshed
