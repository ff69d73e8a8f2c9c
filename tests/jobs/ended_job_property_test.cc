// Random sequences around a job that its caller sends, sends again to other nodes and ends, whether
// or not it has heard of the acceptance, while nodes and store are disturbed. An acknowledged end
// and a refusal hold whatever the owner of the job knows of the store.
#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/cluster_faults.h"
#include "tests/jobs/ended_job_fixture.h"

namespace chalkshed {
namespace {

constexpr Duration kStep = milliseconds(150);
constexpr uint64_t kEvents = 6;
constexpr size_t kItems = 150;
constexpr int kMostSteps = 10;
constexpr Duration kSettleTime = seconds(12);

class PromisesRun {
 public:
  // @param notices arrive at the owner; else only the age of its view keeps the promise.
  explicit PromisesRun(bool notices) {
    cluster_.peers_answer = notices;
    cluster_.answer_all(kEvents, kStep);
    const auto answer = cluster_.workers.on_call;
    cluster_.workers.on_call = [this, answer](ScriptedCall& call) {
      check_begin(call);
      answer(call);
    };
  }

  void run(const std::vector<Step>& steps) {
    send("n0");
    cluster_.clock.run_for(milliseconds(300));
    for (const Step& step : steps) {
      const std::string node = "n" + std::to_string(step.node);
      if (step.event == Event::kSend) {
        send(node);
      } else if (step.event == Event::kEnd) {
        end(node);
      } else {
        troubles_.take(step);
      }
      cluster_.clock.run_for(step.then);
    }
    end("n1");
    // What was disturbed stays so until long after the bound.
    cluster_.clock.run_for(kCancelBound + seconds(3));
    troubles_.heal();
    cluster_.clock.run_for(kSettleTime);
    RC_ASSERT(!began_ || !refused_at_each_send());
  }

 private:
  enum class SendEnd { kNothingHeard, kAccepted, kRefused, kUnknown };

  bool alive(const std::string& node) const { return cluster_.nodes.at(node) != nullptr; }

  void send(const std::string& node) {
    if (!alive(node)) {
      return;
    }
    // Whoever sends it after its end wants it again.
    ended_.reset();
    const size_t number = sends_.size();
    sends_.push_back(SendEnd::kNothingHeard);
    cluster_.node(node).jobs().submit(
        cluster_.job("j1", kItems), [this, number](const Expected<std::monostate>& told) {
          sends_[number] = told                           ? SendEnd::kAccepted
                           : told.error().ran == Ran::kNo ? SendEnd::kRefused
                                                          : SendEnd::kUnknown;
        });
  }

  void end(const std::string& node) {
    if (!alive(node)) {
      return;
    }
    const size_t sends = sends_.size();
    cluster_.node(node).jobs().end("j1", [this, sends](const Expected<std::monostate>& told) {
      const bool holds = told || told.error().kind == ErrorKind::kNotFound;
      if (holds && sends == sends_.size() && !ended_) {
        ended_ = cluster_.clock.monotonic_now();
      }
    });
  }

  void check_begin(const ScriptedCall& /*call*/) {
    began_ = true;
    const MonotonicTime now = cluster_.clock.monotonic_now();
    RC_ASSERT(!ended_ || now - *ended_ <= kCancelBound);
  }

  bool refused_at_each_send() const {
    return std::all_of(sends_.begin(), sends_.end(),
                       [](SendEnd end) { return end == SendEnd::kRefused; });
  }

  ServingCluster cluster_{kNodes, 2};
  ClusterFaults troubles_{cluster_, kStep};
  std::vector<SendEnd> sends_;
  std::optional<MonotonicTime> ended_;
  bool began_ = false;
};

RC_GTEST_PROP(JobPromisesProperty, EndsAndRefusalsHoldWhateverTheOwnerKnowsOfTheStore, ()) {
  const int count = *rc::gen::inRange(0, kMostSteps + 1);
  const auto steps =
      *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step(Event::kCount));
  PromisesRun(true).run(steps);
}

// Calls between nodes are lost, their datagrams are not. A store that then falls silent for all
// right behind the end is left out: nobody can tell the owner, and it takes the store for away.
RC_GTEST_PROP(JobPromisesProperty, AnOwnerThatNobodyTellsKeepsThemByTheAgeOfItsView, ()) {
  const int count = *rc::gen::inRange(0, kMostSteps + 1);
  auto steps =
      *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step(Event::kCount));
  for (Step& step : steps) {
    const bool away = step.event == Event::kStoreSilent || step.event == Event::kStoreDown;
    step.event = away ? Event::kCutFromStore : step.event;
  }
  PromisesRun(false).run(steps);
}

}  // namespace
}  // namespace chalkshed
