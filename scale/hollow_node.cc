#include "scale/hollow_node.h"

#include "src/core/digest.h"

namespace chalkshed {

HollowNode::HollowNode(const NodeIdentity& identity, const Address& platform,
                       EventDispatcher& dispatcher)
    : identity_(identity),
      random_(content_hash(identity.id, identity.incarnation)),
      http_client_(dispatcher),
      platform_client_(http_client_, meter_, "platform"),
      engine_http_client_(http_client_, meter_, "engine"),
      peer_http_client_(http_client_, meter_, "asked"),
      table_(platform_client_, platform),
      objects_(platform_client_, platform),
      machines_(platform_client_, platform),
      engines_(engine_http_client_),
      socket_(dispatcher, identity.peer_address),
      datagrams_(socket_, meter_),
      peer_client_(peer_http_client_),
      peer_handler_(peer_server_, meter_),
      dependencies_{time_source_, dispatcher, random_,      table_,     objects_,
                    machines_,    engines_,   http_client_, datagrams_, peer_client_,
                    peer_server_, logger_,    metrics_},
      node_(identity, dependencies_),
      server_(dispatcher, identity.http_address, paths_) {
  paths_.add("", node_);
  paths_.add("/peer", peer_handler_);
}

}  // namespace chalkshed
