// Clusters of serving nodes with random faults in virtual time. Checked invariants: every item is
// listed once, with its complete text and at a stable position; non-repeatable requests run at most
// once; requests reported as not run did not run; answers are complete or visibly aborted; the
// configuration version never goes back; draining workers get no new requests. A seed determines
// the whole run, so that a failure can be reproduced.
#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr uint64_t kSeeds = 60;
constexpr uint64_t kEvents = 6;
constexpr Duration kStep = milliseconds(25);
constexpr Duration kFaultTime = seconds(20);
constexpr Duration kSettleTime = seconds(25);
constexpr Duration kSilence = milliseconds(2500);
constexpr Duration kDrainingGrace = seconds(2);

std::string whole_text() {
  std::string text = "d1";
  for (uint64_t event = 2; event <= kEvents; ++event) {
    text += "\nd" + std::to_string(event);
  }
  return text;
}

std::string whole_stream() {
  std::string text;
  for (uint64_t event = 1; event <= kEvents; ++event) {
    const std::string number = std::to_string(event);
    text.append("id: ").append(number).append("\ndata: d").append(number).append("\n\n");
  }
  return text;
}

class Campaign {
 public:
  explicit Campaign(uint64_t seed) : random_(seed), cluster_(3, 4) {
    cluster_.workers.on_call = [this](ScriptedCall& call) { receive(call); };
  }

  void run() {
    const MonotonicTime begin = cluster_.clock.monotonic_now();
    const MonotonicTime end = begin + kFaultTime;
    bool cleared = false;
    while (cluster_.clock.monotonic_now() < end) {
      // Nodes and store have no faults in the second half; workers drain and fail in both halves.
      fault_free_ = cluster_.clock.monotonic_now() - begin > kFaultTime / 2;
      if (fault_free_ && !std::exchange(cleared, true)) {
        clear_faults();
      }
      take_random_action();
      cluster_.clock.run_for(milliseconds(20 + static_cast<int64_t>(random_.below(150))));
      check_configuration();
    }
    clear_faults();
    cluster_.clock.run_for(kSettleTime);
    check_jobs();
    check_online();
  }

 private:
  struct Online {
    std::string path;
    SeenAnswerPtr seen;
  };
  struct Job {
    size_t items = 0;
    bool accepted = false;
    bool refused = true;  // every submission so far was rejected as certainly not run
    int unanswered = 0;
    bool ended = false;
    std::optional<MonotonicTime> end_acknowledged;
    std::vector<std::string> listed;  // items by position, as read so far
  };

  std::string any_node() {
    std::vector<std::string> alive;
    for (const auto& [name, node] : cluster_.nodes) {
      if (node && !node->dispatcher.frozen()) {
        alive.push_back(name);
      }
    }
    return alive.empty() ? "" : alive[random_.below(alive.size())];
  }

  void take_random_action() {
    switch (random_.below(16)) {
      case 0:
      case 1:
        submit();
        break;
      case 2:
        read(any_job());
        break;
      case 3:
        if (random_.below(2) == 0) {
          end_job();
        }
        break;
      case 4:
        if (!fault_free_) {
          inject_node_fault();
        }
        break;
      case 5:
        if (!fault_free_) {
          inject_store_fault();
        }
        break;
      case 6:
        change_workers();
        break;
      case 7:
        cluster_.write_configuration(++version_);
        break;
      default:
        request();
        break;
    }
  }

  void request() {
    const std::string name = any_node();
    if (name.empty() || !cluster_.node(name).routes()) {
      return;
    }
    static constexpr std::array<const char*, 4> kPaths = {"/stream/x", "/fixed/x", "/plain/x",
                                                          "/once/x"};
    const std::string path = kPaths[random_.below(kPaths.size())];
    const std::string id = "r" + std::to_string(++requests_);
    HttpRequest message;
    message.method = "POST";
    message.path = path;
    message.headers = {{platform::kRequestId, id}, {platform::kDeadline, "8000"}};
    auto seen = std::make_shared<SeenAnswer>();
    const RouteTablePtr table = cluster_.node(name).routes();
    online_[id] = {path, seen};
    cluster_.node(name).gateway().handle(table, *table->find("a.example", path),
                                         platform::read_request("a.example", std::move(message)),
                                         std::make_unique<FakeWriter>(seen));
  }

