// Random histories of workers that answer beside the request, nodes that die and start, callers
// that leave, and a store in trouble: what may run once runs once at most, what was refused never
// runs, and no run goes on while another one continues it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

enum class Outcome { kWhole, kRefused, kBroken, kSilent, kNotConnected };

class OnceHistory {
 public:
  explicit OnceHistory(uint32_t seed) : random_(seed) {
    cluster_.workers.on_call = [this](ScriptedCall& call) { receive(call); };
    cluster_.clock.run_for(seconds(4));
  }

  void take_step(uint8_t step) {
    constexpr uint8_t kActions = 8;
    const size_t which = step / kActions;
    switch (step % kActions) {
      case 0:
        leave(which);
        break;
      case 1:
        restart_node(which);
        break;
      case 2:
        disturb_store(which);
        break;
      case 3:
        cluster_.node(node_name(which))
            .jobs()
            .submit(cluster_.job("j" + std::to_string(++jobs_), 3),
                    [](const Expected<std::monostate>&) {});
        break;
      default:
        send(which);
        break;
    }
    cluster_.clock.run_for(milliseconds(20 + random_.below(100)));
  }

  void settle() {
    cluster_.shared.trouble = StoreTrouble();
    cluster_.clock.run_for(seconds(12));
  }

  void check() const {
    for (const auto& [id, seen] : answers_) {
      const auto found = runs_.find(id);
      const int runs = found == runs_.end() ? 0 : found->second;
      RC_ASSERT(!promises_not_run(seen->status) || runs == 0);
      RC_ASSERT(!once_.contains(id) || runs <= 1);
    }
    RC_ASSERT(overlaps_ == 0);
  }

 private:
  static constexpr size_t kNodes = 3;
  static std::string node_name(size_t which) { return "n" + std::to_string(which % kNodes); }

  void send(size_t which) {
    const std::vector<std::string> paths = {"/once/x", "/fixed/x", "/stream/x", "/plain/x"};
    const std::string& path = paths[random_.below(paths.size())];
    const std::string id = "r" + std::to_string(++requests_);
    if (path == "/once/x" || path == "/fixed/x") {
      once_.insert(id);
    }
    const RouteTablePtr table = cluster_.node(node_name(which)).routes();
    if (table && table->find("a.example", path) != nullptr) {
      answers_[id] = cluster_.request(path, id, node_name(which));
    }
  }
  void leave(size_t which) {
    if (answers_.empty()) {
      return;
    }
    const SeenAnswerPtr& seen =
        std::next(answers_.begin(), static_cast<ptrdiff_t>(which % answers_.size()))->second;
    if (seen->status == 0 && seen->on_closed) {
      const auto on_closed = std::exchange(seen->on_closed, nullptr);
      on_closed();
    }
  }
  void restart_node(size_t which) {
    cluster_.kill_node(node_name(which));
    cluster_.clock.run_for(milliseconds(300));
    cluster_.start_node(node_name(which));
    cluster_.clock.run_for(seconds(1));
  }
  void disturb_store(size_t which) {
    cluster_.shared.trouble = StoreTrouble();
    cluster_.shared.trouble.lose_commits = which % 3 == 0;
    cluster_.shared.trouble.silent = which % 3 == 1;
  }

  void receive(ScriptedCall& call) {
    const auto outcome = static_cast<Outcome>(random_.below(5));
    const std::string id = call.header(platform::kRequestId);
    if (outcome != Outcome::kRefused && outcome != Outcome::kNotConnected) {
      ++runs_[id];
      watch_earlier_runs(id, call);
      running_[id].push_back(&call);
    }
    const uint64_t surplus = random_.below(3);
    call_after(cluster_.loop, milliseconds(5), [this, &call, outcome, surplus] {
      if (outcome == Outcome::kNotConnected) {
        if (call.open()) {
          call.fail(Ran::kNo);
        }
        return;
      }
      for (uint64_t number = 0; number < surplus; ++number) {
        send_surplus(call);
      }
      call_after(cluster_.loop, milliseconds(20), [&call, outcome] { finish(call, outcome); });
    });
  }
  void send_surplus(ScriptedCall& call) {
    if (!call.open()) {
      return;
    }
    const std::vector<int> refusals = {400, 408, 421, 429, 503};
    HttpHeaders head = {{platform::kNotExecuted, "1"}};
    if (random_.below(3) == 0) {
      head.push_back({platform::kRequestId, "another"});
    }
    call.callbacks->on_headers(refusals[random_.below(refusals.size())], head);
    if (call.open()) {
      call.end();
    }
  }
  static void finish(ScriptedCall& call, Outcome outcome) {
    if (!call.open() || outcome == Outcome::kSilent) {
      return;
    }
    if (outcome == Outcome::kRefused) {
      call.refuse();
      return;
    }
    call.begin();
    const std::string last = call.header(platform::kLastEventId);
    const uint64_t next = last.empty() ? 1 : std::stoull(last) + 1;
    if (call.open()) {
      call.event(next);
    }
    if (call.open() && outcome == Outcome::kBroken) {
      call.fail(Ran::kUnknown);
    } else if (call.open()) {
      call.end();
    }
  }

  // An earlier run must have ended 400 ms after this one goes on with it.
  void watch_earlier_runs(const std::string& id, const ScriptedCall& later) {
    if (later.header(platform::kLastEventId).empty()) {
      return;
    }
    for (const ScriptedCall* earlier : running_[id]) {
      call_after(cluster_.loop, milliseconds(400),
                 [this, earlier] { overlaps_ += earlier->open() ? 1 : 0; });
    }
  }

  SeededRandomGenerator random_;
  std::map<std::string, SeenAnswerPtr> answers_;
  std::set<std::string> once_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::vector<const ScriptedCall*>> running_;
  int overlaps_ = 0;
  int jobs_ = 0;
  int requests_ = 0;
  ServingCluster cluster_{kNodes, 4};
};

RC_GTEST_PROP(OnceProperty, WhatMayRunOnceDoesAndWhatWasRefusedNeverRuns,
              (uint32_t seed, const std::vector<uint8_t>& steps)) {
  OnceHistory history(seed);
  for (const uint8_t step : steps) {
    history.take_step(step);
  }
  history.settle();
  history.check();
}

}  // namespace
}  // namespace chalkshed
