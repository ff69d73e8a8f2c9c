// chalkshed-choice-bench: CPU time that a node spends per load report of a peer and per choice of a
// worker, as a function of the number of workers. Prints one JSON line per number of workers.
//
// Measured on one machine in one run, at 100, 1,000, 3,000 and 10,000 workers. Summing the loads of
// all workers for each reported load took 331, 3,858, 14,681 and 121,731 ns per load report
// and 4.7, 50, 153 and 710 us per choice; incrementally maintained counts take 38, 98, 136 and 149
// ns, and 3.7, 34, 89 and 292 us.
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "sim/virtual_time.h"
#include "src/serving/worker_set.h"

namespace chalkshed {
namespace {

constexpr int kRounds = 2000;
constexpr uint32_t kSlots = 8;

WorkerRecord make_record(int number) {
  WorkerRecord record;
  record.incarnation = "i-" + std::to_string(number);
  // A plain service beside the engines, and three zones, as in real deployments.
  record.service = number % 10 == 0 ? "plain" : "engines";
  record.zone = "zone-" + std::to_string(number % 3);
  record.address = {"10.0.0.1", 80};
  record.slots = kSlots;
  return record;
}

// @return mean duration of one call in nanoseconds.
double time_calls(const std::function<void(int)>& call) {
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    call(round);
  }
  const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
  return took.count() / kRounds;
}

// @param with_speeds whether the workers report slowdowns, so that their speeds are learned.
void measure(int worker_count, bool with_speeds) {
  VirtualClock clock;
  SeededRandomGenerator random(7);
  WorkerSet workers(clock, random, "zone-0");
  std::vector<uint64_t> hashes;
  for (int number = 0; number < worker_count; ++number) {
    const WorkerRecord record = make_record(number);
    workers.update(record);
    hashes.push_back(workers.find(record.incarnation)->hash);
  }
  for (const auto& [name, worker] : workers.workers()) {
    if (with_speeds) {
      workers.note_report(*worker, {0, 0, kSlots, 1.5});
    }
  }
  // The reports must still count in the choice.
  clock.run_for(with_speeds ? std::chrono::milliseconds(20) : std::chrono::seconds(2));
  const double load = time_calls([&](int round) {
    const uint64_t worker = hashes[static_cast<size_t>(round) % hashes.size()];
    workers.add_peer_load(worker, 1, 0);
    workers.add_peer_load(worker, -1, 0);
  });
  SlotRequest request;
  request.service = "engines";
  const double choice = time_calls([&](int /*round*/) { workers.acquire_slot(request); });
  std::cout << nlohmann::json{{"workers", worker_count},
                              {"speeds", with_speeds},
                              {"load_ns", load / 2},
                              {"choice_ns", choice}}
                   .dump()
            << '\n';
}

}  // namespace
}  // namespace chalkshed

int main() {
  for (const int worker_count : {100, 300, 1000, 3000, 10000}) {
    chalkshed::measure(worker_count, false);
    chalkshed::measure(worker_count, true);
  }
  return 0;
}
