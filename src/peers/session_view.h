// Which nodes are alive, as far as the taking over of work is concerned.
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
  // Session of this start of this node.
  virtual const std::string& own_session() const = 0;
  // Whether the session may still be at work. True while it cannot be told.
  // @param seen version of the row in which the session was named: older than the node's newest
  // announcement, it names an earlier start of the node.
  virtual bool alive(const std::string& session, StoreVersion seen) = 0;
  // Position of this node among those that may take the key over; 0 is the first.
  virtual size_t rank(const std::string& key) const = 0;
  // @param seed draws one of several.
  // @return where callers reach a peer that probably reaches the store, or nothing.
  virtual std::optional<Address> peer_with_store(uint64_t seed) const = 0;
  // Whether some other node may have the store, so that it may write what this node does not know:
  // unless most nodes say that they don't.
  virtual bool others_may_reach_store() const = 0;
  // Tells the others that this node takes nothing over any more.
  virtual void begin_drain() = 0;
  // Until what one node does is known to the nodes around it.
  virtual Duration view_lag() const = 0;
};

}  // namespace chalkshed
