#include "tests/serving/taken_up_stream_fixture.h"

namespace chalkshed {
namespace {

TEST_F(TakenUpStreamTest, GoesOnAtTheVersionThatBeganItAfterItsNodeWasKilled) {
  constexpr int kStreams = 3;
  release("2");
  std::vector<std::string> older;
  older.reserve(kStreams);
  for (int number = 0; number < kStreams; ++number) {
    older.push_back(begin_at("old"));
  }
  cluster.kill_node("n0");
  for (const std::string& first : older) {
    EXPECT_TRUE(goes_on_at("old", first, "n1"));
  }
  for (int number = 0; number < kStreams; ++number) {
    EXPECT_TRUE(goes_on_at("v2", begin_at("v2", "n1"), "n2"));
  }
}

TEST_F(TakenUpStreamTest, GoesOnAtItsVersionIfTheReleaseCameAfterItsFirstEvent) {
  const std::string first = begin_at("old");
  release("2");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

TEST_F(TakenUpStreamTest, GoesOnWithOneVersionThoughNothingWasSentAboutIt) {
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

TEST_F(TakenUpStreamTest, GoesOnAtTheFirstVersionAfterARollback) {
  release("2");
  const std::string first = begin_at("v2");
  for (int number = 0; number < 3; ++number) {
    remove("v2-" + std::to_string(number));
  }
  settle();
  cluster.kill_node("n0");
  EXPECT_TRUE(refused(first, "n1")) << "version 1 alone serves again, and did not begin the stream";
}

TEST_F(TakenUpStreamTest, OfThreeVersionsGoesOnAtItsOwn) {
  release("2");
  release("3");
  const std::string first = begin_at("old");
  const std::string second = begin_at("v2");
  const std::string third = begin_at("v3");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
  EXPECT_TRUE(goes_on_at("v2", second, "n2"));
  EXPECT_TRUE(goes_on_at("v3", third, "n3"));
}

// The second attempt may be named as well: the origin is that of the first.
TEST_F(TakenUpStreamTest, TakenUpTwiceAtTwoNodesGoesOnAtTheVersionThatBeganIt) {
  release("2");
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  ASSERT_TRUE(goes_on_at("old", first, "n1"));
  const std::string second = last().header(platform::kRequestId);
  cluster.kill_node("n1");
  EXPECT_TRUE(goes_on_at("old", second, "n2"));
  EXPECT_TRUE(goes_on_at("old", first, "n3"));
}

TEST_F(TakenUpStreamTest, IsRefusedAtOnceIfNoWorkerOfItsVersionIsLeft) {
  release("2");
  const std::string first = begin_at("old");
  remove("old-0");
  write("old-1", 1, "1", "draining");
  settle();
  EXPECT_TRUE(refused(first, "n1"));
}

TEST_F(TakenUpStreamTest, OfUnknownOriginIsRefusedWhileSeveralVersionsServe) {
  release("2");
  EXPECT_TRUE(refused("never-seen", "n1"));
  EXPECT_TRUE(refused("", "n1"));
}

TEST_F(TakenUpStreamTest, OfUnknownOriginIsRefusedAfterAllNodesWereKilled) {
  release("2");
  const std::string first = begin_at("old");
  for (const char* name : {"n0", "n1", "n2", "n3"}) {
    cluster.kill_node(name);
  }
  for (const char* name : {"n0", "n1", "n2", "n3"}) {
    cluster.start_node(name);
  }
  settle();
  EXPECT_TRUE(refused(first, "n1"));
}

TEST_F(TakenUpStreamTest, GoesOnAtANodeThatHasJustStarted) {
  release("2");
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  cluster.start_node("n0");
  settle();
  EXPECT_TRUE(goes_on_at("old", first, "n0"));
}

TEST_F(TakenUpStreamTest, GoesOnAtANodeThatHasJustStartedWhileOneVersionServes) {
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  cluster.start_node("n0");
  settle();
  EXPECT_TRUE(goes_on_at("old", first, "n0"));
}

// Its peers may have begun streams at a version that it does not know of.
TEST_F(TakenUpStreamTest, IsRefusedAtANodeThatIsCutOffWithAnOldView) {
  const Address cut = cluster.nodes.at("n1")->address;
  cluster.hub.cut.insert(cut);
  cluster.nodes.at("n1")->store.set_cut(true);
  release("2");
  cluster.clock.run_for(seconds(5));
  const std::string first = begin_at("v2");
  EXPECT_TRUE(refused(first, "n1"));
}

TEST_F(TakenUpStreamTest, GoesOnWhileTheNodeThatBeganItIsFrozen) {
  release("2");
  const std::string first = begin_at("old");
  cluster.nodes.at("n0")->dispatcher.freeze();
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

TEST_F(TakenUpStreamTest, GoesOnThoughDatagramsAreLost) {
  release("2");
  cluster.hub.lose_every = 5;
  const std::string first = begin_at("old");
  cluster.kill_node("n0");
  EXPECT_TRUE(goes_on_at("old", first, "n1"));
}

TEST_F(TakenUpStreamTest, OfAnotherRouteIsNotGoneOnWith) {
  release("2");
  const std::string first = begin_at("old");
  const size_t before = sends();
  answer = cluster.take_up("/fixed/x", "again", first, "n0");
  cluster.clock.run_for(milliseconds(200));
  EXPECT_EQ(sends(), before);
  EXPECT_EQ(answer->status, 503);
}

TEST_F(TakenUpStreamTest, ThatNamesItselfIsRejected) {
  answer = cluster.take_up("/stream/x", "self", "self", "n0");
  EXPECT_EQ(answer->status, 400);
}

// A version of the same name at another service is other software.
TEST_F(TakenUpStreamTest, GoesOnAtNoOtherServiceWithTheSameVersionName) {
  cluster.write_configuration(2, [](nlohmann::json& configuration) {
    configuration["services"].push_back({{"name", "others"}, {"max_conns", 100}});
  });
  nlohmann::json other = {{"service", "others"}, {"address", "10.1.0.90:80"}, {"zone", "zone-a"},
                          {"slots", 4},          {"state", "ready"},          {"version", "1"}};
  cluster.put("servers", "other-0", other.dump());
  release("2");
  const std::string first = begin_at("old");
  cluster.write_configuration(3, [](nlohmann::json& configuration) {
    configuration["services"].push_back({{"name", "others"}, {"max_conns", 100}});
    for (nlohmann::json& route : configuration["routes"]) {
      route["service"] = "others";
    }
  });
  settle();
  EXPECT_TRUE(refused(first, "n1"));
}

}  // namespace
}  // namespace chalkshed
