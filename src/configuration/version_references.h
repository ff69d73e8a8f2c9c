// Tracks which stored versions refer to which objects, as far as the history has been read.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_knobs.h"

namespace chalkshed {

// Versions and objects to remove in one retention round.
struct RemovalPlan {
  std::vector<ConfigurationVersion> versions;
  std::set<std::string> objects;  // names in the object store
};

class VersionReferences {
 public:
  // Adds a version. Versions must be added in ascending order.
  void add(const ConfigurationHead& head, const ConfigurationManifest& manifest);
  ConfigurationVersion read_through() const { return read_through_; }

  // @return the oldest versions that may be removed at wall-clock time `now` (microseconds since
  // 1970), and the objects that no later version refers to.
  RemovalPlan plan(const ConfigurationKnobs& knobs, int64_t now) const;
  void erase(const RemovalPlan& plan);

 private:
  std::map<ConfigurationVersion, int64_t> accepted_at_;
  std::map<std::string, ConfigurationVersion> last_reference_;  // by object name
  ConfigurationVersion read_through_ = 0;
};

}  // namespace chalkshed
