// Selects the service for a request according to the weights of its route.
#pragma once

#include <map>
#include <string>

#include "src/core/random.h"
#include "src/serving/route_table.h"

namespace chalkshed {

// Uses a low-discrepancy sequence with a random start, so that the shares match the weights even
// over few requests, and over all nodes together.
class ServiceDraw {
 public:
  explicit ServiceDraw(RandomGenerator& random) : random_(random) {}
  // @return a service of the route, which has at least one.
  const std::string& draw(const Route& route);

 private:
  RandomGenerator& random_;
  std::map<std::string, double> positions_;  // by route name, in [0, 1)
};

}  // namespace chalkshed
