#include "chalkshed/cold_start_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

#include "sim/virtual_time.h"
#include "src/core/digest.h"
#include "src/serving/worker_set.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cold_start kService{5.4, seconds(3)};
constexpr cold_start_knobs kAgreed{.overrun = 1.5, .slack = 5.0};
/** Limit of requests to a worker in any second: 5.4 x 1.5 + 5. */
constexpr size_t kMaxPerSecond = 13;

/** Long before any worker in the tests becomes cold. */
constexpr MonotonicTime kListed{seconds(10)};

cold_start_limit::own_rank fixed_rank(size_t rank) {
    return [rank](const std::string & /*worker*/) { return std::optional(rank); };
}

/** Times at which a node that always has pending requests sends them to the worker. */
std::vector<MonotonicTime> send_all(const cold_start_limit &limit, cold_state &state,
                                    MonotonicTime from, Duration time) {
    std::vector<MonotonicTime> sent;
    for (MonotonicTime now = from; now < from + time; now += milliseconds(1)) {
        if (cold_start_limit::limited(state, kService, now) &&
            cold_start_limit::may_send(state, now)) {
            limit.note_sent(state, kService, now);
            sent.push_back(now);
        }
    }
    return sent;
}

TEST(ColdStartLimitTest, ASenderSendsAtItsShareOfTheRate) {
    cold_start_limit limit(kAgreed);
    limit.set_own_rank(fixed_rank(1));
    limit.note_nodes_listed(kListed);
    cold_state state;
    const MonotonicTime start{seconds(100)};
    limit.note_cold(state, "w", kService, seconds(3), start);
    const size_t sent = send_all(limit, state, start, seconds(3)).size();
    EXPECT_GE(sent, 5U);
    EXPECT_LE(sent, 7U);
}

TEST(ColdStartLimitTest, OtherNodesSendNothingUntilTheWorkerIsWarm) {
    cold_start_limit limit(kAgreed);
    limit.set_own_rank(fixed_rank(2));
    limit.note_nodes_listed(kListed);
    cold_state state;
    const MonotonicTime start{seconds(100)};
    limit.note_cold(state, "w", kService, seconds(3), start);
    EXPECT_TRUE(send_all(limit, state, start, seconds(3)).empty());
    EXPECT_FALSE(cold_start_limit::limited(state, kService, start + seconds(3)));
}

TEST(ColdStartLimitTest, ANodeThatDoesNotKnowTheOthersSendsNothing) {
    const cold_start_limit limit(kAgreed);
    cold_state state;
    limit.note_cold(state, "w", kService, seconds(3), MonotonicTime{seconds(100)});
    EXPECT_TRUE(send_all(limit, state, MonotonicTime{seconds(100)}, seconds(3)).empty());
}

TEST(ColdStartLimitTest, AServiceWithoutARateHasNoLimit) {
    cold_state state;
    const MonotonicTime now{seconds(100)};
    cold_start_limit(kAgreed).note_cold(state, "w", {}, seconds(3), now);
    EXPECT_FALSE(cold_start_limit::limited(state, {}, now));
}

TEST(ColdStartLimitTest, AnOlderRecordDoesNotShortenTheColdTime) {
    const cold_start_limit limit(kAgreed);
    cold_state state;
    const MonotonicTime now{seconds(100)};
    limit.note_cold(state, "w", kService, seconds(3), now);
    limit.note_cold(state, "w", kService, milliseconds(10), now);
    limit.note_cold(state, "w", kService, Duration(0), now);
    EXPECT_TRUE(cold_start_limit::limited(state, kService, now + milliseconds(2900)));
}

TEST(ColdStartLimitTest, ATinyRateAppliesToAllNodesTogether) {
    cold_start_limit limit({.overrun = 1.0, .slack = 0.0});
    limit.set_own_rank(fixed_rank(0));
    limit.note_nodes_listed(kListed);
    const cold_start tiny{1.0, seconds(3)};
    cold_state state;
    limit.note_cold(state, "w", tiny, seconds(3), MonotonicTime{seconds(100)});
    limit.note_sent(state, tiny, MonotonicTime{seconds(100)});
    // Half of one request per second leaves no burst.
    limit.draw_sender(state, "w", tiny, MonotonicTime{seconds(100)});
    EXPECT_FALSE(state.sender);
}

