// Random sequences of faults around an item's failed runs: crashes and restarts of nodes, nodes
// that are suspended or partitioned (so that two consider themselves the owner of the job), a store
// that does not answer, refuses calls, loses its answers or applies writes seconds later.
#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/jobs/cluster_faults.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;
constexpr int kImpossible = 422;
constexpr int kFailed = 500;
constexpr uint32_t kAttempts = 3;  // of the route in the cluster's configuration
constexpr uint64_t kEvents = 3;
constexpr Duration kStep = milliseconds(15);
constexpr int kMaxSteps = 12;  // so that no item becomes too old before it has ended
constexpr Duration kSettleTime = seconds(25);

class RetryBudgetScenario {
 public:
  RetryBudgetScenario() {
    cluster_.workers.on_call = [this](ScriptedCall& call) { receive(call); };
  }

  void run(const std::vector<Step>& steps) {
    cluster_.node("n0").jobs().submit(cluster_.job("j1", kItems), [](const auto&) {});
    cluster_.clock.run_for(milliseconds(15));
    for (const Step& step : steps) {
      troubles_.take(step);
      cluster_.clock.run_for(step.then);
    }
    troubles_.heal();
    cluster_.clock.run_for(kSettleTime);
    check();
  }

 private:
  static constexpr size_t kItems = 6;

  // By the item's number: fails each time, is impossible, or completes.
  static int status_of(const std::string& item) {
    constexpr std::array<int, 3> kStatuses = {kFailed, kImpossible, kOk};
    return kStatuses[static_cast<size_t>(item.back() - '0') % kStatuses.size()];
  }

  void receive(ScriptedCall& call) {
    const std::string item = call.header(platform::kRequestId);
    const int status = status_of(item);
    check_may_run(item, call.sender);
    call_after(cluster_.loop, kStep, [this, &call, item, status] {
      if (!call.open()) {
        return;
      }
      call.begin(status);
      if (status == kOk) {
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

  // An owner that took the job over after the store recorded that an item's runs are used up starts
  // no further run; an earlier owner detects it at the end of at most one further run.
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
      RC_ASSERT((state == ItemState::kCompleted) == (status_of(item) == kOk));
      check_budget(item, recorded[item]);
    }
  }

  // A node receives one answer per item at a time, and runs the item again only when that answer is
  // stored: a lost node loses one answer at most. Nodes that own the job at the same time may each
  // start the last run.
  void check_budget(const std::string& item, const item_failures& recorded) {
    const size_t answered = answered_[item];
    const size_t allowed = status_of(item) == kOk ? 0 : status_of(item) == kFailed ? kAttempts : 1;
    RC_ASSERT(recorded.used_up(kAttempts) == (allowed > 0));
    RC_ASSERT(answered <= recorded.failed() + troubles_.losses());
    RC_ASSERT(recorded.failed() <= allowed + (kNodes - 1));
  }

  ServingCluster cluster_{kNodes, 4};
  ClusterFaults troubles_{cluster_, kStep};
  std::map<std::string, size_t> answered_;  // failure answers that a node received, by item
  std::set<std::string> run_too_often_;     // item and session of runs beyond the budget
};

RC_GTEST_PROP(RetryBudgetProperty, FailedRunsAreCountedWhateverHappensAndTheItemEnds, ()) {
  const int count = *rc::gen::inRange(0, kMaxSteps + 1);
  const auto steps =
      *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step(Event::kLast));
  RetryBudgetScenario().run(steps);
}

}  // namespace
}  // namespace chalkshed
