// What the choice of the next item costs when most jobs of a node cannot start.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

#include "chalkshed/item_scheduler.h"
#include "tests/jobs/owned_job_fixture.h"

namespace chalkshed {
namespace {

// The only node of a fleet.
class LoneSession : public SessionView {
 public:
  const std::string& own_session() const override { return session_; }
  bool alive(const std::string&, StoreVersion) override { return true; }
  size_t rank(const std::string&) const override { return 0; }
  std::optional<Address> peer_with_store(uint64_t) const override { return std::nullopt; }
  bool others_may_reach_store() const override { return false; }
  void begin_drain() override {}
  Duration view_lag() const override { return milliseconds(10); }

 private:
  const std::string session_ = "n0#1";
};

class ItemChoiceTest : public OwnedJobTest {
 protected:
  // A second service without workers.
  ItemChoiceTest() {
    StoredRow configuration;
    configuration.key = {platform::kOperatorTable, "", platform::kConfigurationKey};
    configuration.version = 2;
    configuration.value =
        R"({"version": 2, "services": [{"name": "engines"}, {"name": "small"}], "routes": [
        {"name": "batch", "host": "a.example", "path_prefix": "/batch/", "kind": "batch",
         "service": "engines", "attempts": 3, "run_target_ms": 20000},
        {"name": "small", "host": "a.example", "path_prefix": "/small/", "kind": "batch",
         "service": "small", "attempts": 3, "run_target_ms": 20000}]})";
    routes.on_row(configuration);
    store_clock.observe({1, clock.monotonic_now().time_since_epoch()});
  }
  void add_job(const std::string& path, size_t items) {
    StoredJob added = record;
    added.id = "job" + std::to_string(owned.size());
    added.path = path;
    added.items = static_cast<uint32_t>(items);
    added.accepted = store_clock.now();
    std::vector<ServingRequest> requests(items);
    for (size_t index = 0; index < items; ++index) {
      requests[index].id = added.id + "-" + std::to_string(index);
      requests[index].host = "a.example";
      requests[index].message.path = path;
    }
    owned[added.id].job = std::make_unique<OwnedJob>(
        environment, recorder, added, 1, clock.monotonic_now(),
        LoadedJob{std::move(requests), {}, {}, {}}, [](const std::string&) {});
  }
  // @return the mean time of a call that starts one item.
  std::chrono::nanoseconds time_of_choice(size_t jobs) {
    for (size_t number = 0; number < jobs; ++number) {
      add_job("/small/x", 10);
    }
    constexpr int kSound = 5;
    add_job("/batch/x", kSound);
    environment.knobs.max_items_per_burst = 1;
    environment.knobs.item_burst_interval = milliseconds(1);
    item_scheduler scheduler(environment, sessions, owned, [] { return true; });
    std::chrono::nanoseconds sum{0};
    for (int item = 0; item < kSound; ++item) {
      const auto begin = std::chrono::steady_clock::now();
      scheduler.start_items();
      EXPECT_EQ(calls.calls.size(), static_cast<size_t>(item) + 1) << jobs << " other jobs";
      sum += item == 0 ? std::chrono::nanoseconds(0) : std::chrono::steady_clock::now() - begin;
      clock.run_for(milliseconds(10));  // less than the scheduler's own interval
    }
    return sum / (kSound - 1);
  }

  LoneSession sessions;
  owned_job_map owned;
};

// jobs.
TEST_F(ItemChoiceTest, IsFlatInTheNumberOfJobsThatCannotStart) {
  for (const size_t jobs : {100U, 1000U, 10000U, 71000U}) {
    owned.clear();
    calls.calls.clear();
    std::printf("%zu jobs that cannot start: %.1f us for each item that starts\n", jobs,
                std::chrono::duration<double, std::micro>(time_of_choice(jobs)).count());
  }
}

}  // namespace
}  // namespace chalkshed
