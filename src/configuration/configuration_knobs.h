// Tunable parameters of the configuration module.
#pragma once

#include "src/core/time.h"
#include "src/policy/policy_knobs.h"

namespace chalkshed {

struct ConfigurationKnobs {
  // Mechanisms that uphold a guarantee. Tests disable them to verify that the guarantee is violated
  // without them; they cannot be set from settings files.
  struct Safeguards {
    bool versions_only_upwards = true;   // ignores heads lower than the known one
    bool compare_and_swap_head = true;   // a new head only replaces the head it was based on
    bool learn_before_serving = true;    // a starting node waits for the highest known version
    bool read_back_lost_commits = true;  // resolves a lost commit response before responding
    // No accepted version refers to content that is being removed.
    bool fence_removed_content = true;
  };
  Safeguards safeguards;

  // Number of peers that a starting node queries, in addition to the store, before it serves.
  uint32_t learn_peer_count = 8;
  // Time limit of a learning round.
  Duration learn_timeout = std::chrono::seconds(2);
  // Delay before the next learning round after an unsuccessful one.
  Duration learn_retry = std::chrono::milliseconds(500);
  // Interval at which every node exchanges heads with one random peer; compensates for lost gossip.
  Duration exchange_interval = std::chrono::seconds(5);
  // Fallback: interval at which each node polls the head row; longer in large clusters, ...
  Duration poll_interval = std::chrono::seconds(15);
  // ... so that all nodes together do not exceed this read rate.
  double polls_per_second = 2.0;
  // Number of peers tried for content before the object store.
  uint32_t fetch_peer_attempts = 4;
  // Timeout of a content request to a peer; then the next peer is tried.
  Duration fetch_peer_timeout = std::chrono::seconds(1);
  // Concurrent object reads from the store.
  uint32_t fetch_parallel_objects = 16;
  // Initial delay before a failed fetch is retried; doubles up to the maximum.
  Duration fetch_retry = std::chrono::milliseconds(300);
  Duration max_fetch_retry = std::chrono::seconds(5);
  // Maximum number of attempts of each publication step.
  uint32_t commit_attempts = 5;
  Duration commit_retry = std::chrono::milliseconds(200);
  // A node that has received no response from a peer or the store for this long counts as cut off.
  Duration cut_off_after = std::chrono::seconds(15);
  // A node whose head has not been confirmed by the store, directly or through peers, for this long
  // reports itself as stale.
  Duration stale_after = std::chrono::seconds(60);
  // Maximum total size of the documents and policy files of a bundle. Parsing blocks the event loop
  // of the accepting node for about 30 ms per megabyte.
  size_t bundle_bytes = 2 * 1024 * 1024;
  // Number of blocks over which tenants are distributed.
  uint32_t tenant_buckets = 64;
  // Number of recent versions whose manifests and blocks are kept in memory for lagging peers.
  uint32_t kept_versions = 4;
  // Versions kept in the store: this many of the newest ...
  uint32_t retained_versions = 200;
  // ... and all that were accepted within this time by the wall clock.
  Duration retained_age = std::chrono::hours(24 * 7);
  // Interval at which one node of the cluster searches for removable versions. It ...
  Duration retention_interval = std::chrono::minutes(30);
  // ... removes at most this many versions per round ...
  uint32_t removed_versions_per_round = 100;
  // ... and pauses this long after each object that it reads or removes.
  Duration retention_pause = std::chrono::milliseconds(100);
  // After the last removal of a round, its objects must not be written again for this long. Must
  // exceed the sum of `fence_validity` and the maximum time that an operation can be in flight to
  // the object store.
  Duration removal_grace = std::chrono::minutes(10);
  // Objects are removed only for this long after the fence was read.
  Duration fence_validity = std::chrono::minutes(2);
  // Limits used when policies are checked before acceptance.
  PolicyKnobs policy;
};

}  // namespace chalkshed