/** Simulated nodes that always have pending requests. Views of the announced nodes lag by up to two
 * seconds. */
class SimulatedNodes {
public:
    SimulatedNodes(size_t nodes, uint64_t seed) : random(seed) {
        for (size_t index = 0; index < nodes; ++index) {
            add_node(MonotonicTime{});
        }
    }
    void add_node(MonotonicTime announced) {
        names.push_back("n" + std::to_string(names.size()) + "-" + std::to_string(random.next()));
        announced_at.push_back(announced);
        lag.push_back(milliseconds(random.next() % 2000));
        limits.emplace_back(kAgreed);
        states.emplace_back();
        const size_t own = names.size() - 1;
        limits.back().set_own_rank(
            [this, own](const std::string &worker) { return std::optional(rank(own, worker)); });
        limits.back().note_nodes_listed(announced);
    }
    size_t rank(size_t own, const std::string &worker) const {
        const uint64_t seed = content_hash(worker);
        size_t before = 0;
        for (size_t other = 0; other < names.size(); ++other) {
            const bool seen =
                announced_at[other] == MonotonicTime{} || now >= announced_at[other] + lag[own];
            before += other != own && seen &&
                      content_hash(names[other], seed) > content_hash(names[own], seed);
        }
        return before;
    }

    SeededRandomGenerator random;
    MonotonicTime now{seconds(100)};
    std::vector<std::string> names;
    std::vector<MonotonicTime> announced_at;
    std::vector<Duration> lag;
    std::deque<cold_start_limit> limits;
    std::deque<cold_state> states;
};

size_t max_in_any_second(const std::vector<MonotonicTime> &sent) {
    size_t most = 0;
    for (size_t begin = 0, end = 0; end < sent.size(); ++end) {
        while (sent[end] - sent[begin] >= seconds(1)) {
            ++begin;
        }
        most = std::max(most, end - begin + 1);
    }
    return most;
}

/** \return The maximum number of requests that one worker received in any second from that many
 * nodes, when half as many more are added at once and each node learns at a different time that
 * the worker is cold. */
size_t max_sent_per_second(size_t nodes, uint64_t seed) {
    SimulatedNodes fleet(nodes, seed);
    const std::string worker = "w" + std::to_string(seed);
    const MonotonicTime added = fleet.now + milliseconds(fleet.random.next() % 3000);
    std::vector<MonotonicTime> hears;
    for (size_t index = 0; index < nodes; ++index) {
        hears.push_back(fleet.now + milliseconds(fleet.random.next() % 500));
    }
    const MonotonicTime end = fleet.now + seconds(5);
    std::vector<MonotonicTime> sent;
    for (; fleet.now < end; fleet.now += milliseconds(5)) {
        if (fleet.now >= added && fleet.names.size() == nodes) {
            for (size_t index = 0; index < nodes / 2; ++index) {
                fleet.add_node(added);
                hears.push_back(added);
            }
        }
        const bool look = (fleet.now - MonotonicTime{}) % milliseconds(250) == Duration(0);
        for (size_t index = 0; index < fleet.names.size(); ++index) {
            cold_state &state = fleet.states[index];
            if (fleet.now < hears[index]) {
                continue;
            }
            if (state.until == MonotonicTime{}) {
                fleet.limits[index].note_cold(state, worker, kService, seconds(5), fleet.now);
            }
            if (look) {
                fleet.limits[index].draw_sender(state, worker, kService, fleet.now);
            }
            if (cold_start_limit::may_send(state, fleet.now)) {
                fleet.limits[index].note_sent(state, kService, fleet.now);
                sent.push_back(fleet.now);
            }
        }
    }
    return max_in_any_second(sent);
}

