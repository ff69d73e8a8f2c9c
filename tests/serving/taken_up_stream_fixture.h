// Nodes before workers of several software versions, and callers that take their streams up again.
#pragma once

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

// Four nodes before two workers of version 1; callers take streams up at other nodes.
class TakenUpStreamTest : public testing::Test {
 protected:
  TakenUpStreamTest() {
    write("old-0", 0, "1");
    write("old-1", 1, "1");
    for (const char* name : {"n0", "n1", "n2", "n3"}) {
      cluster.start_node(name);
    }
    run_until_covered();
  }
  // Until the nodes know that no other version can have begun a stream that is open.
  void run_until_covered() { cluster.clock.run_for(service_versions::kMemory + seconds(30)); }
  void write(const std::string& id, size_t number, const std::string& version,
             const std::string& state = "ready") {
    cluster.write_worker(id, number, state, 4, version);
  }
  void remove(const std::string& id) { cluster.put("servers", id, std::nullopt); }
  // A release: workers of another version join.
  void release(const std::string& version) {
    constexpr size_t kWorkers = 3;
    for (size_t number = 0; number < kWorkers; ++number) {
      write("v" + version + "-" + std::to_string(number), 10 + 10 * number, version);
    }
    settle();
  }
  void settle() { cluster.clock.run_for(milliseconds(300)); }
  ScriptedCall& last() { return cluster.workers.calls.back(); }
  size_t sends() const { return cluster.workers.calls.size(); }
  std::string last_worker() { return last().header(platform::kExpectInstance); }
  // Begins streams until one is at a worker whose name starts so, and sends its first event.
  std::string begin_at(const std::string& worker, const std::string& node = "n0") {
    constexpr int kMaxTries = 60;
    for (int number = 0; number < kMaxTries; ++number) {
      std::string id = "first-" + std::to_string(++streams);
      seen[id] = cluster.request("/stream/x", id, node);
      if (last_worker().starts_with(worker)) {
        last().begin();
        last().event(1);
        cluster.clock.run_for(milliseconds(5));
        return id;
      }
      last().begin();
      last().end();
    }
    ADD_FAILURE() << "no stream began at " << worker;
    return "";
  }
  // @return whether the stream went on, and ended, at a worker whose name starts so.
  bool goes_on_at(const std::string& worker, const std::string& first, const std::string& node) {
    const size_t before = sends();
    const std::string id = "again-" + std::to_string(++streams);
    answer = cluster.take_up("/stream/x", id, first, node);
    cluster.clock.run_for(milliseconds(200));
    if (sends() != before + 1 || last().header(platform::kLastEventId) != "1") {
      return false;
    }
    last().begin();
    last().event(2);
    last().end();
    cluster.clock.run_for(milliseconds(5));
    return last_worker().starts_with(worker) && answer->finished;
  }
  // @return whether the request was refused with the promise that it has not run.
  bool refused(const std::string& first, const std::string& node) {
    const size_t before = sends();
    answer = cluster.take_up("/stream/x", "again-" + std::to_string(++streams), first, node);
    cluster.clock.run_for(milliseconds(200));
    return sends() == before && answer->status == 503 && !answer->header("Retry-After").empty();
  }

  ServingCluster cluster{0, 0};
  std::map<std::string, SeenAnswerPtr> seen;
  SeenAnswerPtr answer;  // of the last attempt that took a stream up
  int streams = 0;
};

}  // namespace chalkshed
