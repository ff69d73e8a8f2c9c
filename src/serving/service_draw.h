// Draws the service of a request from its route's weights.
#pragma once

#include <map>
#include <string>

#include "src/core/random.h"
#include "src/serving/route_table.h"

namespace chalkshed {

// Draws in a low-discrepancy sequence with a random start, so that the shares are right already
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
