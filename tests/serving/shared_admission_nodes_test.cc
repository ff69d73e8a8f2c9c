// Shared admission wired into serving nodes: workers with queues of their own, requests spread over
// all nodes, and more of them than the workers can serve.
#include <gtest/gtest.h>

#include <deque>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr size_t kNodes = 12;
constexpr size_t kWorkers = 6;
constexpr uint32_t kSlots = 4;
constexpr Duration kWork = milliseconds(300);
constexpr double kCapacity = kWorkers * kSlots / 0.3;

// Workers that run as many requests as they have slots and queue the others in order of arrival.
class QueueingWorkers {
 public:
  explicit QueueingWorkers(ServingCluster& cluster) : cluster_(cluster) {
    cluster.workers.on_call = [this](ScriptedCall& call) {
      queues_[call.worker].waiting.push_back(&call);
      most_queued = std::max(most_queued, queues_[call.worker].waiting.size());
      call_after(cluster_.loop, milliseconds(1),
                 [this, worker = call.worker] { run_next(worker); });
    };
  }
  std::map<std::string, MonotonicTime> began;  // by request
  size_t most_queued = 0;

 private:
  struct Queue {
    uint32_t running = 0;
    std::deque<ScriptedCall*> waiting;
  };
  void run_next(const Address& worker) {
    Queue& queue = queues_[worker];
    while (queue.running < kSlots && !queue.waiting.empty()) {
      ScriptedCall& call = *queue.waiting.front();
      queue.waiting.pop_front();
      if (!call.open()) {
        continue;
      }
      ++queue.running;
      began[call.header(platform::kRequestId)] = cluster_.clock.monotonic_now();
      HttpHeaders head = call.head();
      head.push_back({std::string(platform::kServerLoad), std::to_string(queue.running) + "," +
                                                              std::to_string(queue.waiting.size()) +
                                                              "," + std::to_string(kSlots)});
      call.callbacks->on_headers(200, head);
      call_after(cluster_.loop, kWork, [this, &call, worker] {
        --queues_[worker].running;
        if (call.open()) {
          call.end();
        }
        run_next(worker);
      });
    }
  }
  ServingCluster& cluster_;
  std::map<Address, Queue> queues_;
};

struct Totals {
  double in_time = 0;
  double late = 0;
  double refused = 0;
};

class NodesUnderLoad {
 public:
  explicit NodesUnderLoad(bool shared) : cluster(kNodes, kWorkers, knobs(shared)) {
    cluster.clock.run_for(seconds(4));
  }
  Totals drive(double per_second, Duration duration) {
    struct Asked {
      SeenAnswerPtr seen;
      MonotonicTime at;
    };
    std::map<std::string, Asked> asked;
    const auto step =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / per_second));
    const MonotonicTime end = cluster.clock.monotonic_now() + duration;
    while (cluster.clock.monotonic_now() < end) {
      const std::string id = "r" + std::to_string(++asked_);
      asked[id] = {request(random_.below(kNodes), id), cluster.clock.monotonic_now()};
      cluster.clock.run_for(step);
    }
    cluster.clock.run_for(seconds(6));
    Totals totals;
    for (const auto& [id, one] : asked) {
      const auto began = workers.began.find(id);
      const bool served = one.seen->status == 200 && began != workers.began.end();
      const bool in_time = served && began->second - one.at <= milliseconds(300);
      ++(!served ? totals.refused : in_time ? totals.in_time : totals.late);
      EXPECT_FALSE(one.seen->status == 503 && began != workers.began.end()) << id;
    }
    return totals;
  }
  ServingCluster cluster;
  QueueingWorkers workers{cluster};

 private:
  static ServingNodeKnobs knobs(bool shared) {
    ServingNodeKnobs knobs;
    knobs.shared_admission = shared;
    return knobs;
  }
  SeenAnswerPtr request(size_t node, const std::string& id) {
    HttpRequest message;
    message.method = "POST";
    message.path = "/stream/x";
    message.body = "body of " + id;
    message.headers = {{platform::kRequestId, id}, {platform::kDeadline, "8000"}};
    auto seen = std::make_shared<SeenAnswer>();
    ServingNode& serving = cluster.node("n" + std::to_string(node));
    const RouteTablePtr table = serving.routes();
    const Route* route = table->find("a.example", message.path);
    serving.gateway().handle(table, *route, platform::read_request("a.example", std::move(message)),
                             std::make_unique<FakeWriter>(seen));
    return seen;
  }
  SeededRandomGenerator random_{1};
  int asked_ = 0;
};

TEST(SharedAdmissionNodesTest, BelowTheCapacityNothingIsRefusedOrLate) {
  NodesUnderLoad nodes(true);
  const Totals totals = nodes.drive(0.7 * kCapacity, seconds(5));
  EXPECT_EQ(totals.refused, 0);
  EXPECT_EQ(totals.late, 0);
}

TEST(SharedAdmissionNodesTest, AboveTheCapacityTheRestIsRefusedAndHardlyAnythingIsLate) {
  std::map<bool, Totals> totals;
  std::map<bool, size_t> most_queued;
  for (const bool shared : {false, true}) {
    NodesUnderLoad nodes(shared);
    nodes.drive(0.6 * kCapacity, seconds(3));
    totals[shared] = nodes.drive(1.5 * kCapacity, seconds(6));
    most_queued[shared] = nodes.workers.most_queued;
  }
  EXPECT_GT(totals[true].in_time, 0.85 * kCapacity * 6);
  EXPECT_GT(totals[true].in_time, 2 * totals[false].in_time);
  // Nodes learn of each other's requests with a delay, so that a worker that they take for free may
  // have a queue; the target of 2 in 100 is tested without this in tests/shared_admission.
  EXPECT_LT(totals[true].late, 0.1 * totals[true].in_time);
  EXPECT_LT(most_queued[true], most_queued[false] / 2);
}

}  // namespace
}  // namespace chalkshed