  void submit() {
    const std::string name = any_node();
    const bool again = !jobs_.empty() && random_.below(3) == 0;
    const std::string id = again ? any_job() : "j" + std::to_string(jobs_.size());
    Job& job = jobs_[id];
    if (!again) {
      job.items = 1 + random_.below(8);
    }
    if (!name.empty()) {
      ++job.unanswered;  // a killed node never answers, so the job may have been accepted
      cluster_.node(name).jobs().submit(
          cluster_.job(id, job.items), [&job](const Expected<std::monostate>& accepted) {
            job.accepted = job.accepted || accepted.has_value();
            --job.unanswered;
            job.refused = job.refused && !accepted && accepted.error().ran == Ran::kNo;
          });
    }
  }

  std::string any_job() {
    if (jobs_.empty()) {
      return "j0";
    }
    return std::next(jobs_.begin(), static_cast<ptrdiff_t>(random_.below(jobs_.size())))->first;
  }

  void read(const std::string& id) {
    const std::string name = any_node();
    if (name.empty()) {
      return;
    }
    cluster_.node(name).jobs().read_results(id, 0, Duration(0),
                                            [this, id](const Expected<ResultPage>& page) {
                                              if (page) {
                                                note_results(id, page->results);
                                              }
                                            });
  }

  void note_results(const std::string& id, const std::vector<JobResult>& results) {
    std::vector<std::string>& listed = jobs_[id].listed;
    for (size_t position = 0; position < results.size(); ++position) {
      if (position < listed.size()) {
        EXPECT_EQ(results[position].item, listed[position]) << id << " position " << position;
      } else {
        listed.push_back(results[position].item);
      }
    }
  }

  void end_job() {
    const std::string name = any_node();
    const std::string id = any_job();
    if (name.empty() || !jobs_.contains(id)) {
      return;
    }
    jobs_[id].ended = true;  // the call may take effect from now on, even without an answer
    cluster_.node(name).jobs().end(id, [this, id](const Expected<std::monostate>& ended) {
      Job& job = jobs_[id];
      if (ended && !job.end_acknowledged) {
        job.end_acknowledged = cluster_.clock.monotonic_now();
      }
    });
  }

  void inject_node_fault() {
    const std::string name = "n" + std::to_string(random_.below(3));
    ClusterNode* node = cluster_.nodes[name].get();
    if (node == nullptr) {
      cluster_.start_node(name);
      return;
    }
    last_fault_ = cluster_.clock.monotonic_now();
    switch (random_.below(6)) {
      case 0:
        cluster_.kill_node(name);
        break;
      case 4:
        // A planned restart: the process exits when the drain is done and starts again.
        node->node.begin_drain([this, name] {
          call_after(cluster_.loop, kStep, [this, name] { cluster_.start_node(name); });
        });
        break;
      case 5:
        cluster_.hub.lose_every = cluster_.hub.lose_every == 0 ? 4 : 0;
        break;
      case 1:
        node->dispatcher.frozen() ? node->dispatcher.thaw() : node->dispatcher.freeze();
        break;
      case 2:
        store_disconnected_[name] = !store_disconnected_[name];
        node->store.set_cut(store_disconnected_[name]);
        break;
      default:
        if (!cluster_.hub.cut.erase(node->address)) {
          cluster_.hub.cut.insert(node->address);
        }
        break;
    }
  }

  void inject_store_fault() {
    StoreTrouble& trouble = cluster_.shared.trouble;
    trouble = StoreTrouble();
    last_fault_ = cluster_.clock.monotonic_now();
    switch (random_.below(8)) {
      case 0:
        trouble.down = true;
        break;
      case 1:
        trouble.silent = true;
        break;
      case 2:
        trouble.lose_commits = true;
        break;
      case 3:
        trouble.lose_commits = true;
        trouble.late_commits = seconds(static_cast<int64_t>(1 + random_.below(5)));
        break;
      case 4:
        trouble.hold_changes = true;
        break;
      case 5:
        cluster_.shared.rows.drop_history();
        break;
      case 6: {
        // Stale reads, and no change history to catch up from.
        const StoreVersion now = cluster_.shared.rows.version();
        trouble.read_as_of = now - random_.below(std::min<StoreVersion>(now, 30));
        cluster_.shared.rows.drop_history();
        break;
      }
      default:
        break;
    }
    cluster_.shared.wake_followers();
  }

