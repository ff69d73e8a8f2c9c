#include "src/membership/shared_machine_list.h"

#include <gtest/gtest.h>

#include "src/membership/machine_message.h"
#include "tests/membership/virtual_cluster.h"
#include "tests/membership/virtual_node.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kNodes = 12;
constexpr size_t kWorkers = 400;

Machine worker(size_t number, uint64_t incarnation) {
  Machine machine;
  machine.id = "worker-" + std::to_string(number);
  machine.role = MachineRole::kWorker;
  machine.service = "service";
  machine.address = {"10.1.0.1", static_cast<uint16_t>(1000 + number)};
  machine.zone = "zone";
  machine.region = "region";
  machine.incarnation = incarnation;
  return machine;
}

// Counts the reads of the platform's list.
class CountingList : public MachineList {
 public:
  CountingList(MachineList& inner, size_t& reads) : inner_(inner), reads_(reads) {}
  void fetch(Callback<MachineListSnapshot> callback) override {
    ++reads_;
    inner_.fetch(std::move(callback));
  }

 private:
  MachineList& inner_;
  size_t& reads_;
};

// A shared list on every node of a cluster. Each is fetched once a second, as routing does.
class SharedMachineListTest : public testing::Test {
 protected:
  SharedMachineListTest() : cluster_(1) {
    cluster_.add_nodes(kNodes);
    for (size_t number = 0; number < kWorkers; ++number) {
      cluster_.machines().push_back(worker(number, 1));
    }
  }

  void start() {
    ASSERT_TRUE(cluster_.form());
    for (size_t index = 0; index < kNodes; ++index) {
      readers_.push_back(std::make_unique<Reader>(cluster_.node(index), reads_));
    }
    cluster_.run_for(seconds(5));
  }

  size_t nodes_that_know(const Machine& machine) const {
    size_t count = 0;
    for (const auto& reader : readers_) {
      const auto found = reader->known.find(machine.id);
      const bool known = found != reader->known.end() &&
                         machine_version(found->second) == machine_version(machine);
      count += known ? 1 : 0;
    }
    return count;
  }

  struct Reader {
    Reader(VirtualNode& node, size_t& reads)
        : counting(node, reads),
          dependencies{node.dependencies().time_source,   node.dependencies().dispatcher,
                       node.dependencies().random,        node.dependencies().table_store,
                       node.dependencies().object_store,  counting,
                       node.dependencies().engine_client, node.dependencies().backend_client,
                       node.dependencies().datagrams,     node.dependencies().peer_client,
                       node.dependencies().peer_server,   node.dependencies().logger,
                       node.dependencies().metrics},
          list(dependencies, {}),
          timer(node.dispatcher().create_timer([this] { poll(); })) {
      list.attach(node.membership());
      poll();
    }
    void poll() {
      timer->enable(seconds(1));
      list.fetch([this](Expected<MachineListSnapshot> snapshot) {
        known.clear();
        for (Machine& machine : snapshot->machines) {
          known[machine.id] = machine;
        }
      });
    }

    CountingList counting;
    NodeDependencies dependencies;
    SharedMachineList list;
    std::map<std::string, Machine> known;
    TimerPtr timer;
  };

  VirtualCluster cluster_;
  size_t reads_ = 0;
  std::vector<std::unique_ptr<Reader>> readers_;
};

TEST_F(SharedMachineListTest, LargeListIsReadRarely) {
  start();
  const size_t before = reads_;
  cluster_.run_for(minutes(10));
  // 412 machines of 205 bytes at 1,000 bytes per second: one read per node every 84 s, not every
  // second.
  const size_t reads = reads_ - before;
  EXPECT_GT(reads, kNodes * 4);
  EXPECT_LT(reads, kNodes * 12);
}

TEST_F(SharedMachineListTest, NewRestartedAndLeavingMachinesAreAnnouncedToEveryNode) {
  start();
  Machine added = worker(kWorkers, 1);
  Machine restarted = worker(3, 2);
  Machine leaving = worker(5, 1);
  leaving.state = MachineState::kLeaving;
  cluster_.machines().push_back(added);
  for (Machine& machine : cluster_.machines()) {
    machine = machine.id == restarted.id ? restarted : machine.id == leaving.id ? leaving : machine;
  }
  const auto all_know = [&] {
    return nodes_that_know(added) == kNodes && nodes_that_know(restarted) == kNodes &&
           nodes_that_know(leaving) == kNodes;
  };
  // Some node reads the list within a few seconds, although each one reads only every 84 s.
  EXPECT_TRUE(cluster_.run_until(all_know, seconds(30)));
}

TEST_F(SharedMachineListTest, OlderListDoesNotUndoAnnouncedChanges) {
  start();
  Machine leaving = worker(5, 1);
  leaving.state = MachineState::kLeaving;
  cluster_.membership(0).publish(encode_machine(leaving));
  cluster_.run_for(seconds(5));
  EXPECT_EQ(nodes_that_know(leaving), kNodes - 1);  // the publisher itself gets no callback
  // The list never shows the change, so in the end the list takes precedence.
  cluster_.run_for(minutes(5));
  EXPECT_EQ(nodes_that_know(worker(5, 1)), kNodes);
}

TEST(SharedMachineListSmallTest, SmallListIsReadForEveryFetch) {
  VirtualCluster cluster(1);
  cluster.add_nodes(3);
  ASSERT_TRUE(cluster.form());
  size_t reads = 0;
  CountingList counting(cluster.node(0), reads);
  const NodeDependencies& outer = cluster.node(0).dependencies();
  NodeDependencies dependencies{outer.time_source,   outer.dispatcher,     outer.random,
                                outer.table_store,   outer.object_store,   counting,
                                outer.engine_client, outer.backend_client, outer.datagrams,
                                outer.peer_client,   outer.peer_server,    outer.logger,
                                outer.metrics};
  SharedMachineList list(dependencies, {});
  list.attach(cluster.membership(0));
  for (int fetch = 0; fetch < 5; ++fetch) {
    list.fetch([](const Expected<MachineListSnapshot>& snapshot) {
      EXPECT_EQ(snapshot->machines.size(), 3U);
    });
    cluster.run_for(milliseconds(10));
  }
  EXPECT_EQ(reads, 5U);
}

}  // namespace
}  // namespace chalkshed
