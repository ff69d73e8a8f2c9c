#include "chalkshed/origin_exchange.h"

#include <gtest/gtest.h>

#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

relay_candidate node(const std::string& name, const std::string& zone) {
  return {name, name + "#1", zone, {name, 1}, 1.0, true, false, false};
}

std::vector<relay_candidate> nodes_in(size_t zones, size_t each) {
  std::vector<relay_candidate> nodes;
  for (size_t zone = 0; zone < zones; ++zone) {
    for (size_t number = 0; number < each; ++number) {
      nodes.push_back(
          node("n" + std::to_string(zone) + "-" + std::to_string(number), std::to_string(zone)));
    }
  }
  return nodes;
}

TEST(OriginHolders, AreInDifferentZones) {
  const std::vector<relay_candidate> nodes = nodes_in(3, 20);
  for (uint64_t key = 0; key < 100; ++key) {
    std::set<std::string> zones;
    for (const relay_candidate* holder : origin_holders(stream_key{key}, nodes, 3)) {
      zones.insert(holder->zone);
    }
    EXPECT_EQ(zones.size(), 3U);
  }
}

TEST(OriginHolders, OneNodeMoreOrLessMovesFewOfThem) {
  const std::vector<relay_candidate> nodes = nodes_in(3, 20);
  std::vector<relay_candidate> fewer = nodes;
  fewer.pop_back();
  constexpr uint64_t kStreams = 1000;
  size_t moved = 0;
  for (uint64_t key = 0; key < kStreams; ++key) {
    const auto before = origin_holders(stream_key{key}, nodes, 3);
    const auto after = origin_holders(stream_key{key}, fewer, 3);
    for (size_t place = 0; place < before.size(); ++place) {
      moved += before[place]->node == after[place]->node ? 0 : 1;
    }
  }
  EXPECT_LT(moved, kStreams / 5);
}

// Records what is sent, in place of a network.
class SentDatagrams : public DatagramTransport {
 public:
  void send(const Address& to, std::string_view datagram) override {
    sent.emplace_back(to, std::string(datagram));
  }
  void set_receiver(Receiver) override {}
  std::vector<std::pair<Address, std::string>> sent;
};

class OriginExchangeTest : public testing::Test {
 protected:
  OriginExchangeTest() { exchange.set_peers(nodes_in(3, 10)); }
  void ask() {
    origin_question question;
    question.stream = stream_key{5};
    exchange.ask(question, [this](const peer_evidence& found) {
      ++done;
      evidence = found.answers;
    });
  }
  void answer(size_t question, const origin_evidence& found) {
    const auto asked = decode_origin_message(datagrams.sent[question].second)->question;
    origin_message reply;
    reply.answer = {asked->number, asked->asked, found};
    exchange.receive(encode_origin_message(reply));
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SentDatagrams datagrams;
  origin_exchange exchange{clock, dispatcher, datagrams, node("own", "0")};
  int done = 0;
  std::vector<origin_evidence> evidence;
};

TEST_F(OriginExchangeTest, EndsAtTheFirstRecord) {
  ask();
  ASSERT_EQ(datagrams.sent.size(), 8U);
  answer(0, {});
  EXPECT_EQ(done, 0);
  answer(1, {software_id{9}, {}, true, route_span::kSole});
  EXPECT_EQ(done, 1);
  ASSERT_EQ(evidence.size(), 2U);
  answer(2, {software_id{9}, {}, true, route_span::kSole});
  clock.run_for(milliseconds(500));
  EXPECT_EQ(done, 1);
}

TEST_F(OriginExchangeTest, RepeatsALostQuestionAndGivesUpInTime) {
  ask();
  answer(0, {});
  clock.run_for(milliseconds(50));
  EXPECT_EQ(datagrams.sent.size(), 15U) << "the peer that has answered is not asked again";
  EXPECT_EQ(done, 0);
  clock.run_for(milliseconds(70));
  EXPECT_EQ(done, 1);
  EXPECT_EQ(evidence.size(), 1U);
}

// Guards against: a question was given up because its process, not its peers, had stood still.
TEST_F(OriginExchangeTest, AsksAgainAfterItsProcessStoodStill) {
  ask();
  dispatcher.freeze();
  clock.run_for(milliseconds(2000));
  dispatcher.thaw();
  clock.run_for(milliseconds(1));
  EXPECT_EQ(done, 0);
  answer(datagrams.sent.size() - 1, {software_id{9}, {}, true, route_span::kSole});
  EXPECT_EQ(done, 1);
}

TEST_F(OriginExchangeTest, GivesUpThoughItsProcessStandsStillAgainAndAgain) {
  ask();
  for (int stop = 0; stop < 6; ++stop) {
    dispatcher.freeze();
    clock.run_for(milliseconds(2000));
    dispatcher.thaw();
    clock.run_for(milliseconds(1));
  }
  EXPECT_EQ(done, 1);
}

TEST_F(OriginExchangeTest, ARepeatedAnswerCountsOnce) {
  ask();
  for (int count = 0; count < 8; ++count) {
    answer(0, {});
  }
  EXPECT_EQ(done, 0);
}

TEST_F(OriginExchangeTest, WithoutPeersEndsAtOnce) {
  exchange.set_peers({});
  ask();
  EXPECT_EQ(done, 1);
}

TEST_F(OriginExchangeTest, PlacesCopiesAtAsManyPeersAsItSays) {
  exchange.place({{stream_key{1}, software_id{9}}});
  EXPECT_EQ(datagrams.sent.size(), origin_exchange_knobs{}.copies);
}

// With few streams each has all its copies; with many each has two, whatever the limit says.
TEST_F(OriginExchangeTest, CopiesTakeNoMoreBytesThanTheirLimitButTwoOfEachStreamAreSent) {
  const auto bytes_per_second = [this](uint64_t streams_per_second) {
    constexpr uint64_t kSeconds = 60;
    datagrams.sent.clear();
    for (uint64_t number = 0; number < kSeconds * streams_per_second; ++number) {
      exchange.place({{stream_key{number}, software_id{9}}});
      clock.run_for(std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) /
                    static_cast<int64_t>(streams_per_second));
    }
    size_t bytes = 0;
    for (const auto& [to, datagram] : datagrams.sent) {
      bytes += datagram.size();
    }
    return bytes / kSeconds;
  };
  const origin_exchange_knobs knobs;
  EXPECT_EQ(bytes_per_second(5), 5 * knobs.copies * 48);
  EXPECT_LE(static_cast<double>(bytes_per_second(14)), 1.1 * knobs.bytes_per_second);
  EXPECT_LE(bytes_per_second(83), 83 * 48 * knobs.least_copies + 200);
}

TEST_F(OriginExchangeTest, ADatagramOfAnotherModuleIsNotTaken) {
  EXPECT_FALSE(exchange.receive("something else"));
  EXPECT_FALSE(exchange.receive(""));
}

}  // namespace
}  // namespace chalkshed
