// Random sequences of what can happen around an item's failed runs: losses and restarts of nodes,
// nodes that do not hear each other (so that two believe they own the job) or that are frozen, a
// store that is silent, refuses, loses its answers or does writes seconds later.
#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;
constexpr int kImpossible = 422;
constexpr int kFailed = 500;
constexpr uint32_t kAttempts = 3;  // of the route in the cluster's configuration
constexpr size_t kNodes = 3;
constexpr uint64_t kEvents = 3;
constexpr Duration kStep = milliseconds(15);
constexpr int kMostSteps = 12;  // so that no item becomes too old before it has ended
constexpr Duration kSettleTime = seconds(25);

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
  kStoreSound,
  kPlannedStop,
  kLast,
};

struct Step {
  Event event = Event::kStoreSound;
  size_t node = 0;
  Duration then{0};
};

// rapidcheck shows a failing sequence by it.
void showValue(const Step& step, std::ostream& out) {  // NOLINT(readability-identifier-naming)
  out << "event " << static_cast<int>(step.event) << " at n" << step.node << ", then "
      << step.then / milliseconds(1) << " ms";
}

rc::Gen<Step> any_step() {
  return rc::gen::apply(
      [](int event, int node, int wait) {
        return Step{static_cast<Event>(event), static_cast<size_t>(node), milliseconds(wait)};
      },
      rc::gen::inRange(0, static_cast<int>(Event::kLast)),
      rc::gen::inRange(0, static_cast<int>(kNodes)), rc::gen::inRange(1, 1500));
}

class BudgetRun {
 public:
  BudgetRun() {
    cluster_.workers.on_call = [this](ScriptedCall& call) { receive(call); };
  }

  void run(const std::vector<Step>& steps) {
    cluster_.node("n0").jobs().submit(cluster_.job("j1", kItems), [](const auto&) {});
    cluster_.clock.run_for(milliseconds(15));
    for (const Step& step : steps) {
      take(step);
      cluster_.clock.run_for(step.then);
    }
    heal();
    cluster_.clock.run_for(kSettleTime);
    check();
  }

 private:
  static constexpr size_t kItems = 6;

  // By the item's number: fails each time, can never be done, or completes.
  static int fate_of(const std::string& item) {
    constexpr std::array<int, 3> kFates = {kFailed, kImpossible, kOk};
    return kFates[static_cast<size_t>(item.back() - '0') % kFates.size()];
  }

  void receive(ScriptedCall& call) {
    const std::string item = call.header(platform::kRequestId);
    const int fate = fate_of(item);
    check_may_run(item, call.sender);
    call_after(cluster_.loop, kStep, [this, &call, item, fate] {
      if (!call.open()) {
        return;
      }
      call.begin(fate);
      if (fate == kOk) {
        const std::string last = call.header(platform::kLastEventId);
        for (uint64_t event = last.empty() ? 1 : std::stoull(last) + 1; event <= kEvents; ++event) {
          call.event(event);
        }
      } else {
        ++answered_[item];
      }
      call.end();
    });
  }

  // Whoever has taken the job since the store holds that its runs are used up knows of it; an owner
  // of before learns of it by the end of one run more.
  void check_may_run(const std::string& item, const std::string& session) {
    std::optional<StoreVersion> used_up;
    const auto failures = cluster_.shared.rows.changes(kStoredFailureTable, 0);
    for (const StoredRow& row : failures.value()) {
      const bool of_item = row.key == job_failure_key("j1", item);
      if (!used_up && of_item && decode_item_failures(row.value, 0).used_up(kAttempts)) {
        used_up = row.version;
      }
    }
    if (!used_up) {
      return;
    }
    StoreVersion owned = 0;
    const auto records = cluster_.shared.rows.changes(kStoredJobTable, 0);
    for (const StoredRow& row : records.value()) {
      if (decode_job_record("j1", row.value)->owner == session) {
        owned = row.version;
      }
    }
    RC_ASSERT(owned < *used_up);
    RC_ASSERT(run_too_often_.insert(item + " " + session).second);
  }

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
          // It may be killed before all it knows is stored.
          ++losses_;
          node->node.begin_drain([this, name] {
            call_after(cluster_.loop, kStep, [this, name] { cluster_.start_node(name); });
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
      case Event::kStoreSound:
      case Event::kLast:
        trouble = StoreTrouble();
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
      if (node->dispatcher.frozen()) {
        node->dispatcher.thaw();
      }
    }
    cluster_.shared.wake_followers();
  }

  void check() {
    if (cluster_.shared.rows.read(job_content_range("j1", 0)).rows.empty()) {
      return;  // the job was never stored
    }
    std::map<std::string, ItemState> listed;
    for (const StoredRow& row : cluster_.shared.rows.read(job_result_range("j1", 0, 100)).rows) {
      const JobResult result = *decode_job_result(row.value);
      RC_ASSERT(!listed.contains(result.item));
      listed[result.item] = result.state;
    }
    RC_ASSERT(listed.size() == kItems);
    std::map<std::string, item_failures> recorded;
    for (const StoredRow& row : cluster_.shared.rows.read(job_failure_range("j1")).rows) {
      recorded[item_of_key("j1", row.key)] = decode_item_failures(row.value, row.version);
    }
    for (const auto& [item, state] : listed) {
      RC_ASSERT((state == ItemState::kCompleted) == (fate_of(item) == kOk));
      check_budget(item, recorded[item]);
    }
  }

  // A node takes one answer of an item at a time, and runs it again only when the answer before is
  // stored: the loss of a node loses one at most. Nodes that own the job at the same time may each
  // begin the last run.
  void check_budget(const std::string& item, const item_failures& recorded) {
    const size_t answered = answered_[item];
    const size_t allowed = fate_of(item) == kOk ? 0 : fate_of(item) == kFailed ? kAttempts : 1;
    RC_ASSERT(recorded.used_up(kAttempts) == (allowed > 0));
    RC_ASSERT(answered <= recorded.failed() + losses_);
    RC_ASSERT(recorded.failed() <= allowed + (kNodes - 1));
  }

  ServingCluster cluster_{kNodes, 4};
  std::map<std::string, size_t> answered_;  // failing answers that a node took, by item
  std::set<std::string> run_too_often_;     // item and session, once the item was used up
  std::map<std::string, bool> store_cut_;
  size_t losses_ = 0;
};

RC_GTEST_PROP(RetryBudgetProperty, FailedRunsAreCountedWhateverHappensAndTheItemEnds, ()) {
  const int count = *rc::gen::inRange(0, kMostSteps + 1);
  const auto steps = *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step());
  BudgetRun().run(steps);
}

}  // namespace
}  // namespace chalkshed
