// The view of other nodes' sessions that takeovers of work are based on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/address.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

class SessionView {
 public:
  virtual ~SessionView() = default;
  // The session of this process.
  virtual const std::string& own_session() const = 0;
  // Whether the session may still be running. True while this is unknown.
  // @param seen version of the row that names the session. If it is older than the node's newest
  // announcement, the session belongs to an earlier start of the node.
  virtual bool alive(const std::string& session, StoreVersion seen) = 0;
  // Whether another process has taken the place of the one with that session.
  virtual bool replaced(const std::string& /*session*/, StoreVersion /*seen*/) const {
    return false;
  }
  // Rank of this node among the nodes that may take over the key; 0 is the first.
  virtual size_t rank(const std::string& key) const = 0;
  // @param seed selects among several peers.
  // @return the caller address of a peer that probably reaches the store, or nothing.
  virtual std::optional<Address> peer_with_store(uint64_t seed) const = 0;
  // Whether another node may reach the store and write changes that this node does not see. False
  // only while most nodes report that they do not reach it.
  virtual bool others_may_reach_store() const = 0;
  // Announces to the other nodes that this node takes over no further work.
  virtual void begin_drain() = 0;
  // Delay until a change at one node is known to the other nodes.
  virtual Duration view_lag() const = 0;
  // The number of announced nodes, including this one.
  virtual size_t announced_nodes() const { return 1; }
  // Whether this node knows the loads that most other nodes put on the workers, and they know its.
  virtual bool loads_known() { return true; }
};

}  // namespace chalkshed
