// No node sends anything new, on any path, to workers of a zone that the operator has evacuated,
// until the zone is readmitted.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class EvacuationTest : public testing::Test {
protected:
    static constexpr size_t kWorkersOfZone = 2;

    EvacuationTest() {
        for (const std::string zone : {"zone-a", "zone-b"}) {
            for (size_t index = 0; index < kWorkersOfZone; ++index) {
                list_worker(zone, index);
            }
        }
        cluster.clock.run_for(milliseconds(50));
    }

    /** Worker addresses are 10.2.ZONE.INDEX. */
    void list_worker(const std::string &zone, size_t index, double cold_left_ms = 0) {
        const std::string address = "10.2." + zone.substr(5) + "." + std::to_string(index) + ":80";
        const nlohmann::json worker = {
            {"service", "engines"},         {"address", address}, {"zone", zone},  {"slots", 2},
            {"cold_left_ms", cold_left_ms}, {"state", "ready"},   {"version", "1"}};
        cluster.put("servers", "i-" + zone + "-" + std::to_string(index), worker.dump());
    }
    void evacuate(const std::string &zone, const std::string &value = "{}") {
        cluster.put("op", "evacuate/" + zone, value);
        cluster.clock.run_for(milliseconds(50));
    }
    void readmit(const std::string &zone) {
        cluster.put("op", "evacuate/" + zone, std::nullopt);
        cluster.clock.run_for(milliseconds(50));
    }
    size_t calls_to(const std::string &zone) const {
        const std::string prefix = "10.2." + zone.substr(5) + ".";
        return static_cast<size_t>(std::count_if(
            cluster.workers.calls.begin(), cluster.workers.calls.end(),
            [&](const ScriptedCall &call) { return call.worker.ip.starts_with(prefix); }));
    }
    /** Sends requests to n0 and runs the clock until each has been sent or has failed. */
    void send_requests(size_t count) {
        for (size_t index = 0; index < count; ++index) {
            seen.push_back(cluster.request("/plain/x", "r" + std::to_string(++requests)));
        }
        cluster.clock.run_for(milliseconds(400));
    }

    ServingCluster cluster{3, 0};
    std::vector<SeenAnswerPtr> seen;
    size_t requests = 0;
};

TEST_F(EvacuationTest, NothingIsSentThereEvenIfAllOtherWorkersAreFull) {
    evacuate("zone-a");
    send_requests(12);
    EXPECT_EQ(calls_to("zone-a"), 0U);
    EXPECT_EQ(calls_to("zone-b"), 12U);
}

TEST_F(EvacuationTest, ARequestThatFailsElsewhereIsNotRetriedThere) {
    evacuate("zone-a");
    send_requests(1);
    cluster.workers.calls.back().fail(Ran::kUnknown);
    cluster.clock.run_for(seconds(3));
    EXPECT_EQ(calls_to("zone-a"), 0U);
    EXPECT_EQ(calls_to("zone-b"), 2U);
}

TEST_F(EvacuationTest, ItemsOfJobsRunElsewhere) {
    evacuate("zone-b");
    cluster.answer_all(2, milliseconds(20));
    cluster.node().jobs().submit(cluster.job("j1", 12), [](const Expected<std::monostate> &) {});
    cluster.clock.run_for(seconds(10));
    EXPECT_EQ(calls_to("zone-b"), 0U);
    EXPECT_EQ(calls_to("zone-a"), 12U);
}

TEST_F(EvacuationTest, WorkersThatAreListedLaterAreEvacuatedToo) {
    evacuate("zone-c");
    list_worker("zone-c", 0);
    cluster.clock.run_for(milliseconds(50));
    send_requests(20);
    EXPECT_EQ(calls_to("zone-c"), 0U);
}

TEST_F(EvacuationTest, TheZoneServesAgainOnceReadmitted) {
    evacuate("zone-a");
    readmit("zone-a");
    send_requests(8);
    EXPECT_EQ(calls_to("zone-a"), 4U);
}

TEST_F(EvacuationTest, RequestsAreRefusedAtOnceWhileAllZonesAreEvacuated) {
    evacuate("zone-a");
    evacuate("zone-b");
    seen.push_back(cluster.request("/plain/x"));
    cluster.clock.run_for(milliseconds(1));
    EXPECT_EQ(seen.back()->status, 503);
    EXPECT_TRUE(find_header(seen.back()->headers, "Retry-After"));
    EXPECT_TRUE(cluster.workers.calls.empty());
    readmit("zone-b");
    send_requests(1);
    EXPECT_EQ(calls_to("zone-b"), 1U);
}

// When worker records disappear, as they do while the store is down, the last known workers keep
// serving; those of an evacuated zone must not.
TEST_F(EvacuationTest, AnEvacuatedZoneIsNotUsedAsAFallback) {
    evacuate("zone-a");
    cluster.shared.trouble.silent = true;
    cluster.clock.run_for(seconds(6));
    cluster.shared.trouble.silent = false;
    for (const char *worker : {"i-zone-a-0", "i-zone-a-1", "i-zone-b-0", "i-zone-b-1"}) {
        cluster.put("servers", worker, std::nullopt);
    }
    cluster.clock.run_for(milliseconds(500));
    send_requests(3);
    EXPECT_EQ(calls_to("zone-a"), 0U);
    EXPECT_EQ(calls_to("zone-b"), 3U);
}

