// Anti-entropy: detects that the state of two nodes differs and exchanges only the differences.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "src/core/random.h"
#include "src/core/time.h"
#include "src/membership/datagram.h"
#include "src/membership/datagram_sender.h"
#include "src/membership/gossip_store.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_knobs.h"

namespace chalkshed {

// Probes carry one digest of the whole state. If a difference persists, the nodes exchange digests
// of buckets, and then the members and entries of the differing buckets, in pages, in both
// directions.
class StateSync {
 public:
  StateSync(const MemberTable& table, const GossipStore& store, DatagramSender& sender,
            RandomGenerator& random, const MembershipKnobs& knobs);

  // Records the digest of a probe or ack.
  void on_view_digest(const Address& from, uint64_t digest, MonotonicTime now);
  // Records that this node's view changed. Rumours are still spreading then, so differences are
  // expected.
  void on_view_changed(MonotonicTime now) { view_changed_at_ = now; }

  // A member that was considered dead has responded: others may be back as well, and may still
  // consider the nodes on this side dead.
  void on_revived(const Address& member, MonotonicTime now);
  // Requests all differing state from a member.
  void request(const Address& from, MonotonicTime now);
  // @param caught_up whether this node itself has caught up.
  void on_request(const Address& from, const Datagram& request, bool caught_up);
  void on_response(const Address& from, const Datagram& response);

  // Starts a sync when one is due and sends the next pages.
  void tick(MonotonicTime now);

 private:
  struct Page {
    Address to;
    Datagram datagram;
  };
  // Results of the digest comparisons since the first difference.
  struct Difference {
    MonotonicTime since;
    Address peer;  // the last peer with a different digest
    uint32_t differing = 0;
    uint32_t equal = 0;
  };

  Datagram with_buckets(DatagramKind kind) const;
  std::vector<Datagram> pages_for(const Datagram& theirs) const;
  void queue_pages(const Address& to, std::vector<Datagram> pages);
  bool pages_queued_for(const Address& to) const;
  void send_pages();
  bool due(MonotonicTime now) const;

  const MemberTable& table_;
  const GossipStore& store_;
  DatagramSender& sender_;
  RandomGenerator& random_;
  const MembershipKnobs& knobs_;

  std::optional<Difference> difference_;
  MonotonicTime view_changed_at_;
  MonotonicTime last_sync_;
  std::deque<Page> pages_;
};

}  // namespace chalkshed
