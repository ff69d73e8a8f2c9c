/** \file
 * Nodes learn the speed of workers from the answers that they relay, and tell their peers. */

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class LearnedSpeed : public testing::Test {
protected:
    /** Workers i-0 and i-1 send an event every 5 and 2 ms. \param load Text of their load header.
     */
    void answer(const std::string &load) {
        cluster.workers.on_call = [this, load](ScriptedCall &call) {
            const bool slow = call.header(platform::kExpectInstance) == "i-0";
            call_after(cluster.loop, milliseconds(20), [this, &call, load, slow] {
                if (call.open()) {
                    HttpHeaders head = call.head();
                    head.push_back({platform::kServerLoad, load});
                    call.callbacks->on_headers(200, head);
                    send_events(call, 1, milliseconds(slow ? 5 : 2));
                }
            });
        };
    }
    void send_events(ScriptedCall &call, uint64_t next, Duration gap) {
        constexpr uint64_t kEvents = 20;
        if (!call.open()) {
            return;
        }
        if (next > kEvents) {
            call.end();
            return;
        }
        call.event(next);
        call_after(cluster.loop, gap,
                   [this, &call, next, gap] { send_events(call, next + 1, gap); });
    }
    void send_requests(int count) {
        for (int number = 0; number < count; ++number) {
            cluster.request("/stream/x", "r" + std::to_string(++requests_));
            // Often enough that the node needs both workers.
            cluster.clock.run_for(milliseconds(12));
        }
        cluster.clock.run_for(milliseconds(500));
    }
    double ratio_at(const std::string &node) {
        WorkerSet &workers = cluster.node(node).workers();
        return workers.find("i-1")->speed.speed() / workers.find("i-0")->speed.speed();
    }

    ServingCluster cluster{3};

private:
    int requests_ = 0;
};

TEST_F(LearnedSpeed, IsKnownToTheNodeAndToItsPeers) {
    answer("1,0,4,100");
    send_requests(80);
    EXPECT_NEAR(ratio_at("n0"), 2.5, 0.4);
    EXPECT_NEAR(ratio_at("n1"), 2.5, 0.4);
    EXPECT_NEAR(ratio_at("n2"), 2.5, 0.4);
}

TEST_F(LearnedSpeed, IsOneWithoutTheFourthFigure) {
    answer("1,0,4");
    send_requests(40);
    EXPECT_EQ(ratio_at("n0"), 1.0);
    EXPECT_EQ(ratio_at("n1"), 1.0);
}

TEST_F(LearnedSpeed, SurvivesLostDatagrams) {
    cluster.hub.lose_every = 3;
    answer("1,0,4,100");
    send_requests(100);
    EXPECT_NEAR(ratio_at("n1"), 2.5, 0.5);
}

// A worker that crashes and is back under its name may run on another machine.
TEST_F(LearnedSpeed, IsForgottenWhenAWorkerRestarts) {
    answer("1,0,4,100");
    send_requests(80);
    ASSERT_GT(ratio_at("n1"), 2.0);
    for (const char *name : {"i-0", "i-1"}) {
        const nlohmann::json worker = {
            {"service", "engines"}, {"address", "10.1.0.0:80"}, {"zone", "zone-a"}, {"slots", 4},
            {"version", "1"},       {"state", "ready"},         {"born", 5000}};
        cluster.put("servers", name, worker.dump());
    }
    cluster.clock.run_for(seconds(2));
    EXPECT_EQ(ratio_at("n0"), 1.0);
    EXPECT_EQ(ratio_at("n1"), 1.0);
}

} // namespace
} // namespace chalkshed
