// Removes old versions of the configuration and content that no retained version refers to.
//
// One node, selected by rendezvous hashing, runs a round every `retention_interval`. It is safe if
// two nodes consider themselves selected: the fence (removal_fence.h) is owned by the node that
// wrote its row last.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/configuration/configuration_knobs.h"
#include "src/configuration/removal_fence.h"
#include "src/configuration/version_references.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

class ConfigurationRetention {
 public:
  ConfigurationRetention(const NodeIdentity& identity, NodeDependencies& dependencies,
                         const MembershipView& members, const ConfigurationKnobs& knobs);

  void start();

 private:
  void begin_round();
  // Ends the round; the next one continues its work.
  void end_round();
  void fail_round(const Error& error);

  void read_fence(std::function<void()> next);
  // Reads the head, and the history until all versions up to the head are known.
  void read_head();
  void read_history();
  void read_next_manifest();
  // Sets the fence and deletes the history rows, unless the head or the fence has changed.
  void set_fence();

  // Continues a round that was not completed. The node that started it can then no longer clear the
  // fence.
  void take_over_fence();
  void write_fence(Transaction transaction, std::set<std::string> objects,
                   std::function<void()> next);
  // Removes the objects listed in the fence in batches, and clears the fence after the grace
  // period.
  void remove_next_objects();
  void remove_object(size_t index);
  void recheck_fence();
  void clear_fence();

  const std::string node_id_;
  NodeDependencies& dependencies_;
  const MembershipView& members_;
  const ConfigurationKnobs knobs_;
  Counter& removed_versions_;
  Counter& removed_objects_;

  VersionReferences references_;
  RemovalFence fence_;
  RowVersion head_row_version_ = 0;
  ConfigurationVersion head_version_ = 0;
  std::vector<ConfigurationHead> unread_heads_;  // manifests not read yet, newest first
  std::vector<std::string> to_remove_;  // objects listed in the fence that are not yet removed
  MonotonicTime fence_read_at_{};       // when the last read or write of the fence was sent
  std::function<void()> after_pause_;
  TimerPtr round_timer_;
  TimerPtr pause_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
