// Determines which services can run more batch items than this node already holds.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/batch/chunk_run.h"
#include "src/configuration/configuration.h"
#include "src/routing/router.h"

namespace chalkshed {

// A snapshot; cheap to construct when no worker has free batch capacity.
class WorkDemand {
 public:
  using Chunks = std::map<ChunkId, std::unique_ptr<ChunkRun>>;

  // @param claimed_items items of the claims in flight.
  WorkDemand(const Configuration& configuration, const BatchSlots& slots, const Chunks& chunks,
             uint32_t claimed_items);

  // Whether any service has capacity.
  bool has_capacity() const { return !services_.empty(); }
  bool has_capacity_for(const JobRow& job) const;

 private:
  const Configuration& configuration_;
  std::set<std::string> services_;
};

}  // namespace chalkshed
