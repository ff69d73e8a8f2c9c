#include "src/serving/service_draw.h"

namespace chalkshed {
namespace {

// The fractional part of the golden ratio: an additive recurrence with this step has the lowest
// discrepancy.
constexpr double kStep = 0.6180339887498949;

}  // namespace

const std::string& ServiceDraw::draw(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  const auto [entry, is_new] = positions_.try_emplace(route.name, 0.0);
  double& position = entry->second;
  position = is_new ? random_.unit() : position + kStep;
  position -= position >= 1.0 ? 1.0 : 0.0;
  uint64_t total = 0;
  for (const WeightedService& part : route.services) {
    total += part.weight;
  }
  double rest = position * static_cast<double>(total);
  for (const WeightedService& part : route.services) {
    rest -= part.weight;
    if (rest < 0) {
      return part.service;
    }
  }
  return route.services.back().service;
}

}  // namespace chalkshed
