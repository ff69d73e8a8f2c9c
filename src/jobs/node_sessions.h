// Which nodes are alive, by their session rows in the store: each node renews its own every second
// and reads all. A session that the store shows unchanged for too long has lapsed; its jobs are
// free. While the store does not answer nobody lapses.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

struct NodeSessionKnobs {
  Duration renew_interval = std::chrono::milliseconds(1000);
  // Counted over reads that the store answered.
  Duration lapse_after = std::chrono::milliseconds(3200);
};

class NodeSessions {
 public:
  // @param node unique name of the machine.
  // @param session unique for this start of the node.
  // @param address where peers reach the node; told to them in its row.
  NodeSessions(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store, Logger& logger,
               std::string node, std::string session, std::string address,
               const NodeSessionKnobs& knobs = {});

  void start();
  // Called after every read.
  void set_on_read(std::function<void()> callback) { on_read_ = std::move(callback); }
  // Takes no more work over; told to the others with the next renewal, which is made at once.
  void begin_drain();
  const std::string& own_session() const { return session_; }
  // Whether the session may still hold work. True before the first read.
  bool alive(const std::string& session) const;
  // Position of this node among those alive that may take the key over; 0 is the first.
  size_t rank(const std::string& key) const;
  // Addresses of the other nodes that are alive.
  std::vector<std::string> peer_addresses() const;

 private:
  struct Entry {
    std::string session;
    std::string address;
    bool draining = false;
    StoreVersion version = 0;
    MonotonicTime changed{};
    bool lapsed = false;
  };

  void beat();
  void read();
  void handle_rows(const std::vector<StoredRow>& rows);

  TimeSource& time_source_;
  WatchedStore& store_;
  Logger& logger_;
  const std::string node_;
  const std::string session_;
  const std::string address_;
  const NodeSessionKnobs knobs_;
  bool draining_ = false;
  bool read_once_ = false;
  uint64_t beats_ = 0;
  MonotonicTime last_read_{};
  std::map<std::string, Entry> entries_;  // by node
  std::function<void()> on_read_;
  TimerPtr timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