  void change_workers() {
    const size_t number = random_.below(4);
    const std::string id = "i-" + std::to_string(number);
    const bool leaves = !draining_.contains(id);
    cluster_.write_worker(id, number, leaves ? "draining" : "ready");
    if (leaves) {
      draining_[id] = cluster_.clock.monotonic_now();
    } else {
      draining_.erase(id);
    }
    if (draining_.size() == 4) {
      cluster_.write_worker(id, number, "ready");
      draining_.erase(id);
    }
  }

  void receive(ScriptedCall& call) {
    const std::string id = call.header(platform::kRequestId);
    const std::string worker = call.header(platform::kExpectInstance);
    check_draining(worker);
    check_ended(id);
    switch (random_.below(20)) {
      case 0:
        refuse_later(call);
        return;
      case 1:
        ++runs_[id];
        call_after(cluster_.loop, kStep, [&call] {
          if (call.open()) {
            call.fail(Ran::kUnknown);
          }
        });
        return;
      case 2:
        ++runs_[id];  // never answers; the connection times out
        call_after(cluster_.loop, kSilence, [&call] {
          if (call.open()) {
            call.fail(Ran::kUnknown);
          }
        });
        return;
      case 4:
        // The request runs and fails with a status that callers would take to mean "not run".
        if (id.starts_with("r")) {
          ++runs_[id];
          constexpr std::array<int, 3> kStatuses = {408, 429, 503};
          const int status = kStatuses[random_.below(kStatuses.size())];
          call_after(cluster_.loop, kStep, [&call, status] {
            if (call.open()) {
              call.begin(status);
              call.end();
            }
          });
          return;
        }
        refuse_later(call);
        return;
      case 3:
        // The connection delivers a stray answer to an earlier request instead of this one's.
        ++runs_[id];
        call_after(cluster_.loop, kStep, [&call] {
          if (call.open()) {
            HttpHeaders head = call.head();
            head.front().value = "another";
            call.callbacks->on_headers(200, head);
          }
        });
        return;
      default:
        ++runs_[id];
        call_after(cluster_.loop, kStep, [this, &call] {
          if (call.open()) {
            call.begin();
            const std::string last = call.header(platform::kLastEventId);
            play(call, last.empty() ? 1 : std::stoull(last) + 1);
          }
        });
        return;
    }
  }

  void refuse_later(ScriptedCall& call) {
    call_after(cluster_.loop, kStep, [&call] {
      if (call.open()) {
        call.refuse();
      }
    });
  }

  void play(ScriptedCall& call, uint64_t next) {
    if (!call.open()) {
      return;
    }
    if (next > kEvents) {
      call.end();
      return;
    }
    if (random_.below(60) == 0) {
      call.callbacks->on_body("id: " + std::to_string(next) + "\nda");
      const bool events = call.request.path != "/plain/x" && call.request.path != "/once/x";
      if (events && random_.below(2) == 0) {
        call.end();  // the framing claims a complete body
      } else {
        call.fail(Ran::kUnknown);
      }
      return;
    }
    call.event(next);
    call_after(cluster_.loop, kStep, [this, &call, next] { play(call, next + 1); });
  }

  // Draining workers get no new requests. Checked only after some seconds without node and store
  // faults.
  void check_draining(const std::string& worker) {
    constexpr Duration kMinUndisturbed = seconds(3);
    const auto left = draining_.find(worker);
    const MonotonicTime now = cluster_.clock.monotonic_now();
    if (left == draining_.end() || !fault_free_ || now - last_fault_ < kMinUndisturbed) {
      return;
    }
    EXPECT_LE((now - left->second).count(), kDrainingGrace.count())
        << worker << " was sent a request long after it started to drain";
  }

  // No item of an ended job is started any more.
  void check_ended(const std::string& request) {
    constexpr Duration kCancelTime = seconds(3);
    const auto job = jobs_.find(request.substr(0, request.find('-')));
    const MonotonicTime now = cluster_.clock.monotonic_now();
    if (job == jobs_.end() || !job->second.end_acknowledged || !fault_free_ ||
        now - last_fault_ < kCancelTime) {
      return;
    }
    EXPECT_LE((now - *job->second.end_acknowledged).count(), Duration(kCancelTime).count())
        << request << " was started after its job had ended";
  }

