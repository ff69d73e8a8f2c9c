// Model-based fuzzing of configuration managers against an oracle: applies, partitions, outages,
// restarts and lost commit responses in any order.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include "sim/configuration_cluster.h"

namespace chalkshed {
namespace {

constexpr size_t kNodes = 4;

// Outcomes reported to callers, from which the expected state follows. Every change adds a unique
// tenant.
struct Oracle {
  std::map<ConfigurationVersion, std::set<std::string>> accepted;  // tenants by version
  std::set<std::string> refused;  // tenants of changes that were reported as not applied

  ConfigurationVersion highest() const { return accepted.empty() ? 0 : accepted.rbegin()->first; }
};

std::set<std::string> tenants_of(const Configuration& configuration) {
  std::set<std::string> names;
  for (const auto& [name, tenant] : configuration.tenants) {
    names.insert(name);
  }
  return names;
}

// The cluster under test with its oracle.
struct System {
  System() {
    for (size_t node = 0; node < kNodes; ++node) {
      cluster.add(knobs);
    }
    cluster.run(1000);
  }

  void apply(size_t node, CommitFault fault, uint32_t base_lag) {
    cluster[node].table.release_reads();  // the apply reads as well
    const ConfigurationPtr base = cluster[node].manager.current();
    if (base == nullptr) {
      return;
    }
    const std::string tenant = "tenant-" + std::to_string(next_tenant++);
    Configuration changed = *base;
    changed.version = 0;
    changed.tenants[tenant] = TenantConfiguration{tenant, "key-" + tenant, 0, 0, 1};
    const ConfigurationVersion base_version =
        base->version - std::min<ConfigurationVersion>(base->version, base_lag);
    cluster[node].table.commit_fault = fault;
    const auto outcome = cluster.apply(cluster[node], format_configuration(changed), base_version);
    cluster[node].table.commit_fault = CommitFault::kNone;
    if (outcome && outcome->accepted) {
      RC_ASSERT(!oracle.accepted.contains(outcome->version));
      RC_ASSERT(outcome->version == base_version + 1);
      oracle.accepted[outcome->version] = tenants_of(changed);
    } else if (outcome || outcome.error().ran == Ran::kNo) {
      oracle.refused.insert(tenant);
    }
  }

  void restart(size_t node) {
    check_order(node);
    cluster.restart(node, knobs);
    min_versions[node] = store_faulted ? 0 : oracle.highest();
  }

  // From now on nodes may learn from their peers alone.
  void mark_store_faulted() {
    store_faulted = true;
    min_versions.fill(0);
  }

  void check_order(size_t node) {
    const auto& versions = cluster[node].versions;
    RC_ASSERT(std::is_sorted(versions.begin(), versions.end()));
  }

  // Checks that every active configuration is consistent with the oracle.
  void check() {
    for (size_t node = 0; node < kNodes; ++node) {
      check_order(node);
      const ConfigurationPtr current = cluster[node].manager.current();
      if (current == nullptr) {
        continue;
      }
      RC_ASSERT(current->version >= min_versions[node]);
      const std::set<std::string> tenants = tenants_of(*current);
      if (const auto known = oracle.accepted.find(current->version);
          known != oracle.accepted.end()) {
        RC_ASSERT(tenants == known->second);
      }
      for (const std::string& tenant : oracle.refused) {
        RC_ASSERT(!tenants.contains(tenant));
      }
    }
  }

