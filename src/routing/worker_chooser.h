// Selects the worker for an online request among the usable workers of its service.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/core/time.h"
#include "src/routing/prefix_affinity.h"
#include "src/routing/routing_knobs.h"
#include "src/routing/worker.h"

namespace chalkshed {

// Location of the node that selects the worker.
struct Locality {
  std::string zone;
  std::string region;
};

class WorkerChooser {
 public:
  WorkerChooser(Locality locality, const RoutingKnobs& knobs, RandomGenerator& random)
      : locality_(std::move(locality)),
        knobs_(knobs),
        random_(random),
        affinity_(knobs.choice.remembered_prefixes, knobs.choice.prefix_memory) {}

  // @param workers candidates; leaving and excluded workers are skipped, ejected ones unless there
  // are no others.
  // @return null if no worker may be used.
  WorkerHandle choose(const std::vector<WorkerHandle>& workers, const RouteRequest& request,
                      const ServiceProfile& profile, MonotonicTime now);

 private:
  std::vector<WorkerHandle> eligible(const std::vector<WorkerHandle>& workers,
                                     const RouteRequest& request, MonotonicTime now);
  bool draws_traffic_share(const Worker& worker, MonotonicTime now);
  WorkerHandle least_cost(const std::vector<WorkerHandle>& candidates, const RouteRequest& request,
                          const ServiceProfile& profile, MonotonicTime now);
  WorkerHandle less_loaded_of_two(const std::vector<WorkerHandle>& candidates);
  // Random candidates, mostly from the node's own zone.
  std::vector<WorkerHandle> sample(const std::vector<WorkerHandle>& candidates);
  // The worker that all nodes prefer for a prefix, among those within the load bound.
  WorkerHandle preferred_for(uint64_t prefix, const std::vector<WorkerHandle>& candidates,
                             MonotonicTime now) const;
  Duration round_trip(const Worker& worker) const;

  Locality locality_;
  const RoutingKnobs& knobs_;
  RandomGenerator& random_;
  PrefixAffinity affinity_;
  std::map<std::string, uint64_t> round_robin_;  // by service
};

}  // namespace chalkshed
