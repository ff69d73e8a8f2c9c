#include "sim/simulated_network.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

class SimulatedNetworkTest : public testing::Test {
 protected:
  SimulatedNetworkTest() {
    network_.start_process(one_);
    network_.start_process(other_);
  }

  VirtualClock clock_;
  SeededRandomGenerator random_{1};
  SimulatedNetwork network_{clock_, random_};
  SimulatedHost& one_ = network_.add_host("one", "z", {"10.0.0.1", 1}, {"10.0.0.1", 2});
  SimulatedHost& other_ = network_.add_host("other", "z", {"10.0.0.2", 1}, {"10.0.0.2", 2});
};

TEST_F(SimulatedNetworkTest, OneWayCutsStopDatagramsOfThatDirectionOnly) {
  int received = 0;
  one_.receiver = [&](const Address&, std::string_view) { ++received; };
  other_.receiver = [&](const Address&, std::string_view) { received += 10; };
  network_.cut_one_way("one", "other");
  network_.send_datagram(one_, other_.peer_address, "x");
  network_.send_datagram(other_, one_.peer_address, "x");
  clock_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(received, 1);
  network_.heal_one_way("one", "other");
  network_.send_datagram(one_, other_.peer_address, "x");
  clock_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(received, 11);
}

TEST_F(SimulatedNetworkTest, ConnectionsCarryNothingAfterTheirFirstLoss) {
  const auto connection = network_.connect(one_, other_);
  std::string received;
  const auto send = [&](char letter) {
    connection->send(ConnectionSide::kClient, [&received, letter] { received += letter; });
  };
  send('a');
  network_.cut_one_way("other", "one");
  send('b');
  network_.heal_one_way("other", "one");
  send('c');
  clock_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(received, "a");
}

TEST_F(SimulatedNetworkTest, PeersAreNotifiedOfACrashButNotOfALostMachine) {
  for (const bool silently : {false, true}) {
    const auto connection = network_.connect(one_, other_);
    bool heard = false;
    connection->set_on_closed(ConnectionSide::kClient, [&](CloseReason) { heard = true; });
    network_.end_process(other_, CloseReason::kReset, silently);
    SimulatedNetwork::destroy_dispatcher(other_);
    clock_.run_for(std::chrono::seconds(1));
    EXPECT_EQ(heard, !silently);
    network_.start_process(other_);
  }
}

TEST_F(SimulatedNetworkTest, FrozenProcessesReceiveWhenTheyThaw) {
  int received = 0;
  other_.receiver = [&](const Address&, std::string_view) { ++received; };
  other_.dispatcher->freeze();
  network_.send_datagram(one_, other_.peer_address, "x");
  clock_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(received, 0);
  other_.dispatcher->thaw();
  clock_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(received, 1);
}

}  // namespace
}  // namespace chalkshed
