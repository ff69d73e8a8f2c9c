// Weighted fair queueing between tenants.
#pragma once

#include <map>
#include <string>

namespace chalkshed {

// Start-time fair queueing. The tenant with the lowest start tag is served next; serving it
// advances its tag by cost / weight. A tenant that was idle starts at the current virtual time: it
// accumulates no credit and is not delayed by the past service of others, so no tenant starves.
class TenantShares {
 public:
  // @return the tenant's start tag; the lowest is served first.
  double start_tag(const std::string& tenant) const;
  // Accounts for work of `cost` (any unit, the same for all) done for the tenant.
  void charge(const std::string& tenant, double cost, double weight);

 private:
  double virtual_time_ = 0;
  std::map<std::string, double> finish_tags_;
};

}  // namespace chalkshed
