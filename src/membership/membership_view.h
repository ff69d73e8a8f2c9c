// The view of the cluster's live nodes and the entries that they gossip.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/address.h"

namespace chalkshed {

using NodeId = std::string;

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

// @return the stable lowercase name used in logs and the operator API.
std::string_view member_state_name(MemberState state);

struct Member {
  NodeId id;
  Address http_address;  // for callers and peers
  Address peer_address;  // UDP
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

// A small entry that is gossiped to every node. The highest version wins.
// Kinds in use: "configuration_head", "drain_mark", "tenant_usage".
struct GossipEntry {
  std::string kind;
  std::string key;
  uint64_t version = 0;
  std::string value;  // at most a few hundred bytes
};

class MembershipView {
 public:
  virtual ~MembershipView() = default;
  virtual const Member& self() const = 0;
  // All members that are not dead, self included, ordered by id.
  virtual std::vector<Member> members() const = 0;
  // The callback runs after the state of any member has changed, and when the view has caught up.
  virtual void subscribe(std::function<void()> callback) = 0;
  // @return false while a newly started node may know only some of the members.
  virtual bool caught_up() const { return true; }
};

class Gossip {
 public:
  virtual ~Gossip() = default;
  // Publishes an entry to all nodes; ignored unless its version is higher than the known one.
  virtual void publish(GossipEntry entry) = 0;
  virtual std::optional<GossipEntry> find(const std::string& kind,
                                          const std::string& key) const = 0;
  virtual std::vector<GossipEntry> entries(const std::string& kind) const = 0;
  // The callback runs for each entry received from other nodes, not for own publications.
  virtual void subscribe(std::string kind, std::function<void(const GossipEntry&)> callback) = 0;
  // @return false while a newly started node may lack entries that other nodes have.
  virtual bool caught_up() const { return true; }
};

}  // namespace chalkshed
