// Refused jobs under random faults: a job is submitted to several nodes at once, and again while an
// earlier submission is open, while nodes and the store fail and answers are lost.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr size_t kNodes = 3;
constexpr size_t kJobs = 6;
constexpr size_t kItems = 4;
constexpr uint64_t kLimit = 100;  // the tokens of ten items: two and a half jobs
constexpr int kMaxSteps = 30;

enum class Event {
  kSend,
  kSendAtOnce,
  kStoreLosesCommits,
  kStoreCommitsLate,
  kStoreDown,
  kStoreSilent,
  kStoreHoldsChanges,
  kStoreHealthy,
  kCutNode,
  kJoinNode,
  kKillNode,
  kCount
};

struct Step {
  Event event = Event::kStoreHealthy;
  uint32_t job = 0;
  uint32_t node = 0;
  uint32_t pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "event " << static_cast<int>(step.event) << " job " << step.job << " node "
             << step.node << " pause " << step.pause_ms << '\n';
}

rc::Gen<Step> any_step() {
  // At least half of all steps are submissions.
  const auto event =
      rc::gen::map(rc::gen::inRange(0, 2 * static_cast<int>(Event::kCount)), [](int drawn) {
        return drawn < static_cast<int>(Event::kCount) ? static_cast<Event>(drawn)
               : drawn % 2 == 0                        ? Event::kSend
                                                       : Event::kSendAtOnce;
      });
  return rc::gen::build<Step>(
      rc::gen::set(&Step::event, event),
      rc::gen::set(&Step::job, rc::gen::inRange<uint32_t>(0, kJobs)),
      rc::gen::set(&Step::node, rc::gen::inRange<uint32_t>(0, kNodes)),
      rc::gen::set(&Step::pause_ms,
                   rc::gen::elementOf(std::vector<uint32_t>{0, 3, 20, 150, 700, 2500})));
}

struct Attempt {
  std::optional<Expected<std::monostate>> result;
  bool refused() const { return result && !*result && result->error().ran == Ran::kNo; }
  bool over_limit() const { return refused() && result->error().kind == ErrorKind::kLimitExceeded; }
  bool accepted() const { return result && result->has_value(); }
};

class RefusalScenario {
 public:
  RefusalScenario() {
    cluster_.write_configuration(2, [](nlohmann::json& configuration) {
      for (nlohmann::json& route : configuration["routes"]) {
        if (route["kind"] == "batch") {
          route["max_queued_tokens"] = kLimit;
        }
      }
    });
    cluster_.answer_all(1, milliseconds(900));
    cluster_.clock.run_for(seconds(1));
  }

  void run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      apply(step);
      cluster_.clock.run_for(milliseconds(step.pause_ms));
    }
    cluster_.shared.trouble = StoreTrouble();
    for (size_t node = 0; node < kNodes; ++node) {
      join(name_of(node));
    }
    cluster_.clock.run_for(seconds(90));
    for (const auto& [job, attempts] : attempts_) {
      check(job, attempts);
    }
  }

 private:
  using AttemptPtr = std::shared_ptr<Attempt>;

  static std::string name_of(size_t node) { return "n" + std::to_string(node); }

  void send(const std::string& node, const std::string& job) {
    if (cluster_.nodes[node] == nullptr) {
      return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempts_[job].push_back(attempt);
    cluster_.node(node).jobs().submit(
        cluster_.job(job, kItems),
        [attempt](const Expected<std::monostate>& result) { attempt->result = result; });
  }

  void join(const std::string& node) {
    if (cluster_.nodes[node] == nullptr) {
      cluster_.start_node(node);
    }
    cluster_.nodes[node]->store.set_cut(false);
  }

  void apply(const Step& step) {
    const std::string node = name_of(step.node);
    const std::string job = "j" + std::to_string(step.job) + "x";
    StoreTrouble& trouble = cluster_.shared.trouble;
    switch (step.event) {
      case Event::kSend:
        send(node, job);
        break;
      case Event::kSendAtOnce:
        for (size_t index = 0; index < kNodes; ++index) {
          send(name_of(index), job);
        }
        break;
      case Event::kStoreLosesCommits:
        trouble.lose_commits = true;
        break;
      case Event::kStoreCommitsLate:
        trouble.lose_commits = true;
        trouble.late_commits = seconds(3);
        break;
      case Event::kStoreDown:
        trouble.down = true;
        break;
      case Event::kStoreSilent:
        trouble.silent = true;
        break;
      case Event::kStoreHoldsChanges:
        trouble.hold_changes = true;
        break;
      case Event::kCutNode:
        if (cluster_.nodes[node] != nullptr) {
          cluster_.nodes[node]->store.set_cut(true);
        }
        break;
      case Event::kJoinNode:
        join(node);
        break;
      case Event::kKillNode:
        cluster_.kill_node(node);
        break;
      default:
        trouble = StoreTrouble();
        break;
    }
  }

  size_t runs_of(const std::string& job) const {
    return static_cast<size_t>(
        std::count_if(cluster_.workers.calls.begin(), cluster_.workers.calls.end(),
                      [&](const ScriptedCall& call) {
                        return call.header(platform::kRequestId).starts_with(job + "-");
                      }));
  }

  void check(const std::string& job, const std::vector<AttemptPtr>& attempts) const {
    const bool refused = std::all_of(attempts.begin(), attempts.end(),
                                     [](const AttemptPtr& one) { return one->refused(); });
    const bool accepted = std::any_of(attempts.begin(), attempts.end(),
                                      [](const AttemptPtr& one) { return one->accepted(); });
    RC_ASSERT(!refused || runs_of(job) == 0U);
    // A refusal because of the queue limit also applies to earlier submissions, even open ones.
    RC_ASSERT(!attempts.back()->over_limit() || runs_of(job) == 0U);
    RC_ASSERT(!accepted || runs_of(job) >= kItems);
  }

  ServingCluster cluster_{kNodes, 4};
  std::map<std::string, std::vector<AttemptPtr>> attempts_;
};

// A refusal guarantees that nothing of the job runs; items had run although each submission of
// their job was refused.
RC_GTEST_PROP(JobRefusalProperty, AJobRefusedEachTimeNeverRunsAndAnAcceptedOneDoes, ()) {
  const int count = *rc::gen::inRange(0, kMaxSteps + 1);
  const auto steps = *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step());
  RefusalScenario().run(steps);
}

}  // namespace
}  // namespace chalkshed
