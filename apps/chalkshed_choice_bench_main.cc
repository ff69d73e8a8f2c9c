// chalkshed-choice-bench: what a load that a peer tells, and the choice of a worker, cost a node by
// the number of workers. Prints one JSON line a size.
//
// Measured on one machine in one run, while loads were summed over all workers for each that a peer
// reported, and with the counts that are kept: 331, 3,858, 14,681 and 121,731 ns a load at 100,
// 1,000, 3,000 and 10,000 workers, and 38, 98, 136 and 149 ns; 4.7, 50, 153 and 710 us a choice,
// and 3.7, 34, 89 and 292 us.
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "sim/virtual_time.h"
#include "src/serving/worker_set.h"

namespace chalkshed {
namespace {

constexpr int kRounds = 2000;
constexpr uint32_t kSlots = 8;

WorkerRecord record_of(int number) {
  WorkerRecord record;
  record.incarnation = "i-" + std::to_string(number);
  // A plain service beside the engines, and three zones, as deployments have them.
  record.service = number % 10 == 0 ? "plain" : "engines";
  record.zone = "zone-" + std::to_string(number % 3);
  record.address = {"10.0.0.1", 80};
  record.slots = kSlots;
  return record;
}

// @return nanoseconds that one call takes, in the mean.
double time_calls(const std::function<void(int)>& call) {
  const auto began = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    call(round);
  }
  const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
  return took.count() / kRounds;
}

void measure(int worker_count) {
  VirtualClock clock;
  SeededRandomGenerator random(7);
  WorkerSet workers(clock, random, "zone-0");
  std::vector<uint64_t> hashes;
  for (int number = 0; number < worker_count; ++number) {
    const WorkerRecord record = record_of(number);
    workers.update(record);
    hashes.push_back(workers.find(record.incarnation)->hash);
  }
  clock.run_for(std::chrono::seconds(2));
  const double load = time_calls([&](int round) {
    const uint64_t worker = hashes[static_cast<size_t>(round) % hashes.size()];
    workers.add_peer_load(worker, 1, 0);
    workers.add_peer_load(worker, -1, 0);
  });
  SlotRequest wanted;
  wanted.service = "engines";
  const double choice = time_calls([&](int /*round*/) { workers.acquire_slot(wanted); });
  std::cout << nlohmann::json{{"workers", worker_count},
                              {"load_ns", load / 2},
                              {"choice_ns", choice}}
                   .dump()
            << '\n';
}

}  // namespace
}  // namespace chalkshed

int main() {
  for (const int worker_count : {100, 1000, 3000, 10000}) {
    chalkshed::measure(worker_count);
  }
  return 0;
}