  // Checks that after all faults are cleared, all nodes apply the same, highest version.
  void clear_faults_and_check() {
    cluster.set_outage(false);
    for (size_t node = 0; node < kNodes; ++node) {
      cluster[node].side = 0;
      cluster[node].receives_gossip = true;
      cluster.set_store_disconnected(cluster[node], false);
      cluster[node].table.release_reads();
      cluster[node].table.deliver_late_commits();
    }
    cluster.run(30'000);
    check();
    for (size_t node = 0; node < kNodes; ++node) {
      RC_ASSERT(cluster[node].manager.ready());
      RC_ASSERT(cluster[node].version() == cluster[0].version());
    }
    RC_ASSERT(cluster[0].version() >= oracle.highest());
  }

  ConfigurationKnobs knobs;
  ConfigurationCluster cluster;
  Oracle oracle;
  uint32_t next_tenant = 0;
  bool store_faulted = false;
  // A node that started while the store was available serves no version below this one.
  std::array<ConfigurationVersion, kNodes> min_versions{};
};

// RapidCheck's command model is empty: the oracle is updated from the outcomes.
struct Model {};
using Command = rc::state::Command<Model, System>;

struct Apply : Command {
  size_t node = *rc::gen::inRange<size_t>(0, kNodes);
  CommitFault fault = *rc::gen::weightedElement<CommitFault>(
      {{4, CommitFault::kNone}, {2, CommitFault::kAnswerLost}, {2, CommitFault::kArrivesLate}});
  uint32_t base_lag = *rc::gen::weightedElement<uint32_t>({{6, 0}, {1, 1}});
  void run(const Model&, System& system) const override {
    system.apply(node, fault, base_lag);
    system.check();
  }
  void show(std::ostream& stream) const override {
    stream << "Apply(node " << node << ", fault " << static_cast<int>(fault) << ", back "
           << base_lag << ")";
  }
};

struct InjectFault : Command {
  enum class Kind { kCutStore, kCutPeers, kDropGossip, kHoldReads, kOutage, kRestart };
  Kind kind = *rc::gen::element(Kind::kCutStore, Kind::kCutPeers, Kind::kDropGossip,
                                Kind::kHoldReads, Kind::kOutage, Kind::kRestart);
  size_t node = *rc::gen::inRange<size_t>(0, kNodes);
  bool on = *rc::gen::arbitrary<bool>();
  void run(const Model&, System& system) const override {
    ConfigurationNode& target = system.cluster[node];
    if (kind == Kind::kCutStore || kind == Kind::kHoldReads || kind == Kind::kOutage) {
      system.mark_store_faulted();
    }
    switch (kind) {
      case Kind::kCutStore:
        system.cluster.set_store_disconnected(target, on);
        break;
      case Kind::kCutPeers:
        target.side = on ? static_cast<int>(1 + node) : 0;
        break;
      case Kind::kDropGossip:
        target.receives_gossip = !on;
        break;
      case Kind::kHoldReads:
        if (on) {
          target.table.hold_reads = true;
        } else {
          target.table.release_reads();
        }
        break;
      case Kind::kOutage:
        system.cluster.set_outage(on);
        break;
      case Kind::kRestart:
        system.restart(node);
        break;
    }
    system.check();
  }
  void show(std::ostream& stream) const override {
    stream << "InjectFault(kind " << static_cast<int>(kind) << ", node " << node << ", on " << on
           << ")";
  }
};

struct Wait : Command {
  int milliseconds = *rc::gen::inRange(1, 20'000);
  void run(const Model&, System& system) const override {
    system.cluster.run(milliseconds);
    for (size_t node = 0; node < kNodes; ++node) {
      system.cluster[node].table.deliver_late_commits();
    }
    system.check();
  }
  void show(std::ostream& stream) const override { stream << "Wait(" << milliseconds << " ms)"; }
};

void fuzz(const ConfigurationKnobs& knobs) {
  System system;
  system.knobs = knobs;
  for (size_t node = 0; node < kNodes; ++node) {
    system.restart(node);
  }
  system.cluster.run(1000);
  rc::state::check(Model(), system,
                   rc::state::gen::execOneOfWithArgs<Apply, Apply, InjectFault, Wait>());
  system.clear_faults_and_check();
}

RC_GTEST_PROP(ConfigurationFuzzTest, AcceptedVersionsStandAndReachEveryNode, ()) { fuzz({}); }

// With a safeguard disabled, the same fuzzing must find a violation.
void expect_violation_found(const ConfigurationKnobs& knobs) {
  EXPECT_FALSE(rc::check("no violation is found", [&knobs] { fuzz(knobs); }));
}

TEST(ConfigurationFuzzTest, FindsLostUpdatesWithoutCompareAndSwap) {
  ConfigurationKnobs knobs;
  knobs.safeguards.compare_and_swap_head = false;
  expect_violation_found(knobs);
}

TEST(ConfigurationFuzzTest, FindsReversalsWithoutTheUpwardRule) {
  ConfigurationKnobs knobs;
  knobs.safeguards.versions_only_upwards = false;
  expect_violation_found(knobs);
}

TEST(ConfigurationFuzzTest, FindsOldVersionsServedWithoutLearning) {
  ConfigurationKnobs knobs;
  knobs.safeguards.learn_before_serving = false;
  expect_violation_found(knobs);
}

TEST(ConfigurationFuzzTest, FindsFalseRefusalsWithoutReadingBack) {
  ConfigurationKnobs knobs;
  knobs.safeguards.read_back_lost_commits = false;
  expect_violation_found(knobs);
}

}  // namespace
}  // namespace chalkshed
