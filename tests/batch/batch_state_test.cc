// Model-based test: random submissions, resubmissions, cancellations and faults, checked against a
// model of what was submitted, acknowledged and cancelled.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <nlohmann/json.hpp>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kNodes = 3;
constexpr uint32_t kKeys = 4;
constexpr uint32_t kItems = 40;
constexpr uint32_t kTokens = 10;

// State of the model.
struct Model {
  std::map<uint32_t, bool> submitted;  // by key: whether cancellation was requested
};

// The cluster and the responses received by its callers.
struct System {
  System() : cluster({}) {}

  BatchCluster cluster;
  std::map<uint32_t, std::set<std::string>> jobs;            // by key: ids acknowledged
  std::map<uint32_t, std::shared_ptr<RecordedAnswer>> open;  // by key: the last submission
  std::map<std::string, size_t> work_when_cancelled;         // by id: attempts started by that time

  static std::string prefix(uint32_t key) { return "key" + std::to_string(key) + "-item"; }
  size_t attempts(uint32_t key) {
    size_t count = 0;
    for (const std::string& prompt : cluster.worker_log().started) {
      count += prompt.starts_with(prefix(key)) ? 1 : 0;
    }
    return count;
  }
  // Records the job ids of responses received so far.
  void collect() {
    for (auto& [key, answer] : open) {
      if (answer->status == 200 && answer->finished) {
        jobs[key].insert(nlohmann::json::parse(answer->body).at("id").get<std::string>());
      }
    }
  }
  void submit(uint32_t key, size_t node) {
    collect();
    open[key] = cluster.send(node, "POST", "/v1/batches", job_lines(prefix(key), kItems, kTokens),
                             {{"Idempotency-Key", std::to_string(key)}});
  }
  // Records the attempts at the first report of a cancelled job; check_job() verifies that none
  // follow.
  void check_cancelled(uint32_t key, size_t node) {
    for (const std::string& job : jobs[key]) {
      if (!work_when_cancelled.contains(job) && cluster.status(node, job) == "cancelled") {
        work_when_cancelled[job] = attempts(key);
      }
    }
  }
  void clear_faults() {
    cluster.platform().table_service().faults = {};
    cluster.platform().object_service().faults = {};
    for (size_t node = 0; node < kNodes; ++node) {
      if (!cluster.up(node)) {
        cluster.restart(node);
      }
      cluster.thaw(node);
      cluster.set_store_unreachable(node, false);
    }
    // Until the last circuit breaker has closed.
    cluster.run_for(seconds(10));
  }
};

using Command = rc::state::Command<Model, System>;

size_t any_node() { return *rc::gen::inRange<size_t>(0, kNodes); }

struct Submit : Command {
  uint32_t key = *rc::gen::inRange<uint32_t>(0, kKeys);
  size_t node = any_node();
  void apply(Model& model) const override { model.submitted.try_emplace(key, false); }
  void run(const Model&, System& system) const override {
    system.submit(key, node);
    system.cluster.run_for(milliseconds(50));
    system.collect();
    RC_ASSERT(system.jobs[key].size() <= 1U);
  }
  void show(std::ostream& os) const override { os << "submit key " << key << " to " << node; }
};

struct Cancel : Command {
  uint32_t key = *rc::gen::inRange<uint32_t>(0, kKeys);
  size_t node = any_node();
  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.submitted.contains(key));
  }
  void apply(Model& model) const override { model.submitted[key] = true; }
  void run(const Model&, System& system) const override {
    for (const std::string& job : system.jobs[key]) {
      system.cluster.send(node, "POST", "/v1/batches/" + job + "/cancel");
    }
    system.cluster.run_for(milliseconds(20));
  }
  void show(std::ostream& os) const override { os << "cancel key " << key << " at " << node; }
};

struct KillOrRestart : Command {
  size_t node = any_node();
  void run(const Model&, System& system) const override {
    system.cluster.up(node) ? system.cluster.kill(node) : system.cluster.restart(node);
  }
  void show(std::ostream& os) const override { os << "kill or restart " << node; }
};

