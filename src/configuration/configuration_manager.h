// Learns, applies and distributes the configuration. See docs/design/configuration.md.
//
// One head row in the table store contains the active version and the digest of its manifest; the
// manifest lists the digests of the blocks that contain the content. Nodes learn of a new head by
// gossip and fetch missing content first from peers, then from the object store.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/configuration/configuration.h"
#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_fetcher.h"
#include "src/configuration/configuration_head.h"
#include "src/configuration/configuration_head_tracker.h"
#include "src/configuration/configuration_knobs.h"
#include "src/configuration/configuration_publisher.h"
#include "src/configuration/configuration_text.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

// Request to apply a bundle.
struct ApplyRequest {
  ConfigurationBundle bundle;
  // Version that the operator's text was edited from; defaults to the version in the bundle.
  std::optional<ConfigurationVersion> base_version;
  std::string author;
  std::string comment;
};

struct ApplyOutcome {
  bool accepted = false;
  bool changed = false;              // a new version was created; false if the content is equal
  ConfigurationVersion version = 0;  // the active version, or the conflicting one
  std::string difference;            // from the previous version, or from the base on a conflict
};

// Result of checking a bundle.
struct CheckOutcome {
  ConfigurationVersion current_version = 0;
  std::string difference;
  uint32_t samples = 0;  // policy samples that were evaluated
};

class ConfigurationManager : public ConfigurationSource {
 public:
  ConfigurationManager(const NodeIdentity& identity, NodeDependencies& dependencies,
                       MembershipView& members, Gossip& gossip, ConfigurationKnobs knobs);

  void start();

  ConfigurationPtr current() const override { return current_; }
  void subscribe(std::function<void(const ConfigurationPtr&)> callback) override;

  // Whether the node has an active configuration and is not cut off. A node that is cut off
  // continues to serve the requests it receives, but reports itself as not ready.
  bool ready() const { return current_ != nullptr && !tracker_.cut_off(); }
  // Whether the head has not been confirmed by the store, directly or through peers, for
  // `stale_after`.
  bool stale() const { return tracker_.confirmed_age() > knobs_.stale_after; }
  // The known head and applied version of this node.
  HeadReport report() const;

  // Parses and checks a bundle, and evaluates the samples of its policies.
  Expected<CheckOutcome> check(const ConfigurationBundle& bundle) const;

  // Checks a bundle and activates it. The callback is invoked once the head has been updated and
  // this node applies the new version. Errors: kInvalidRequest, kPolicyFailed, kStoreUnavailable
  // (all Ran::kNo), kOutcomeUnknown.
  void apply(ApplyRequest request, Callback<ApplyOutcome> callback);

  // Heads of the accepted versions, newest first, at most `limit`. Errors: kStoreUnavailable.
  void history(uint32_t limit, Callback<std::vector<ConfigurationHead>> callback);

  // Loads an accepted version. Errors: kNotFound, kStoreUnavailable.
  void load_version(ConfigurationVersion version, Callback<ConfigurationPtr> callback);

 private:
  struct ApplyAttempt;
  using ApplyAttemptPtr = std::shared_ptr<ApplyAttempt>;
  struct VersionLoad;

  Expected<ParsedConfiguration> parse_and_check(const ConfigurationBundle& bundle,
                                                uint32_t& samples) const;
  // Replaces each kept_key() (redaction.h) by the active API key. Errors, Ran::kNo:
  // kInvalidRequest, kUnavailable when this node has an older version than the base.
  Expected<Configuration> resolve_kept_keys(const Configuration& configuration,
                                            std::optional<ConfigurationVersion> base_version) const;
  void register_peer_methods();
  ManifestReply answer_manifest(const ManifestRequest& request) const;
  BlockReply answer_blocks(const BlockRequest& request) const;

  void on_head_changed();
  void fetch_known_head();
  void on_fetched(const ConfigurationHead& head, const Expected<std::monostate>& result);
  void install(const ConfigurationHead& head);
  // @return the delay before the next fetch attempt.
  Duration next_fetch_pause();
  void evict_old_content();

  void on_base_row(const ApplyAttemptPtr& attempt, const Expected<std::optional<Row>>& row);
  void publish(const ApplyAttemptPtr& attempt);
  void on_published(const ApplyAttemptPtr& attempt, const Expected<PublishOutcome>& outcome);
  void report_conflict(const ApplyAttemptPtr& attempt);
  void load_head(const ConfigurationHead& head, Callback<ConfigurationPtr> callback);

  const NodeIdentity identity_;
  NodeDependencies& dependencies_;
  ConfigurationKnobs knobs_;
  ConfigurationCache cache_;
  ConfigurationHeadTracker tracker_;
  ConfigurationFetcher fetcher_;
  ConfigurationPublisher publisher_;
  MembershipView& members_;
  Gauge& version_gauge_;
  Gauge& confirmed_age_gauge_;

  uint32_t failed_fetches_ = 0;  // since a version was last installed
  ConfigurationHead applied_;
  ConfigurationPtr current_;
  std::deque<std::string> recent_manifests_;  // digests, newest first
  std::vector<std::function<void(const ConfigurationPtr&)>> subscribers_;
  TimerPtr fetch_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
