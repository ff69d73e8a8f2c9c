// Selects the worker for a request: which workers may take it, and which of these is best. It needs
// no network; what is known of the workers is passed in.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chalkshed/batch_room.h"
#include "chalkshed/worker_failures.h"
#include "src/core/random.h"
#include "src/serving/prompt_rate.h"
#include "src/serving/serving_request.h"
#include "src/serving/serving_worker.h"
#include "src/serving/worker_knobs.h"

namespace chalkshed {

enum class WorkClass { kOnline, kBatch };

// Constraints for the selection of a worker.
struct SlotRequest {
  std::string service;
  WorkClass work = WorkClass::kOnline;
  const ServingRequest* request = nullptr;
  // Incarnations that this request was sent to before; they are excluded.
  const std::set<std::string>* tried = nullptr;
  // The request can be retried on another worker, so it may be sent to a suspect worker.
  bool repeatable = false;
  // Batch work only: urgent runs leave less headroom for online work.
  batch_urgency urgency = batch_urgency::kNormal;
  // Select a worker even if no worker has a free slot.
  bool even_if_full = false;
  // With even_if_full: only if no other request is queued at the worker, as far as known.
  bool only_if_next = false;
  // The request may crash its worker: prefer the worker with the fewest other requests, which would
  // be lost with it.
  bool alone = false;
  // The request goes on with what a worker of this software wrote, and only these may take it.
  // kUnknown: it begins, and any worker may.
  software_id software = software_id::kUnknown;
  // Software versions that the request may crash. Null: none.
  const std::vector<software_id>* excluded_software = nullptr;
};

// The workers of one service.
struct SelectableService {
  const std::vector<WorkerPtr>& workers;
  const cold_start& cold;
  // Workers of more than one software version are listed.
  bool several_versions = false;
};

struct SelectedWorker {
  WorkerPtr worker;  // null: none may take the request now
  // Expected number of the request's prompt tokens in the worker's prefix cache.
  double cached_tokens = 0;
};

class WorkerSelection {
 public:
  // The references outlive the selection. @param prompt_rate as measured so far.
  WorkerSelection(RandomGenerator& random, std::string own_zone, const WorkerKnobs& knobs,
                  const PromptRate& prompt_rate);

  // Null: no worker is avoided because it fails requests.
  void set_failures(worker_failures* failures) { failures_ = failures; }
  bool ejected(const ServingWorker& worker, MonotonicTime now) const {
    return failures_ != nullptr && failures_->ejected(static_cast<uint32_t>(worker.hash), now);
  }
  SelectedWorker select(const SlotRequest& request, const SelectableService& service,
                        MonotonicTime now);
  // Whether the request was sent there before, or goes on with what other software wrote.
  static bool excluded(const ServingWorker& worker, const SlotRequest& request);

 private:
  // Preferred workers for requests with this prompt prefix, in order of preference.
  using PrefixOwners = std::vector<const ServingWorker*>;
  // A version with few slots left, which new requests avoid by this cost.
  struct ScarceVersion {
    software_id software = software_id::kUnknown;
    double milliseconds = 0;
  };
  // Inputs of one selection, common to all candidates.
  struct Choice {
    const SlotRequest& request;
    const SelectableService& service;
    MonotonicTime now;
    PrefixOwners owners;
    std::vector<ScarceVersion> scarce;
  };

  uint32_t load_of(const ServingWorker& worker, const Choice& choice) const {
    return load_at(worker, choice.now, knobs_.report_lifetime);
  }
  bool usable(const ServingWorker& worker, const Choice& choice) const;
  // How long work begun now takes at the worker, compared with one of speed 1; exactly 1 for
  // workers that do not report their slowdown.
  double slowness(const ServingWorker& worker, MonotonicTime now) const;
  // Estimated milliseconds until the first token of the request.
  // @param cached tokens of its prompt that the worker has in its prefix cache.
  double cost(const ServingWorker& worker, const Choice& choice, double cached) const;
  // What the speed of a worker that reports its slowdown changes in the cost.
  // @param prefill milliseconds that the prompt takes at a worker of speed 1.
  double cost_by_speed(const ServingWorker& worker, const Choice& choice, double prefill,
                       uint32_t load) const;
  // Whether the request may wait at the worker although all slots are taken.
  bool may_queue(const ServingWorker& worker, const SlotRequest& request) const;
  // @return the cost of `load` requests at a worker of speed 1 with that many slots.
  double crowding(uint32_t load, uint32_t slots) const;
  PrefixOwners prefix_owners(const SlotRequest& request, const SelectableService& service) const;
  // Expected number of prompt tokens in the worker's prefix cache.
  double cached_tokens(const Choice& choice, const ServingWorker& worker) const;
  // Whether the request may be a probe of that ejected worker. It must be repeatable, and must not
  // be under suspicion of crashing workers.
  bool probes(const ServingWorker& worker, const Choice& choice) const;
  // Milliseconds added to the cost of the worker because of its failed answers.
  double failure_cost(const ServingWorker& worker, const Choice& choice) const;
  bool healthy(const ServingWorker& worker, const Choice& choice) const;
  // @return the versions with few slots left: streams that they began can go on nowhere else.
  std::vector<ScarceVersion> scarce_versions(const SlotRequest& request,
                                             const SelectableService& service) const;
  // Milliseconds added to the cost of a worker of such a version.
  double version_cost(const ServingWorker& worker, const Choice& choice) const;
  // Whether a healthy worker exists that the request was not sent to yet, with or without a free
  // slot.
  bool any_healthy(const Choice& choice) const;
  WorkerPtr choose(const Choice& choice, bool ignore_failures);
  // The sort key of a worker; the lowest is selected. @param cost in milliseconds.
  double rank_of(const ServingWorker& worker, double cost);

  RandomGenerator& random_;
  const std::string own_zone_;
  const WorkerKnobs knobs_;
  const PromptRate& prompt_rate_;
  std::array<double, 32> crowding_{};  // by free slots; calculated once to make choices cheap
  worker_failures* failures_ = nullptr;
};

}  // namespace chalkshed