  void check_configuration() {
    for (const auto& [name, node] : cluster_.nodes) {
      if (!node) {
        continue;
      }
      const uint64_t now = node->node.routes() ? node->node.routes()->version() : 0;
      uint64_t& before = versions_[node->node.peers().own_session()];
      EXPECT_GE(now, before) << name << " went back to an older configuration";
      before = now;
    }
  }

  void clear_faults() {
    cluster_.shared.trouble = StoreTrouble();
    cluster_.hub.cut.clear();
    cluster_.hub.lose_every = 0;
    for (auto& [name, node] : cluster_.nodes) {
      if (!node) {
        cluster_.start_node(name);
      } else {
        node->store.set_cut(false);
        if (node->dispatcher.frozen()) {
          node->dispatcher.thaw();
        }
      }
    }
    cluster_.shared.wake_followers();
    for (size_t number = 0; number < 4; ++number) {
      cluster_.write_worker("i-" + std::to_string(number), number, "ready");
    }
    draining_.clear();
  }

  void check_jobs() {
    for (auto& [id, job] : jobs_) {
      const bool ran = std::any_of(runs_.begin(), runs_.end(), [&id = id](const auto& run) {
        return run.first.starts_with(id + "-") && run.second > 0;
      });
      EXPECT_FALSE(job.refused && job.unanswered == 0 && ran) << id << " ran though refused";
      if (!job.accepted) {
        continue;
      }
      for (const auto& [name, node] : cluster_.nodes) {
        std::optional<Expected<ResultPage>> page;
        node->node.jobs().read_results(id, 0, Duration(0),
                                       [&](const Expected<ResultPage>& told) { page = told; });
        cluster_.clock.run_for(milliseconds(100));
        ASSERT_TRUE(page && *page) << id << " cannot be read at " << name;
        const std::vector<JobResult>& results = (*page)->results;
        EXPECT_GE(results.size(), job.listed.size()) << id << " lost a result";
        note_results(id, results);
        std::set<std::string> items;
        for (const JobResult& result : results) {
          EXPECT_EQ(result.state, ItemState::kCompleted) << id;
          EXPECT_EQ(result.text, whole_text()) << id << " " << result.item;
          items.insert(result.item);
        }
        EXPECT_EQ(items.size(), results.size()) << id << " lists an item twice";
        EXPECT_TRUE(job.ended || items.size() == job.items)
            << id << ": " << items.size() << " of " << job.items << " at " << name;
      }
    }
  }

  void check_online() {
    for (const auto& [id, request] : online_) {
      const SeenAnswer& seen = *request.seen;
      EXPECT_TRUE(seen.finished || seen.aborted) << id << " has no final answer";
      const bool streams = request.path != "/plain/x" && request.path != "/once/x";
      if (seen.finished && seen.status == 200) {
        EXPECT_EQ(seen.body, whole_stream()) << id << (streams ? " streamed" : "");
      }
      if (request.path == "/once/x" || request.path == "/fixed/x") {
        EXPECT_LE(runs_[id], 1) << id << " ran more than once";
      }
      EXPECT_FALSE(promises_not_run(seen.status) && runs_[id] > 0)
          << id << " ran although its answer had status " << seen.status;
    }
  }

  SeededRandomGenerator random_;
  std::map<std::string, Online> online_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, int> runs_;
  std::map<std::string, MonotonicTime> draining_;
  std::map<std::string, bool> store_disconnected_;
  std::map<std::string, uint64_t> versions_;  // by session
  MonotonicTime last_fault_{};
  bool fault_free_ = false;
  uint64_t version_ = 1;
  uint64_t requests_ = 0;
  ServingCluster cluster_;
};

class FaultCampaignTest : public testing::TestWithParam<uint64_t> {};

TEST_P(FaultCampaignTest, InvariantsHold) { Campaign(GetParam()).run(); }

INSTANTIATE_TEST_SUITE_P(Seeds, FaultCampaignTest, testing::Range<uint64_t>(1, kSeeds + 1));

}  // namespace
}  // namespace chalkshed
