#include "src/batch/tenant_shares.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr double kMinWeight = 0.001;

}  // namespace

double TenantShares::start_tag(const std::string& tenant) const {
  const auto found = finish_tags_.find(tenant);
  return found == finish_tags_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

void TenantShares::charge(const std::string& tenant, double cost, double weight) {
  const double start = start_tag(tenant);
  virtual_time_ = start;
  finish_tags_[tenant] = start + cost / std::max(weight, kMinWeight);
}

}  // namespace chalkshed
