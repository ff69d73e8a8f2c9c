// Tracks the highest known head: learned at start from the store and peers, later updated by
// gossip, by exchanges with random peers and by infrequent polls of the store.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "src/configuration/configuration_head.h"
#include "src/configuration/configuration_knobs.h"
#include "src/configuration/configuration_messages.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

class ConfigurationHeadTracker {
 public:
  // @param report the report that this node sends to peers.
  // @param on_change called after the known head has advanced or learning has completed.
  ConfigurationHeadTracker(NodeDependencies& dependencies, MembershipView& members, Gossip& gossip,
                           const ConfigurationKnobs& knobs, std::function<HeadReport()> report,
                           std::function<void()> on_change);

  void start();

  // Processes a head from any source. Heads lower than the known one are ignored.
  void observe_head(const ConfigurationHead& head);
  // Called when the store has confirmed that the known head is the highest.
  void confirm() { confirm_at(now()); }

  const ConfigurationHead& known() const { return known_; }
  // Whether the highest version that the store or peers knew at start has been determined.
  bool learned() const { return learned_; }
  // Whether neither peers nor the store have responded for `cut_off_after`.
  bool cut_off() const;
  Duration confirmed_age() const;

 private:
  void begin_round();
  void query_store(uint64_t round);
  void query_peer(const Address& peer, uint64_t round);
  void on_round_response(uint64_t round, bool authoritative);
  void end_round();
  // @param sent_at when the request was sent; the response is only known to be valid at that time.
  void on_head_row(const Expected<std::optional<Row>>& row, MonotonicTime sent_at);
  void on_report(const HeadReport& report, MonotonicTime sent_at);
  void exchange_with_peer();
  void poll_store();
  void schedule_poll();
  void confirm_at(MonotonicTime time);
  MonotonicTime now() const { return dependencies_.time_source.monotonic_now(); }
  void read_head_row(std::function<void(bool answered)> done);
  std::vector<Member> other_members() const;
  Duration jittered(Duration interval);

  NodeDependencies& dependencies_;
  MembershipView& members_;
  Gossip& gossip_;
  const ConfigurationKnobs& knobs_;
  std::function<HeadReport()> report_;
  std::function<void()> on_change_;

  ConfigurationHead known_;
  bool learned_ = false;
  uint64_t round_ = 0;
  uint32_t pending_responses_ = 0;
  bool authority_responded_ = false;  // the store or a serving peer has responded in this round
  MonotonicTime last_contact_;
  MonotonicTime confirmed_at_;
  TimerPtr round_timer_;
  TimerPtr exchange_timer_;
  TimerPtr poll_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
