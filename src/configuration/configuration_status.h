// Queries on demand which version every member applies.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/configuration/configuration_manager.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

struct MemberStatus {
  Member member;
  bool reachable = false;
  HeadReport report;  // only valid if reachable
  std::string problem;
};

struct ConfigurationStatus {
  ConfigurationVersion version = 0;   // the highest known to any member
  std::vector<MemberStatus> members;  // ordered by id
  std::vector<std::string> lagging;   // ids of members that do not apply `version`
  bool in_force_everywhere() const { return lagging.empty(); }
};

class ConfigurationStatusCollector {
 public:
  ConfigurationStatusCollector(const ConfigurationManager& manager, NodeDependencies& dependencies,
                               MembershipView& members)
      : manager_(manager), dependencies_(dependencies), members_(members) {}

  // Queries the report of every member. With `wanted` above 0, members that have reported this
  // version or a higher one are not queried again: versions only increase, so repeated calls only
  // query lagging members. The status then refers to the version `wanted`.
  void collect(ConfigurationVersion wanted, std::function<void(ConfigurationStatus)> callback);

 private:
  struct Collection;
  using CollectionPtr = std::shared_ptr<Collection>;

  bool use_cached_report(const Member& member, ConfigurationVersion wanted, MemberStatus& status);
  void send_requests(const CollectionPtr& collection);
  void on_report_body(const CollectionPtr& collection, size_t index,
                      const Expected<std::string>& body);
  static void finish(const CollectionPtr& collection);

  struct CachedReport {
    uint64_t incarnation = 0;
    HeadReport report;
  };

  const ConfigurationManager& manager_;
  NodeDependencies& dependencies_;
  MembershipView& members_;
  std::map<NodeId, CachedReport> cached_reports_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
