// Random faults of nodes and of the store, for property tests of jobs: crashes and restarts, nodes
// that are partitioned or suspended, and a store that does not answer, refuses calls, answers late,
// loses its answers or applies writes seconds later.
#pragma once

#include <rapidcheck.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

inline constexpr size_t kNodes = 3;
inline constexpr Duration kUsualDelay = milliseconds(4);

enum class Event {
  kKill,
  kRestart,
  kCutFromPeers,
  kCutFromStore,
  kFreeze,
  kStoreSilent,
  kStoreDown,
  kLoseAnswers,
  kApplyLate,
  kStoreHealthy,
  kPlannedStop,
  kLast,  // end of the events that any_step(kLast) draws; tests may draw the following ones too
  kStoreSlow = kLast,
  kStoreHoldsChanges,
  kSend,
  kEnd,
  kCount,
};

struct Step {
  Event event = Event::kStoreHealthy;
  size_t node = 0;
  Duration then{0};
};

// rapidcheck prints failing sequences with this function.
// NOLINTNEXTLINE(readability-identifier-naming)
inline void showValue(const Step& step, std::ostream& out) {
  out << "event " << static_cast<int>(step.event) << " at n" << step.node << ", then "
      << step.then / milliseconds(1) << " ms";
}

// @param end of the range of events to draw from, exclusive.
inline rc::Gen<Step> any_step(Event end) {
  return rc::gen::apply(
      [](int event, int node, int wait) {
        return Step{static_cast<Event>(event), static_cast<size_t>(node), milliseconds(wait)};
      },
      rc::gen::inRange(0, static_cast<int>(end)), rc::gen::inRange(0, static_cast<int>(kNodes)),
      rc::gen::inRange(1, 1500));
}

class ClusterFaults {
 public:
  // @param restart_after delay between the end of a planned stop and the restart.
  ClusterFaults(ServingCluster& cluster, Duration restart_after)
      : cluster_(cluster), restart_after_(restart_after) {}

  // How many times a node was lost.
  size_t losses() const { return losses_; }
  // Applies the step; kSend and kEnd are left to the test.
  void take(const Step& step) {
    const std::string name = "n" + std::to_string(step.node);
    ClusterNode* node = cluster_.nodes[name].get();
    StoreTrouble& trouble = cluster_.shared.trouble;
    switch (step.event) {
      case Event::kKill:
        if (node != nullptr) {
          ++losses_;
          cluster_.kill_node(name);
        }
        break;
      case Event::kRestart:
        losses_ += node != nullptr ? 1 : 0;
        cluster_.kill_node(name);
        cluster_.start_node(name);
        break;
      case Event::kPlannedStop:
        if (node != nullptr) {
          // It may be killed before all its data is stored.
          ++losses_;
          node->node.begin_drain([this, name] {
            call_after(cluster_.loop, restart_after_, [this, name] { cluster_.start_node(name); });
          });
        }
        break;
      case Event::kCutFromPeers:
        if (node != nullptr && !cluster_.hub.cut.erase(node->address)) {
          cluster_.hub.cut.insert(node->address);
        }
        break;
      case Event::kCutFromStore:
        if (node != nullptr) {
          node->store.set_cut(store_cut_[name] = !store_cut_[name]);
        }
        break;
      case Event::kFreeze:
        if (node != nullptr) {
          node->dispatcher.frozen() ? node->dispatcher.thaw() : node->dispatcher.freeze();
        }
        break;
      case Event::kStoreSilent:
        trouble = StoreTrouble();
        trouble.silent = true;
        break;
      case Event::kStoreDown:
        trouble = StoreTrouble();
        trouble.down = true;
        break;
      case Event::kLoseAnswers:
        trouble = StoreTrouble();
        trouble.lose_commits = true;
        break;
      case Event::kApplyLate:
        trouble = StoreTrouble();
        trouble.lose_commits = true;
        trouble.late_commits = seconds(3);
        break;
      case Event::kStoreHealthy:
        trouble = StoreTrouble();
        break;
      case Event::kStoreSlow:
        for (auto& [each, slow] : cluster_.nodes) {
          if (slow) {
            slow->store.set_delay(milliseconds(1200));
          }
        }
        break;
      case Event::kStoreHoldsChanges:
        trouble = StoreTrouble();
        trouble.hold_changes = true;
        break;
      case Event::kSend:
      case Event::kEnd:
      case Event::kCount:
        break;
    }
    cluster_.shared.wake_followers();
  }

  void heal() {
    cluster_.shared.trouble = StoreTrouble();
    cluster_.hub.cut.clear();
    for (auto& [name, node] : cluster_.nodes) {
      if (!node) {
        cluster_.start_node(name);
        continue;
      }
      node->store.set_cut(false);
      node->store.set_delay(kUsualDelay);
      if (node->dispatcher.frozen()) {
        node->dispatcher.thaw();
      }
    }
    cluster_.shared.wake_followers();
  }

 private:
  ServingCluster& cluster_;
  const Duration restart_after_;
  std::map<std::string, bool> store_cut_;
  size_t losses_ = 0;
};

}  // namespace chalkshed
