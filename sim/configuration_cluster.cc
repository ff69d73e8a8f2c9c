#include "sim/configuration_cluster.h"

namespace chalkshed {

ConfigurationNode::ConfigurationNode(ConfigurationCluster& cluster, const std::string& id,
                                     uint16_t port, const ConfigurationKnobs& knobs)
    : cluster_(cluster),
      self_{id, {"127.0.0.1", port}, {}, "zone", "region", 1, MemberState::kAlive},
      dispatcher(cluster.clock),
      random(port),
      table(cluster.platform, dispatcher),
      objects(cluster.platform, dispatcher),
      machines(cluster.platform, dispatcher),
      dependencies{cluster.clock,     dispatcher, random,          table,
                   objects,           machines,   cluster.engines, cluster.http,
                   cluster.datagrams, *this,      *this,           cluster.logger,
                   cluster.metrics},
      manager(NodeIdentity{id, self_.http_address, {}, "zone", "region", 1}, dependencies, *this,
              *this, knobs) {
  manager.subscribe([this](const ConfigurationPtr& now) { versions.push_back(now->version); });
}

std::vector<Member> ConfigurationNode::members() const {
  std::vector<Member> reachable;
  for (const auto& node : cluster_.nodes) {
    if (node->side == side) {
      reachable.push_back(node->self_);
    }
  }
  return reachable;
}

void ConfigurationNode::publish(GossipEntry entry) {
  if (entry.version <= gossip_version_) {
    return;
  }
  gossip_version_ = entry.version;
  for (const auto& node : cluster_.nodes) {
    ConfigurationNode* other = node.get();
    if (other == this || other->side != side || !other->receives_gossip) {
      continue;
    }
    other->dispatcher.schedule(std::chrono::milliseconds(30 + random.below(50)), [other, entry] {
      if (other->on_gossip_ && entry.version > other->gossip_version_) {
        other->gossip_version_ = entry.version;
        other->on_gossip_(entry);
      }
    });
  }
}

void ConfigurationNode::call(const Address& node, std::string method, std::string body,
                             Callback<std::string> callback) {
  ++calls[method];
  bytes[method] += body.size();
  ConfigurationNode* target = nullptr;
  for (const auto& other : cluster_.nodes) {
    if (other->self_.http_address == node && other->side == side) {
      target = other.get();
    }
  }
  const Duration latency = std::chrono::milliseconds(1);
  if (target == nullptr || !target->handlers_.contains(method)) {
    dispatcher.schedule(latency, [callback] {
      callback(tl::unexpected(not_run(ErrorKind::kUnavailable, "cut off", "wait")));
    });
    return;
  }
  // Either end may be restarted while the call is under way; then there is no answer.
  target->dispatcher.schedule(
      latency, lifetime.guard([this, target, method, body, callback, latency] {
        const auto reply =
            lifetime.guard([this, method, callback, latency](const Expected<std::string>& answer) {
              bytes[method] += answer ? answer->size() : 0;
              dispatcher.schedule(latency, [callback, answer] { callback(answer); });
            });
        target->handlers_[method](body, reply);
      }));
}

}  // namespace chalkshed
