// Requests of a node with shared admission: refused or delayed without need, queued at a worker
// where their rank is lost, or refused after something was sent.
#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

ServingNodeKnobs shared_knobs() {
  ServingNodeKnobs knobs;
  knobs.shared_admission = true;
  return knobs;
}

class SharedAdmissionRelayTest : public testing::Test {
 protected:
  using Answers = std::vector<std::pair<std::string, SeenAnswerPtr>>;
  // Two workers with four slots each.
  ServingCluster cluster{1, 2, shared_knobs()};

  size_t sends() const { return cluster.workers.calls.size(); }
  void fill_all_slots() {
    for (int index = 0; index < 8; ++index) {
      cluster.request("/stream/x", "fill" + std::to_string(index));
    }
    ASSERT_EQ(sends(), 8U);
  }
  ScriptedCall& call(const std::string& id) {
    for (ScriptedCall& each : cluster.workers.calls) {
      if (each.header(platform::kRequestId) == id) {
        return each;
      }
    }
    ADD_FAILURE() << id << " was not sent";
    return cluster.workers.calls.back();
  }
  bool sent(const std::string& id) const {
    return std::any_of(
        cluster.workers.calls.begin(), cluster.workers.calls.end(),
        [&id](const ScriptedCall& each) { return each.header(platform::kRequestId) == id; });
  }
  void finish(const std::string& id) {
    call(id).begin();
    call(id).end();
    cluster.clock.run_for(milliseconds(5));
  }
  // Requests at that rate, each of which is to be answered after 300 ms: eight slots end 27 of them
  // per second.
  Answers drive(double per_second, Duration duration) {
    Answers seen;
    const auto step =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / per_second));
    const MonotonicTime end = cluster.clock.monotonic_now() + duration;
    while (cluster.clock.monotonic_now() < end) {
      const std::string id = "d" + std::to_string(++driven_);
      seen.emplace_back(id, cluster.request("/stream/x", id));
      cluster.clock.run_for(step);
    }
    return seen;
  }

 private:
  int driven_ = 0;
};

TEST_F(SharedAdmissionRelayTest, WithFreeSlotsRequestsAreSentAtOnce) {
  for (int index = 0; index < 8; ++index) {
    const std::string id = "r" + std::to_string(index);
    cluster.request("/stream/x", id);
    EXPECT_TRUE(sent(id));
  }
}

TEST_F(SharedAdmissionRelayTest, OnlyOneRequestIsQueuedAtAFullWorker) {
  fill_all_slots();
  for (int index = 0; index < 4; ++index) {
    cluster.request("/stream/x", "w" + std::to_string(index));
  }
  EXPECT_EQ(sends(), 8U);
  cluster.clock.run_for(milliseconds(235));
  EXPECT_TRUE(sent("w0") && sent("w1"));
  EXPECT_FALSE(sent("w2") || sent("w3"));
  cluster.clock.run_for(milliseconds(500));
  EXPECT_EQ(sends(), 10U) << "the others keep their rank at the node";
  // A worker with a queue becomes a worker without one, and then one with a free slot.
  for (int index = 0; index < 8; ++index) {
    finish("fill" + std::to_string(index));
  }
  cluster.clock.run_for(milliseconds(300));
  EXPECT_TRUE(sent("w2") && sent("w3"));
}

TEST_F(SharedAdmissionRelayTest, TheHighestRankGoesFirst) {
  cluster.write_configuration(2, [](nlohmann::json& configuration) {
    configuration["routes"][0]["priority"] = 2;  // stream
    configuration["routes"][2]["priority"] = 0;  // plain
  });
  cluster.clock.run_for(milliseconds(2000));
  fill_all_slots();
  cluster.request("/stream/x", "low");
  cluster.clock.run_for(milliseconds(10));
  cluster.request("/plain/x", "high");
  cluster.clock.run_for(milliseconds(100));
  EXPECT_EQ(sends(), 8U);
  finish("fill0");
  EXPECT_TRUE(sent("high"));
  EXPECT_FALSE(sent("low"));
  finish("fill1");
  EXPECT_TRUE(sent("low"));
}

TEST_F(SharedAdmissionRelayTest, ARequestThatIsLateGoesAfterOneThatIsNot) {
  fill_all_slots();
  for (int index = 0; index < 3; ++index) {
    cluster.request("/stream/x", "old" + std::to_string(index));
  }
  cluster.clock.run_for(milliseconds(400));
  ASSERT_FALSE(sent("old2"));
  cluster.request("/stream/x", "new");
  finish("fill0");
  finish("fill1");
  finish("fill2");
  EXPECT_TRUE(sent("new"));
}

TEST_F(SharedAdmissionRelayTest, WithoutAnyWorkerRequestsAreRefusedWithinTheTarget) {
  ServingCluster without(1, 0, shared_knobs());
  const SeenAnswerPtr seen = without.request("/stream/x");
  without.clock.run_for(milliseconds(250));
  EXPECT_EQ(seen->status, 503);
}

TEST_F(SharedAdmissionRelayTest, ARequestThatAllWorkersRefusedIsRefusedAtOnce) {
  const SeenAnswerPtr seen = cluster.request("/once/x");
  cluster.workers.calls.back().refuse();
  ASSERT_EQ(sends(), 2U);
  cluster.workers.calls.back().refuse();
  cluster.clock.run_for(milliseconds(5));
  EXPECT_EQ(seen->status, 503);
}

TEST_F(SharedAdmissionRelayTest, AnOverloadedServiceAnswersTheRestWithNotRunAndNothingIsSent) {
  cluster.answer_all(1, milliseconds(150));
  const Answers before = drive(15, seconds(2));
  const Answers during = drive(60, seconds(4));
  cluster.clock.run_for(seconds(9));
  for (const auto& [id, seen] : before) {
    EXPECT_EQ(seen->status, 200) << id;
  }
  size_t refused = 0;
  for (const auto& [id, seen] : during) {
    if (seen->status != 503) {
      EXPECT_EQ(seen->status, 200) << id;
      continue;
    }
    ++refused;
    EXPECT_FALSE(seen->header("Retry-After").empty()) << id;
    EXPECT_FALSE(sent(id)) << id;
  }
  // 240 requests, of which 107 can be served.
  EXPECT_GE(refused, 100U);
  EXPECT_LE(refused, 150U);
}

TEST_F(SharedAdmissionRelayTest, AfterTheOverloadEverythingIsAdmittedAgain) {
  cluster.answer_all(1, milliseconds(150));
  drive(15, seconds(2));
  drive(60, seconds(3));
  cluster.clock.run_for(seconds(2));
  const Answers after = drive(20, seconds(3));
  cluster.clock.run_for(seconds(2));
  for (const auto& [id, seen] : after) {
    EXPECT_EQ(seen->status, 200) << id;
  }
}

// While slots are free, shared admission must not add any traffic.
TEST(SharedAdmissionTrafficTest, NothingIsSentToPeersWhileSlotsAreFree) {
  std::map<bool, int> datagrams;
  for (const bool shared : {false, true}) {
    ServingNodeKnobs knobs;
    knobs.shared_admission = shared;
    ServingCluster cluster(3, 2, knobs);
    cluster.answer_all(1, milliseconds(50));
    for (int index = 0; index < 50; ++index) {
      cluster.request("/stream/x", "r" + std::to_string(index));
      cluster.clock.run_for(milliseconds(40));
    }
    for (const auto& [pair, count] : cluster.hub.sent) {
      datagrams[shared] += count;
    }
  }
  EXPECT_EQ(datagrams[true], datagrams[false]);
}

}  // namespace
}  // namespace chalkshed
