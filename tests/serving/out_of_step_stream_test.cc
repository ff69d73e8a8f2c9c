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