TEST_F(EvacuationTest, ANodeWithoutTheStoreLearnsOfItFromItsPeers) {
    cluster.nodes.at("n0")->store.set_cut(true);
    cluster.put("op", "evacuate/zone-a", "{}");
    cluster.clock.run_for(seconds(2));
    send_requests(8);
    EXPECT_EQ(calls_to("zone-a"), 0U);
    cluster.put("op", "evacuate/zone-a", std::nullopt);
    cluster.clock.run_for(seconds(2));
    send_requests(8);
    EXPECT_GT(calls_to("zone-a"), 0U);
}

TEST_F(EvacuationTest, ItSurvivesARestartAndALostHistory) {
    evacuate("zone-a");
    cluster.kill_node("n0");
    cluster.start_node("n0");
    cluster.clock.run_for(milliseconds(500));
    send_requests(8);
    EXPECT_EQ(calls_to("zone-a"), 0U);
    // The removal is no longer in the history; the listing shows that the row is gone.
    cluster.shared.trouble.hold_changes = true;
    cluster.put("op", "evacuate/zone-a", std::nullopt);
    cluster.shared.rows.drop_history();
    cluster.shared.trouble.hold_changes = false;
    cluster.clock.run_for(seconds(4));
    send_requests(8);
    EXPECT_GT(calls_to("zone-a"), 0U);
}

TEST_F(EvacuationTest, AMalformedRowIsIgnored) {
    evacuate("zone-a", "not JSON");
    send_requests(8);
    EXPECT_EQ(calls_to("zone-a"), 4U);
    evacuate("zone-b");
    evacuate("zone-b", "[1]");
    const size_t before = calls_to("zone-b");
    send_requests(8);
    EXPECT_EQ(calls_to("zone-b"), before);
}

TEST_F(EvacuationTest, AnUnknownZoneIsNotAnError) {
    evacuate("nowhere");
    readmit("nowhere");
    send_requests(8);
    EXPECT_EQ(cluster.workers.calls.size(), 8U);
}

// The workers may have become cold, and their updated records may arrive only after the
// readmission.
TEST_F(EvacuationTest, AReadmittedZoneIsWarmedUpSlowlyWhereWorkersStartCold) {
    cluster.write_configuration(2, [](nlohmann::json &configuration) {
        configuration["services"][0]["cold_per_s"] = 5.0;
        configuration["services"][0]["cold_s"] = 3.0;
    });
    evacuate("zone-a");
    readmit("zone-a");
    send_requests(8);
    EXPECT_EQ(calls_to("zone-a"), 0U);
    cluster.clock.run_for(seconds(3));
    send_requests(8);
    EXPECT_GE(calls_to("zone-a"), 4U);
}

/** Three seconds after the last step, no connected node sends to an evacuated zone, whatever other
 * failures occur. */
RC_GTEST_PROP(EvacuationProperty, AppliesAtEveryConnectedNode, ()) {
    ServingCluster cluster{4, 0};
    for (const std::string zone : {"a", "b", "c"}) {
        const nlohmann::json worker = {
            {"service", "engines"}, {"address", "10.2.0." + zone + ":80"},
            {"zone", zone},         {"slots", 100},
            {"version", "1"},       {"state", "ready"}};
        cluster.put("servers", "i-" + zone, worker.dump());
    }
    cluster.clock.run_for(milliseconds(50));
    std::map<std::string, bool> evacuated;
    const size_t steps = *rc::gen::inRange<size_t>(3, 9);
    size_t requests = 0;
    for (size_t step = 0; step < steps; ++step) {
        const std::string zone(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        const std::string node = "n" + std::to_string(*rc::gen::inRange(0, 4));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
            evacuated[zone] = !evacuated[zone];
            cluster.put("op", "evacuate/" + zone,
                        evacuated[zone] ? std::optional<std::string>("{}") : std::nullopt);
            break;
        case 2:
            cluster.kill_node(node);
            cluster.start_node(node);
            break;
        case 3:
            // At most one node is cut off, so that its peers know what it misses.
            for (auto &[name, entry] : cluster.nodes) {
                entry->store.set_cut(name == node);
            }
            break;
        case 4:
            cluster.shared.rows.drop_history();
            break;
        }
        cluster.clock.run_for(milliseconds(*rc::gen::inRange(0, 300)));
    }
    cluster.clock.run_for(seconds(3));
    for (auto &[name, entry] : cluster.nodes) {
        const RouteTablePtr table = entry->node.routes();
        if (!table || entry->node.not_ready_reason() != nullptr) {
            continue; // it started without access to the store and accepts no callers
        }
        cluster.workers.calls.clear();
        for (int index = 0; index < 6; ++index) {
            HttpRequest message;
            message.method = "POST";
            message.path = "/plain/x";
            message.headers = {{platform::kRequestId, "p" + std::to_string(++requests)},
                               {platform::kDeadline, "8000"}};
            entry->node.gateway().handle(
                table, *table->find("a.example", "/plain/x"),
                platform::read_request("a.example", std::move(message)),
                std::make_unique<FakeWriter>(std::make_shared<SeenAnswer>()));
        }
        for (const ScriptedCall &call : cluster.workers.calls) {
            RC_ASSERT(!evacuated[call.worker.ip.substr(call.worker.ip.rfind('.') + 1)]);
        }
    }
}

} // namespace
} // namespace chalkshed
