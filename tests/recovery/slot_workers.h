// Workers with slots, a queue and a prefill rate, in virtual time. A worker keeps running a request
// whose node was killed.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

class SlotWorkers {
 public:
  static constexpr uint32_t kSlots = 8;
  static constexpr Duration kStep = milliseconds(40);  // between two events of a response
  static constexpr uint64_t kStreamEvents = 20;
  static constexpr uint64_t kItemEvents = 40;
  static constexpr Duration kPrefill = milliseconds(10);

  explicit SlotWorkers(ServingCluster& cluster) : cluster_(cluster) {
    cluster.workers.on_call = [this](ScriptedCall& call) {
      call_after(cluster_.loop, milliseconds(1), [this, &call] { receive(call); });
    };
  }
  // The requests of these sessions run to their end although nobody reads the responses.
  void lose_sessions(const std::set<std::string>& sessions) {
    lost_.insert(sessions.begin(), sessions.end());
  }
  uint32_t running() const { return sum(&Worker::running); }
  // Requests of which a killed node was the reader.
  uint32_t abandoned() const { return sum(&Worker::abandoned); }
  // Batch items that run.
  uint32_t batch() const { return sum(&Worker::batch); }
  size_t queued() const {
    size_t total = 0;
    for (const auto& [address, worker] : workers_) {
      total += worker.queue.size();
    }
    return total;
  }
  size_t most_queued = 0;

 private:
  struct Worker {
    uint32_t running = 0;
    uint32_t abandoned = 0;
    uint32_t batch = 0;
    std::deque<ScriptedCall*> queue;
    MonotonicTime prefill_until{};
  };
  struct Run {
    Worker& worker;
    ScriptedCall& call;
    std::string sender;
    uint64_t next = 1;
    uint64_t last = 0;
    bool batch = false;
    bool abandoned = false;
  };

  uint32_t sum(uint32_t Worker::*member) const {
    uint32_t total = 0;
    for (const auto& [address, worker] : workers_) {
      total += worker.*member;
    }
    return total;
  }
  void receive(ScriptedCall& call) {
    Worker& worker = workers_[call.worker];
    worker.queue.push_back(&call);
    start_next(worker);
    most_queued = std::max(most_queued, queued());
  }
  void start_next(Worker& worker) {
    while (worker.running < kSlots && !worker.queue.empty()) {
      ScriptedCall& call = *worker.queue.front();
      worker.queue.pop_front();
      if (call.open()) {
        start(worker, call);
      }
    }
  }
  void start(Worker& worker, ScriptedCall& call) {
    const bool batch = call.request.path.starts_with("/batch/");
    const std::string resumed = call.header(platform::kLastEventId);
    auto run = std::make_shared<Run>(Run{worker, call, call.sender});
    run->next = resumed.empty() ? 1 : std::stoull(resumed) + 1;
    run->last = batch ? kItemEvents : kStreamEvents;
    run->batch = batch;
    ++worker.running;
    worker.batch += batch ? 1 : 0;
    const MonotonicTime now = cluster_.clock.monotonic_now();
    worker.prefill_until = std::max(worker.prefill_until, now) + kPrefill;
    call_after(cluster_.loop, worker.prefill_until - now, [this, run] { begin(run); });
  }
  void begin(const std::shared_ptr<Run>& run) {
    if (run->call.open()) {
      HttpHeaders head = run->call.head();
      head.push_back({platform::kServerLoad, std::to_string(run->worker.running) + "," +
                                                 std::to_string(run->worker.queue.size()) + "," +
                                                 std::to_string(kSlots)});
      run->call.callbacks->on_headers(200, head);
    }
    step(run);
  }
  void step(const std::shared_ptr<Run>& run) {
    if (!run->call.open() && !run->abandoned && lost_.contains(run->sender)) {
      run->abandoned = true;
      ++run->worker.abandoned;
    }
    const bool cancelled = !run->call.open() && !run->abandoned;
    if (cancelled || run->next > run->last) {
      finish(*run);
      return;
    }
    if (run->call.open()) {
      run->call.event(run->next);
    }
    ++run->next;
    call_after(cluster_.loop, kStep, [this, run] { step(run); });
  }
  void finish(Run& run) {
    if (run.call.open()) {
      run.call.end();
    }
    --run.worker.running;
    run.worker.batch -= run.batch ? 1 : 0;
    run.worker.abandoned -= run.abandoned ? 1 : 0;
    start_next(run.worker);
  }

  ServingCluster& cluster_;
  std::map<Address, Worker> workers_;
  std::set<std::string> lost_;
};

}  // namespace chalkshed
