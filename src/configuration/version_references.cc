#include "src/configuration/version_references.h"

namespace chalkshed {

void VersionReferences::add(const ConfigurationHead& head, const ConfigurationManifest& manifest) {
  read_through_ = head.version;
  accepted_at_[head.version] = head.accepted_at;
  last_reference_[manifest_object_name(head.manifest_digest)] = head.version;
  for (const auto& [name, digest] : manifest.digests) {
    last_reference_[block_object_name(digest)] = head.version;
  }
}

RemovalPlan VersionReferences::plan(const ConfigurationKnobs& knobs, int64_t now) const {
  RemovalPlan plan;
  for (const auto& [version, accepted_at] : accepted_at_) {
    const bool is_retained = version + knobs.retained_versions > read_through_;
    const bool is_recent = now - accepted_at < knobs.retained_age.count();
    const bool round_full = plan.versions.size() >= knobs.removed_versions_per_round;
    if (is_retained || is_recent || round_full) {
      break;  // all later versions are kept too, so that the kept versions have no gaps
    }
    plan.versions.push_back(version);
  }
  if (plan.versions.empty()) {
    return plan;
  }
  for (const auto& [object, version] : last_reference_) {
    if (version <= plan.versions.back()) {
      plan.objects.insert(object);
    }
  }
  return plan;
}

void VersionReferences::erase(const RemovalPlan& plan) {
  for (const ConfigurationVersion version : plan.versions) {
    accepted_at_.erase(version);
  }
  for (const std::string& object : plan.objects) {
    last_reference_.erase(object);
  }
}

}  // namespace chalkshed