TEST(ColdStartFleetTest, TheLimitAppliesToAllNodesTogetherDespiteDifferentViews) {
    constexpr uint64_t kSeeds = 200;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const size_t most = max_sent_per_second(73, seed);
        EXPECT_LE(most, kMaxPerSecond) << seed;
        EXPECT_GT(most, 0U) << seed << ": no requests were sent";
    }
}

TEST(ColdStartFleetTest, TheLimitHoldsAtHundredsOfNodes) {
    constexpr uint64_t kSeeds = 20;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        EXPECT_LE(max_sent_per_second(300, seed), kMaxPerSecond) << seed;
    }
}

class ColdWorkerTest : public testing::Test {
protected:
    ColdWorkerTest() {
        workers.note_nodes_listed();
        clock.run_for(seconds(5));
    }
    void list(const std::string &incarnation, Duration cold_left) {
        WorkerRecord record;
        record.incarnation = incarnation;
        record.service = "engines";
        record.address = {"10.0.0.1", 80};
        record.zone = "zone-a";
        record.slots = 8;
        record.cold_left = cold_left;
        workers.update(record);
    }
    WorkerSlotPtr take(WorkClass work = WorkClass::kOnline, bool even_if_full = false) {
        SlotRequest request;
        request.service = "engines";
        request.work = work;
        request.even_if_full = even_if_full;
        return workers.acquire_slot(request);
    }
    static WorkerKnobs knobs() {
        WorkerKnobs knobs;
        knobs.cold_start = kAgreed;
        return knobs;
    }

    VirtualClock clock;
    SeededRandomGenerator random{7};
    WorkerSet workers{clock, random, "zone-a", knobs()};
};

TEST_F(ColdWorkerTest, AColdWorkerIsSentNothingByNodesThatAreNotItsSenders) {
    workers.set_cold_starts({{"engines", kService}});
    workers.set_own_rank(fixed_rank(5));
    list("cold", seconds(3));
    EXPECT_EQ(take(), nullptr);
    EXPECT_EQ(take(WorkClass::kOnline, true), nullptr);
    clock.run_for(seconds(3));
    EXPECT_NE(take(), nullptr);
}

TEST_F(ColdWorkerTest, AWarmWorkerWithFreeSlotsIsPreferred) {
    workers.set_cold_starts({{"engines", kService}});
    workers.set_own_rank(fixed_rank(0));
    list("cold", seconds(30));
    list("warm", Duration(0));
    clock.run_for(seconds(1));
    std::vector<WorkerSlotPtr> slots;
    for (int index = 0; index < 8; ++index) {
        slots.push_back(take());
        EXPECT_EQ(slots.back()->worker().record.incarnation, "warm");
    }
    EXPECT_EQ(take()->worker().record.incarnation, "cold");
}

TEST_F(ColdWorkerTest, TheConfigurationMayArriveAfterTheWorkers) {
    list("cold", seconds(3));
    workers.set_own_rank(fixed_rank(5));
    EXPECT_NE(take(), nullptr);
    workers.set_cold_starts({{"engines", kService}});
    EXPECT_EQ(take(), nullptr);
    workers.set_cold_starts({});
    EXPECT_NE(take(), nullptr);
}

TEST_F(ColdWorkerTest, SlotsOfColdWorkersAreNotCountedForBatch) {
    workers.set_cold_starts({{"engines", kService}});
    workers.set_own_rank(fixed_rank(0));
    list("warm", Duration(0));
    for (int index = 0; index < 9; ++index) {
        list("cold-" + std::to_string(index), seconds(30));
    }
    EXPECT_EQ(workers.free_slots("engines"), 8U);
}

TEST_F(ColdWorkerTest, AWorkerThatBecomesColdAgainIsLimitedAgain) {
    workers.set_cold_starts({{"engines", kService}});
    workers.set_own_rank(fixed_rank(5));
    list("w", Duration(0));
    EXPECT_NE(take(), nullptr);
    list("w", seconds(3));
    EXPECT_EQ(take(), nullptr);
}

} // namespace
} // namespace chalkshed
