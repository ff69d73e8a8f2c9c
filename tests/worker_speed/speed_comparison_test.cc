/** \file
 * Late streams in a fleet of workers of unequal speed, by the design of the choice. The table of
 * docs/design/worker_speed.md is printed by the disabled test. */

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <iomanip>
#include <iostream>

#include "tests/worker_speed/speed_fleet.h"

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr Duration kDay = seconds(35);

speed_fleet_result run_seeds(speed_fleet_options options, uint64_t seeds) {
    speed_fleet_result sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const speed_fleet_result one = speed_fleet(options).run(kDay);
        sum.streams += one.streams;
        sum.late += one.late;
        sum.paused += one.paused;
        sum.queued += one.queued;
        sum.at_slow += one.at_slow;
        sum.late_at_slow += one.late_at_slow;
    }
    return sum;
}

struct design {
    const char *name;
    bool report_slowdown;
    std::function<void(WorkerKnobs &)> set;
};

/** Each worker costs the time that the request is expected to take there. */
void use_expected_time(WorkerKnobs &knobs) {
    knobs.speed_choice.order_offset_milliseconds = knobs.order_offset_milliseconds;
    knobs.speed_choice.share_in_prefill = 1.0;
    knobs.speed_choice.crowding_milliseconds = 0;
}

const std::vector<design> &designs() {
    static const std::vector<design> kDesigns = {
        {"present", false, [](WorkerKnobs &) {}},
        {"expected time", true,
         [](WorkerKnobs &knobs) {
             use_expected_time(knobs);
             knobs.speed_choice.by_slowdown = false;
         }},
        {"expected time, slowdown", true,
         [](WorkerKnobs &knobs) {
             use_expected_time(knobs);
             knobs.speed_choice.by_slowdown = true;
         }},
        {"crowding", true, [](WorkerKnobs &knobs) { knobs.speed_choice.by_slowdown = false; }},
        {"crowding, slowdown", true,
         [](WorkerKnobs &knobs) { knobs.speed_choice.by_slowdown = true; }},
        {"crowding, all speeds 1", true, [](WorkerKnobs &knobs) {
             knobs.speed_choice.by_slowdown = false;
             knobs.speed.max_speed = 1.0;
         }}};
    return kDesigns;
}

TEST(SpeedComparison, DISABLED_Table) {
    constexpr uint64_t kSeeds = 8;
    for (const uint64_t events : {200, 225, 250}) {
        for (const design &each : designs()) {
            speed_fleet_options options;
            options.mean_events = events;
            options.report_slowdown = each.report_slowdown;
            each.set(options.knobs);
            const speed_fleet_result result = run_seeds(options, kSeeds);
            std::cout << "| " << events << " | " << each.name << " | " << result.streams << " | "
                      << result.late << " | " << std::setprecision(3) << result.late_percent()
                      << " | " << result.queued << " | " << result.at_slow << " | "
                      << result.late_at_slow << " |\n";
        }
    }
}

// The choice by speed must never make more streams late than the choice without.
TEST(SpeedComparison, FewerStreamsAreLateThanIfAllWorkersCountAsEqual) {
    speed_fleet_options options;
    options.mean_events = 225;
    options.report_slowdown = false;
    constexpr uint64_t kSeeds = 3;
    const speed_fleet_result before = run_seeds(options, kSeeds);
    options.report_slowdown = true;
    const speed_fleet_result now = run_seeds(options, kSeeds);
    EXPECT_GT(before.late, 100U) << "the load is too low to compare";
    EXPECT_LT(static_cast<double>(now.late), 0.75 * static_cast<double>(before.late));
    EXPECT_LT(now.late_at_slow, before.late_at_slow / 2);
    EXPECT_GT(now.at_slow, before.at_slow / 2) << "slow workers must still be used";
}

// Prefill of other requests delays the events of a worker, so single speeds are inexact.
TEST(SpeedComparison, EachNodeLearnsTheSpeedsOfAllWorkers) {
    speed_fleet_options options;
    options.mean_events = 150;
    speed_fleet fleet(options);
    fleet.run(seconds(15));
    for (const size_t node : {size_t{0}, size_t{7}}) {
        std::array<double, 3> lowest{9, 9, 9};
        std::array<double, 3> highest{};
        std::array<double, 3> sum{};
        for (size_t engine = 0; engine < options.engines; ++engine) {
            const double learned = fleet.learned_speed(node, engine);
            lowest[engine % 3] = std::min(lowest[engine % 3], learned);
            highest[engine % 3] = std::max(highest[engine % 3], learned);
            sum[engine % 3] += learned;
        }
        EXPECT_LT(highest[0], lowest[1]);
        EXPECT_LT(highest[1], lowest[2]);
        EXPECT_NEAR(sum[0] / sum[1], 0.6, 0.12);
        EXPECT_NEAR(sum[2] / sum[1], 1.6, 0.32);
    }
}

// Equal workers that report their slowdown must not be told apart by chance.
TEST(SpeedComparison, EqualWorkersAreServedAsWellAsBefore) {
    speed_fleet_options options;
    options.mean_events = 200;
    options.speeds = {1.0};
    constexpr uint64_t kSeeds = 2;
    options.report_slowdown = false;
    const speed_fleet_result before = run_seeds(options, kSeeds);
    options.report_slowdown = true;
    const speed_fleet_result now = run_seeds(options, kSeeds);
    EXPECT_LE(now.late, before.late + before.streams / 200);
}

} // namespace
} // namespace chalkshed
