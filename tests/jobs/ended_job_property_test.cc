// Random sequences in which a caller submits a job, resubmits it to other nodes and ends it, with
// or without having received the acceptance, while nodes and the store fail. An acknowledged end
// and a refusal hold whatever the owner of the job has read from the store.
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
constexpr int kMaxSteps = 10;
constexpr Duration kSettleTime = seconds(12);

class JobPromisesScenario {
 public:
  // @param notices whether they arrive at the owner; otherwise only the age limit of its view
  // prevents late starts.
  explicit JobPromisesScenario(bool notices) {
    cluster_.peers_answer = notices;
    cluster_.answer_all(kEvents, kStep);
    const auto answer = cluster_.workers.on_call;
    cluster_.workers.on_call = [this, answer](ScriptedCall& call) {
      check_start(call);
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
    // The faults persist until well after the bound.
    cluster_.clock.run_for(kCancelBound + seconds(3));
    troubles_.heal();
    cluster_.clock.run_for(kSettleTime);
    RC_ASSERT(!started_ || !refused_at_each_send());
  }

 private:
  enum class SendEnd { kNoAnswer, kAccepted, kRefused, kUnknown };

  bool alive(const std::string& node) const { return cluster_.nodes.at(node) != nullptr; }

  void send(const std::string& node) {
    if (!alive(node)) {
      return;
    }
    // A submission after the end is a new request for the job.
    ended_.reset();
    const size_t number = sends_.size();
    sends_.push_back(SendEnd::kNoAnswer);
    cluster_.node(node).jobs().submit(
        cluster_.job("j1", kItems), [this, number](const Expected<std::monostate>& result) {
          sends_[number] = result                           ? SendEnd::kAccepted
                           : result.error().ran == Ran::kNo ? SendEnd::kRefused
                                                            : SendEnd::kUnknown;
        });
  }

  void end(const std::string& node) {
    if (!alive(node)) {
      return;
    }
    const size_t sends = sends_.size();
    cluster_.node(node).jobs().end("j1", [this, sends](const Expected<std::monostate>& result) {
      const bool acknowledged = result || result.error().kind == ErrorKind::kNotFound;
      if (acknowledged && sends == sends_.size() && !ended_) {
        ended_ = cluster_.clock.monotonic_now();
      }
    });
  }

  void check_start(const ScriptedCall& /*call*/) {
    started_ = true;
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
  bool started_ = false;
};

RC_GTEST_PROP(JobPromisesProperty, EndsAndRefusalsHoldWhateverTheOwnerHasReadFromTheStore, ()) {
  const int count = *rc::gen::inRange(0, kMaxSteps + 1);
  const auto steps =
      *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step(Event::kCount));
  JobPromisesScenario(true).run(steps);
}

// Calls between nodes are lost, their datagrams are not. Excluded is a store that stops answering
// all nodes right after the end: then nothing can notify the owner, which takes the store to be
// down for all.
RC_GTEST_PROP(JobPromisesProperty, WithoutNoticesTheAgeOfTheOwnersViewEnforcesThem, ()) {
  const int count = *rc::gen::inRange(0, kMaxSteps + 1);
  auto steps =
      *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count), any_step(Event::kCount));
  for (Step& step : steps) {
    const bool away = step.event == Event::kStoreSilent || step.event == Event::kStoreDown;
    step.event = away ? Event::kCutFromStore : step.event;
  }
  JobPromisesScenario(false).run(steps);
}

}  // namespace
}  // namespace chalkshed
