// Streams that are taken up at a node whose view of workers and routes is old.
#include "tests/serving/taken_up_stream_fixture.h"

namespace chalkshed {
namespace {

class OutOfStepNode : public TakenUpStreamTest {
 protected:
  void cut(const std::string& name) {
    cluster.hub.cut.insert(cluster.nodes.at(name)->address);
    cluster.nodes.at(name)->store.set_cut(true);
  }
  // @return whether no worker got the stream, and its caller was told so.
  bool held_back(const std::string& first, const std::string& node) {
    const std::string id = "again-" + std::to_string(++streams);
    answer = cluster.take_up("/stream/x", id, first, node);
    cluster.clock.run_for(seconds(2));
    const bool sent = std::any_of(
        cluster.workers.calls.begin(), cluster.workers.calls.end(),
        [&](const ScriptedCall& call) { return call.header(platform::kRequestId) == id; });
    return !sent && answer->status == 503 && !answer->header("Retry-After").empty();
  }
  void move_routes(uint64_t version, const nlohmann::json& services) {
    cluster.write_configuration(version, [&](nlohmann::json& configuration) {
      configuration["services"].push_back({{"name", "others"}, {"max_conns", 100}});
      for (nlohmann::json& route : configuration["routes"]) {
        route.erase("service");
        route.update(services);
      }
    });
    settle();
  }
  void write_other(const std::string& id, size_t number, const std::string& version) {
    const nlohmann::json worker = {
        {"service", "others"}, {"address", "10.2.0." + std::to_string(number) + ":80"},
        {"zone", "zone-a"},    {"slots", 4},
        {"state", "ready"},    {"version", version}};
    cluster.put("servers", id, worker.dump());
  }
};

// Guards against: a node that was cut off while a version joined took the older one for the origin.
class CutOffFor : public OutOfStepNode, public testing::WithParamInterface<int> {};

TEST_P(CutOffFor, NoStreamGoesOnAtAnotherVersion) {
  cut("n1");
  release("2");
  const std::string first = begin_at("v2");
  cluster.clock.run_for(milliseconds(GetParam()));
  EXPECT_TRUE(held_back(first, "n1"));
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, CutOffFor,
                         testing::Values(0, 300, 1500, 2000, 2800, 3500, 6500, 9000));

// Guards against: the only version of a service to which a route had moved was taken for the
// origin.
TEST_F(OutOfStepNode, NoStreamGoesOnAtAnotherServiceAfterItsRouteMoved) {
  write_other("other-0", 0, "2");
  cluster.write_configuration(2, [](nlohmann::json& configuration) {
    configuration["services"].push_back({{"name", "others"}, {"max_conns", 100}});
  });
  run_until_covered();
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  move_routes(3, {{"service", "others"}});
  EXPECT_TRUE(held_back(first, "n1"));
}

// Guards against: a node that had never seen the earlier route took the only version for the
// origin.
TEST_F(OutOfStepNode, NoStreamGoesOnAtAnotherServiceAtANodeThatStartedAfterTheMove) {
  write_other("other-0", 0, "2");
  run_until_covered();
  const std::string first = begin_at("old");
  move_routes(2, {{"service", "others"}});
  for (const char* name : {"n0", "n1", "n2"}) {
    cluster.kill_node(name);
  }
  cluster.start_node("n4");
  settle();
  EXPECT_TRUE(held_back(first, "n4"));
}

// Guards against: of a route that leads to two services, the version of one was taken for the
// origin.
TEST_F(OutOfStepNode, OfASplitRouteAStreamGoesOnAtTheServiceThatBeganIt) {
  write_other("other-0", 0, "1");
  const auto part = [](const char* service) { return nlohmann::json{{"service", service}}; };
  move_routes(2, {{"split", {part("engines"), part("others")}}});
  run_until_covered();
  const std::string at_engines = begin_at("old");
  const std::string at_others = begin_at("other");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", at_engines, "n1"));
  EXPECT_TRUE(goes_on_at("other", at_others, "n2"));
}

// Guards against: a route that led elsewhere while the node was cut off, and leads back now.
TEST_F(OutOfStepNode, NoStreamGoesOnAfterItsRouteMovedAndCameBackUnseen) {
  write_other("other-0", 0, "2");
  run_until_covered();
  cut("n1");
  move_routes(2, {{"service", "others"}});
  const std::string first = begin_at("other");
  move_routes(3, {{"service", "engines"}});
  cluster.nodes.at("n1")->store.set_cut(false);
  EXPECT_TRUE(held_back(first, "n1"));
}

// Guards against: a version that joined and left while the node was cut off.
TEST_F(OutOfStepNode, NoStreamGoesOnAfterAVersionCameAndWentUnseen) {
  cut("n1");
  release("2");
  const std::string first = begin_at("v2");
  for (int number = 0; number < 3; ++number) {
    remove("v2-" + std::to_string(number));
  }
  settle();
  cluster.nodes.at("n1")->store.set_cut(false);
  EXPECT_TRUE(held_back(first, "n1"));
}

// Guards against: a node that had been cut off for longer than others remember began a stream.
TEST_F(OutOfStepNode, NoStreamBeginsAtANodeThatWasCutOffForMinutes) {
  cut("n1");
  cluster.clock.run_for(stream_origins::kBeginLease - seconds(10));
  const SeenAnswerPtr before = cluster.request("/stream/x", "before", "n1");
  EXPECT_EQ(before->status, 0) << "it is sent to a worker";
  cluster.clock.run_for(seconds(20));
  const SeenAnswerPtr after = cluster.request("/stream/x", "after", "n1");
  EXPECT_EQ(after->status, 503);
  EXPECT_EQ(cluster.request("/plain/x", "plain", "n1")->status, 0);
  cluster.hub.cut.clear();
  cluster.nodes.at("n1")->store.set_cut(false);
  cluster.clock.run_for(seconds(5));
  EXPECT_EQ(cluster.request("/stream/x", "again", "n1")->status, 0);
}

TEST_F(OutOfStepNode, StreamsBeginWhileTheStoreIsAwayForAllForMinutes) {
  cluster.shared.trouble.down = true;
  cluster.clock.run_for(2 * stream_origins::kBeginLease);
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

// Guards against: a node refused a stream whose workers it could have learned of.
TEST_F(OutOfStepNode, AStreamGoesOnOnceItsWorkersAreKnown) {
  cluster.nodes.at("n1")->store.set_cut(true);
  release("2");
  const std::string first = begin_at("v2");
  cluster.nodes.at("n1")->store.set_cut(false);
  EXPECT_TRUE(goes_on_at("v2", first, "n1"));
}

TEST_F(OutOfStepNode, AStreamGoesOnAtANodeThatTheStoreAnswersSlowly) {
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  cluster.nodes.at("n1")->store.set_delay(milliseconds(150));
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

// While the store is away for all, copies at peers tell the origin, whenever the stream began.
TEST_F(OutOfStepNode, StreamsGoOnWhileTheStoreIsAwayThoughTheirNodeWasKilled) {
  const std::string before = begin_at("old");
  cluster.shared.trouble.down = true;
  cluster.clock.run_for(seconds(2));
  const std::string after = begin_at("old");
  cluster.clock.run_for(milliseconds(5));
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", before, "n1"));
  EXPECT_TRUE(goes_on_at("old", after, "n2"));
}

}  // namespace
}  // namespace chalkshed
