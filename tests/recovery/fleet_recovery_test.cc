// After the loss of all nodes, service must return equally fast with 30, 100 and 300 nodes. The
// larger sizes take long: CHALKSHED_RECOVERY_NODES lists the sizes to run, for example 30,100,300.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "tests/recovery/lost_fleet.h"

namespace chalkshed {
namespace {

constexpr Duration kServingAgain = seconds(2);
constexpr Duration kFirstEvent = milliseconds(300);
constexpr Duration kObserved = seconds(8);

double ms(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

// The value below which that share of the samples is; -1 without samples.
double share_of(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return -1;
  }
  std::sort(samples.begin(), samples.end());
  return samples[static_cast<size_t>(share * static_cast<double>(samples.size() - 1))];
}

std::vector<size_t> sizes() {
  const char* chosen = std::getenv("CHALKSHED_RECOVERY_NODES");
  std::stringstream list(chosen == nullptr ? "30,100" : chosen);
  std::vector<size_t> sizes;
  for (std::string size; std::getline(list, size, ',');) {
    sizes.push_back(std::stoul(size));
  }
  return sizes;
}

struct Deployment {
  const char* name;
  size_t zones;
  size_t workers;
  double streams_per_second;
  size_t jobs;
};

std::ostream& operator<<(std::ostream& out, const Deployment& deployment) {
  return out << deployment.name;
}

constexpr Deployment kDeployments[] = {{"60 workers", 3, 60, 220, 60},
                                       {"90 workers", 4, 90, 400, 100}};

void print_steps(const std::vector<LostFleet::NodeStart>& starts) {
  const auto line = [&](const char* name, const auto& get) {
    std::vector<double> samples;
    for (const LostFleet::NodeStart& start : starts) {
      if (const std::optional<Duration> at = get(start)) {
        samples.push_back(ms(*at));
      }
    }
    std::printf("  %-16s nodes %4zu  median %7.0f  95%% %7.0f  most %7.0f ms\n", name,
                samples.size(), share_of(samples, 0.5), share_of(samples, 0.95),
                share_of(samples, 1.0));
  };
  for (size_t step = 0; step < kStartSteps; ++step) {
    line(start_step_name(static_cast<start_step>(step)),
         [step](const LostFleet::NodeStart& start) { return start.steps[step]; });
  }
  line("first answer", [](const LostFleet::NodeStart& start) { return start.first_answer; });
}

void print_calls(const LimitedCalls& calls, Duration over) {
  for (const auto& [kind, count] : calls.counts()) {
    std::printf("  %-28s answered %6lu (%6.0f/s)  refused %6lu\n", kind.c_str(), count.answered,
                static_cast<double>(count.answered) / std::chrono::duration<double>(over).count(),
                count.refused);
  }
  std::printf("  bytes from the store: %.1f MB\n", static_cast<double>(calls.bytes_sent()) / 1e6);
}

struct StreamCounts {
  size_t streams = 0;
  size_t late = 0;
  size_t late_without_loads = 0;  // at nodes that did not know the loads of the others yet
  size_t without_loads = 0;
  size_t refused = 0;  // or ended without an event
  double most_ms = 0;
};

// A stream that still waits for its first event at `now` counts as late if it has waited too long.
StreamCounts count_streams(const std::vector<TimedStream>& streams, MonotonicTime now) {
  StreamCounts counts;
  for (const TimedStream& stream : streams) {
    ++counts.streams;
    const bool ended = stream.refused || stream.seen->finished || stream.seen->aborted;
    if (!stream.first_event && ended) {
      ++counts.refused;
      continue;
    }
    const Duration waited = stream.first_event.value_or(now - stream.sent);
    const bool late = waited > kFirstEvent;
    counts.late += late ? 1 : 0;
    counts.late_without_loads += late && !stream.loads_known ? 1 : 0;
    counts.without_loads += stream.loads_known ? 0 : 1;
    counts.most_ms = std::max(counts.most_ms, ms(waited));
  }
  return counts;
}

void print_streams(const char* which, const StreamCounts& counts) {
  std::printf(
      "  streams %s: %zu, late %zu, refused %zu, slowest %.0f ms; at nodes without loads: %zu, "
      "late "
      "%zu\n",
      which, counts.streams, counts.late, counts.refused, counts.most_ms, counts.without_loads,
      counts.late_without_loads);
}

void print_progress(LostFleet& fleet) {
  constexpr Duration kPart = milliseconds(500);
  for (Duration passed = kPart; passed <= kObserved; passed += kPart) {
    fleet.run_for(kPart);
    const size_t queued = std::exchange(fleet.workers().most_queued, 0);
    const StreamCounts sent =
        count_streams(fleet.streams_between(passed - kPart, passed), fleet.now());
    std::printf(
        "  %4.0f ms: slots taken %3u, by batch %3u, by killed nodes %3u, most queued %3zu; streams "
        "%3zu\n",
        ms(passed), fleet.workers().running(), fleet.workers().batch(), fleet.workers().abandoned(),
        queued, sent.streams);
  }
  for (Duration passed = kPart; passed <= kObserved; passed += kPart) {
    const StreamCounts sent =
        count_streams(fleet.streams_between(passed - kPart, passed), fleet.now());
    if (sent.streams > 0) {
      std::printf("  sent until %4.0f ms: %3zu streams, late %3zu, without an event %3zu\n",
                  ms(passed), sent.streams, sent.late, sent.refused);
    }
  }
}

class FleetRecoveryTest : public testing::TestWithParam<std::tuple<size_t, Deployment, Duration>> {
};

// Guards against steps of a start that take longer in a larger fleet (refused calls of the store
// and their retries, copies from peers), and against batch items that fill the workers before the
// first requests of callers.
TEST_P(FleetRecoveryTest, ServiceReturnsSoonAfterTheLossOfAllNodes) {
  const auto& [nodes, deployment, spread] = GetParam();
  LostFleet fleet({nodes, deployment.zones, deployment.workers, deployment.jobs,
                   deployment.streams_per_second});
  fleet.run_for(seconds(2));
  fleet.reset_store_calls();
  constexpr Duration kOrdinary = seconds(2);
  fleet.run_for(kOrdinary);
  std::printf("%zu nodes, %s: ordinary operation\n", nodes, deployment.name);
  print_calls(fleet.store_calls(), kOrdinary);
  fleet.submit_jobs();
  fleet.run_for(milliseconds(1000));
  EXPECT_EQ(fleet.accepted_jobs, deployment.jobs);
  const StreamCounts before = count_streams(fleet.first_streams(seconds(100)), fleet.now());
  fleet.start_spread = spread;
  fleet.lose_all_nodes();
  fleet.unsent = 0;
  std::printf("  streams before the loss: %zu, late %zu\n", before.streams, before.late);
  print_progress(fleet);

  const std::vector<LostFleet::NodeStart> starts = fleet.node_starts();
  std::printf("%zu nodes, %s: after the loss\n", nodes, deployment.name);
  print_steps(starts);
  print_calls(fleet.store_calls(), kObserved);
  const StreamCounts first = count_streams(fleet.first_streams(seconds(1)), fleet.now());
  const StreamCounts later =
      count_streams(fleet.streams_between(fleet.first_start + spread + kServingAgain,
                                          kObserved - milliseconds(500)),
                    fleet.now());
  std::printf("  most reads in a second: %lu\n", fleet.most_reads_per_second());
  print_streams("within 1 s of readiness", first);
  print_streams("from 2 s after the start", later);
  std::fflush(stdout);

  for (const LostFleet::NodeStart& start : starts) {
    const auto ready = start.steps[static_cast<size_t>(start_step::kReady)];
    ASSERT_TRUE(ready) << "a node is still not ready";
    EXPECT_LE(ms(*ready), ms(kServingAgain));
  }
  EXPECT_EQ(first.refused, 0U);
  EXPECT_LE(first.late, first.streams / 50);
  EXPECT_EQ(later.refused, 0U);
  EXPECT_LE(later.late, later.streams / 50);
  EXPECT_LE(fleet.most_reads_per_second(), 6000U);
}

std::string name_of(const testing::TestParamInfo<FleetRecoveryTest::ParamType>& info) {
  return std::to_string(std::get<0>(info.param)) + "_nodes_" +
         std::to_string(std::get<1>(info.param).workers) + "_workers_started_" +
         (std::get<2>(info.param) == Duration(0) ? "together" : "within_a_second");
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetRecoveryTest,
                         testing::Combine(testing::ValuesIn(sizes()),
                                          testing::ValuesIn(kDeployments),
                                          testing::Values(Duration(0), Duration(seconds(1)))),
                         name_of);

}  // namespace
}  // namespace chalkshed
