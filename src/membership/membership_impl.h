// Cluster membership of a node: joining, failure detection and gossip.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/lifetime.h"
#include "src/membership/catch_up.h"
#include "src/membership/datagram_sender.h"
#include "src/membership/failure_detector.h"
#include "src/membership/gossip_store.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_knobs.h"
#include "src/membership/membership_view.h"
#include "src/membership/probe_schedule.h"
#include "src/membership/state_sync.h"
#include "src/membership/traffic.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

// One timer drives all activity. The machine list only provides contact addresses: a node that is
// not in it is not considered dead, and a listed node becomes a member only once it has responded.
class MembershipImpl : public MembershipView, public Gossip {
 public:
  // `dependencies` must outlive this object.
  MembershipImpl(const NodeIdentity& identity, NodeDependencies& dependencies,
                 MembershipKnobs knobs);
  ~MembershipImpl() override;

  // Starts receiving datagrams, fetching the machine list and joining the cluster.
  void start();
  // Announces that this node is leaving, then calls `done`. The node responds to probes until it is
  // destroyed.
  void leave(std::function<void()> done);

  // MembershipView
  const Member& self() const override { return table_.self(); }
  std::vector<Member> members() const override { return table_.members(); }
  void subscribe(std::function<void()> callback) override;

  // Gossip
  void publish(GossipEntry entry) override;
  std::optional<GossipEntry> find(const std::string& kind, const std::string& key) const override;
  std::vector<GossipEntry> entries(const std::string& kind) const override;
  void subscribe(std::string kind, std::function<void(const GossipEntry&)> callback) override;
  // MembershipView and Gossip: one sync carries both members and entries.
  bool caught_up() const override { return catch_up_.done(); }

  // Datagrams and bytes by kind, since the start.
  const MembershipTraffic& traffic() const { return recorder_.traffic(); }
  // Number of members that are not dead, self included.
  size_t live_count() const { return table_.live_count(); }
  // Equal on nodes whose views agree.
  uint64_t view_digest() const { return sender_.view_digest(); }

 private:
  struct Candidate {
    NodeId id;
    Address peer_address;
  };

  void on_tick();
  void detect_stall(MonotonicTime now);
  void gossip(MonotonicTime now);
  void contact_missing(MonotonicTime now);
  std::vector<Candidate> missing_candidates() const;
  void housekeeping(MonotonicTime now);
  void fetch_list(MonotonicTime now);
  void on_list(Expected<MachineListSnapshot> list);

  void on_datagram(const Address& from, std::string_view bytes);
  bool believed_dead(const NodeId& id) const;
  void dispatch(const Address& from, const Datagram& datagram, bool self_accused);
  void on_ping(const Address& from, const Datagram& ping, bool self_accused);
  void introduce_to(const Address& to);
  // @return whether the claims declare this node suspect or dead, even at an old incarnation.
  bool merge_updates(const Datagram& datagram);
  bool merge_claim_about_self(const Member& claim);
  void merge_claim(const Member& claim, ClaimSource source);
  void merge_entries(const Datagram& datagram);

  void on_member_changed(const NodeId& id);
  void log_state(const Member& member);
  void schedule_notification();

  NodeDependencies& dependencies_;
  const MembershipKnobs knobs_;
  TrafficRecorder recorder_;
  MemberTable table_;
  GossipStore store_;
  DatagramSender sender_;
  ProbeSchedule schedule_;
  FailureDetector detector_;
  StateSync sync_;
  CatchUp catch_up_;
  bool caught_up_notified_ = false;
  Gauge& members_gauge_;

  bool started_ = false;
  MonotonicTime last_tick_;
  MonotonicTime next_gossip_;
  MonotonicTime next_contact_;
  MonotonicTime next_housekeeping_;
  MonotonicTime next_list_fetch_;
  std::map<NodeId, Candidate> listed_;  // nodes in the last fetched machine list
  std::function<void()> on_left_;
  MonotonicTime left_at_;

  std::vector<std::function<void()>> view_subscribers_;
  bool notification_pending_ = false;
  std::map<std::string, std::vector<std::function<void(const GossipEntry&)>>> entry_subscribers_;

  TimerPtr timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
