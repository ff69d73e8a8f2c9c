// The machine list, whose reads all nodes share: each node reads it rarely and announces the
// changes to the others.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/metrics/metrics.h"
#include "src/node/node_dependencies.h"
#include "src/platform/machine_list.h"

namespace chalkshed {

struct SharedMachineListKnobs {
  // A list up to this size is read on every fetch: reading it costs less than sharing it.
  size_t small_list_bytes = 16 * 1024;
  // A larger list is read rarely enough to stay within this rate. With 360 nodes and 3,000 workers
  // (690 KB in the emulator's encoding), each node reads it every 690 s, and some node every 2 s.
  double bytes_per_second = 1000;
  // Bytes per machine in a list. Depends on the platform's encoding; this is the emulator's.
  size_t bytes_per_machine = 205;
  // If one read shows more changes than this, none is announced: gossiping a change costs a node
  // about 1.8 KB, so beyond some 380 changes it is cheaper that each node reads the list of 690 KB
  // itself.
  size_t max_announced_changes = 256;
  // For this long an announcement takes precedence over an older version in the list.
  Duration announcement_lifetime = std::chrono::seconds(30);
  // Delay after a failed read.
  Duration retry_interval = std::chrono::seconds(1);
};

// Wraps the platform's list for all its readers in a node. The first node that sees a new,
// restarted or leaving machine announces it by gossip (kind "machine"). The removal of a machine is
// not announced: each node detects it itself, at the latest when it uses the machine.
class SharedMachineList : public MachineList {
 public:
  // `dependencies` must outlive this object; its machine_list is the platform's.
  SharedMachineList(NodeDependencies& dependencies, SharedMachineListKnobs knobs);

  // Starts receiving and publishing announcements. Without it each node reads the list by itself.
  void attach(Gossip& gossip);

  // Returns the known list, or reads it if a read is due. Errors: kStoreUnavailable.
  void fetch(Callback<MachineListSnapshot> callback) override;

 private:
  struct Known {
    Machine machine;
    std::optional<MonotonicTime> announced_at;  // when another node announced it
  };

  void start_read();
  void on_read(Expected<MachineListSnapshot> list);
  void apply_list(std::vector<Machine> machines);
  void on_entry(const GossipEntry& entry);
  MachineListSnapshot snapshot() const;
  // @return whether the list is so large that nodes share its reads.
  bool shared(size_t machines) const;
  Duration read_interval(size_t machines);
  void complete_waiting(const Expected<MachineListSnapshot>& result);

  NodeDependencies& dependencies_;
  SharedMachineListKnobs knobs_;
  Counter& reads_;
  Gossip* gossip_ = nullptr;
  std::map<std::string, Known> machines_;
  bool loaded_ = false;
  bool shared_ = false;
  bool reading_ = false;
  uint64_t revision_ = 0;  // increases with every change of a shared list
  MonotonicTime next_read_;
  std::vector<Callback<MachineListSnapshot>> waiting_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