struct FreezeOrThaw : Command {
  size_t node = any_node();
  bool freeze = *rc::gen::arbitrary<bool>();
  void run(const Model&, System& system) const override {
    if (system.cluster.up(node)) {
      freeze ? system.cluster.freeze(node) : system.cluster.thaw(node);
    }
  }
  void show(std::ostream& os) const override { os << (freeze ? "freeze " : "thaw ") << node; }
};

struct ToggleStorePartition : Command {
  size_t node = any_node();
  bool unreachable = *rc::gen::arbitrary<bool>();
  void run(const Model&, System& system) const override {
    if (system.cluster.up(node)) {
      system.cluster.set_store_unreachable(node, unreachable);
    }
  }
  void show(std::ostream& os) const override {
    os << (unreachable ? "disconnect store of " : "reconnect store of ") << node;
  }
};

struct StoreFaults : Command {
  bool outage = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
  bool loses_answers = *rc::gen::arbitrary<bool>();
  void run(const Model&, System& system) const override {
    for (EmulatedService* service : {&system.cluster.platform().table_service(),
                                     &system.cluster.platform().object_service()}) {
      service->faults.outage = outage;
      service->faults.lost_answer_probability = loses_answers ? 0.3 : 0;
    }
  }
  void show(std::ostream& os) const override {
    os << "store: outage " << outage << ", loses answers " << loses_answers;
  }
};

struct RevokeSlots : Command {
  size_t node = any_node();
  void run(const Model&, System& system) const override {
    if (system.cluster.up(node)) {
      system.cluster.revoke_slots(node);
    }
  }
  void show(std::ostream& os) const override { os << "revoke slots of " << node; }
};

struct Advance : Command {
  uint32_t milliseconds_on = *rc::gen::element<uint32_t>(10, 100, 1'000, 10'000, 25'000);
  uint32_t key = *rc::gen::inRange<uint32_t>(0, kKeys);
  size_t node = any_node();
  void run(const Model&, System& system) const override {
    system.cluster.run_for(milliseconds(milliseconds_on));
    system.collect();
    RC_ASSERT(system.jobs[key].size() <= 1U);
    system.check_cancelled(key, node);
  }
  void show(std::ostream& os) const override { os << "advance " << milliseconds_on << " ms"; }
};

// Resubmits until acknowledged, then checks the final state of the key's job.
void check_job(System& system, uint32_t key, bool cancel_asked) {
  for (int attempt = 0; attempt < 10 && system.jobs[key].empty(); ++attempt) {
    system.submit(key, 0);
    system.cluster.wait(*system.open[key], minutes(2));
    system.collect();
    system.cluster.run_for(seconds(1));
  }
  RC_ASSERT(system.jobs[key].size() == 1U);
  const std::string job = *system.jobs[key].begin();
  const bool completed = system.cluster.run_until(1, job, "completed", minutes(5));
  RC_ASSERT(completed || (cancel_asked && system.cluster.status(2, job) == "cancelled"));
  const auto output = system.cluster.output(2, job);
  std::map<std::string, std::string> texts;
  for (const std::string& line : output) {
    const auto fields = nlohmann::json::parse(line);
    RC_ASSERT(fields.at("error").is_null());
    const std::string text = fields.at("response").at("body").at("choices").at(0).at("text");
    RC_ASSERT(texts.emplace(fields.at("custom_id"), text).second);
  }
  RC_ASSERT(!completed || texts.size() == kItems);
  for (const auto& [custom_id, text] : texts) {
    RC_ASSERT(text == expected_answer(custom_id, kTokens));
  }
  if (system.work_when_cancelled.contains(job)) {
    RC_ASSERT(system.attempts(key) == system.work_when_cancelled[job]);
  }
}

RC_GTEST_PROP(BatchStateTest, EveryAcceptedItemCompletesExactlyOnce, ()) {
  Model model;
  System system;
  const auto commands = *rc::state::gen::commands(
      model, rc::state::gen::execOneOfWithArgs<Submit, Submit, Cancel, KillOrRestart, FreezeOrThaw,
                                               ToggleStorePartition, StoreFaults, RevokeSlots,
                                               Advance, Advance>());
  rc::state::runAll(commands, model, system);
  for (const auto& command : commands) {
    command->apply(model);
  }
  system.clear_faults();
  for (const auto& [key, cancel_asked] : model.submitted) {
    check_job(system, key, cancel_asked);
  }
}

}  // namespace
}  // namespace chalkshed
