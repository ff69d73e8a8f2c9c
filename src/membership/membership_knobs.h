// Parameters of membership and gossip. The defaults keep the traffic of a node below 2 KB/s in a
// cluster of 360 nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

// Mechanisms that a guarantee depends on. Switched off only by tests that show that the guarantee
// fails without them.
struct MembershipSafeguards {
  bool suspicion = true;        // an unresponsive member is suspected before it is declared dead
  bool refutation = true;       // a member refutes claims about itself with a higher incarnation
  bool indirect_probes = true;  // other members probe an unresponsive member before it is suspected
  bool local_health = true;   // a node that was stalled or is disconnected extends its own timeouts
  bool retry_dead = true;     // dead members and listed non-members are contacted again
  bool version_order = true;  // the version of a gossip entry never decreases
  bool datagram_checksum = true;  // corrupt datagrams are dropped
};

struct MembershipKnobs {
  // One timer drives all activity; all deadlines are checked once per tick.
  Duration tick = std::chrono::milliseconds(100);

  // Failure detection. Probes alternate between the next member in ring order, which bounds the
  // time until each member is probed, and a shuffled round over all members.
  Duration probe_interval = std::chrono::milliseconds(300);
  Duration ack_timeout = std::chrono::milliseconds(300);    // then others are asked to probe
  Duration probe_timeout = std::chrono::milliseconds(900);  // then the member is suspected
  uint32_t indirect_probes = 3;
  Duration suspicion_timeout = std::chrono::milliseconds(2000);  // at the node that raised it
  // Added at nodes that received the suspicion by gossip. They declare the death if the node that
  // raised it is gone.
  Duration suspicion_backup = std::chrono::milliseconds(1000);
  uint32_t max_local_health = 3;  // timeouts grow up to 1 + this times while the health is bad
  Duration stall_threshold = std::chrono::seconds(1);  // a later tick counts as a stall

  // Rumours: updates of members and gossip entries.
  Duration gossip_interval = std::chrono::milliseconds(200);
  uint32_t gossip_fanout = 3;
  // A rumour is sent this many times log10(members + 1), where the logarithm is rounded up.
  uint32_t transmit_multiplier = 3;
  // Lower bound for the above: with fewer transmissions, small clusters missed one in twenty
  // rumours until the next sync.
  uint32_t min_transmissions = 9;
  // Above this rate, dedicated rumour datagrams are deferred, and probes carry only as many rumours
  // as fit into probe_bytes_over_budget.
  uint32_t gossip_bytes_per_second = 3000;
  uint32_t gossip_burst_bytes = 18000;
  uint32_t probe_bytes_over_budget = 400;

  // Anti-entropy: probes carry digests; a difference that persists for this long starts a sync.
  Duration sync_delay = std::chrono::seconds(2);
  Duration sync_interval = std::chrono::seconds(3);  // minimum time between syncs of a node
  Duration join_interval = std::chrono::milliseconds(500);
  uint32_t join_candidates = 2;
  // A starting node that gets no response counts as caught up after this time.
  Duration catch_up_timeout = std::chrono::seconds(2);
  uint32_t pages_per_tick = 8;  // sync pages that a node sends per tick

  // Partition healing and machine lists.
  Duration retry_dead_interval = std::chrono::seconds(3);
  Duration tombstone_retention = std::chrono::minutes(10);
  Duration list_interval = std::chrono::seconds(60);
  Duration list_retry_interval = std::chrono::seconds(2);  // until joined
  uint32_t disputes_per_tick = 10;
  // Number of immediate syncs in the whole cluster after a partition has healed.
  uint32_t healing_syncs = 8;

  // Gossip entries.
  uint32_t max_entry_bytes = 800;  // kind, key and value together
  uint32_t max_entries = 16384;
  Duration tenant_usage_lifetime = std::chrono::seconds(60);
  // Longer than the time in which every node reads the machine list itself.
  Duration machine_lifetime = std::chrono::minutes(20);

  // By this time the announcement of a leaving node has reached every member.
  Duration leave_announcement = std::chrono::milliseconds(1500);

  MembershipSafeguards safeguards;
};

}  // namespace chalkshed
