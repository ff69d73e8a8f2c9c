// The external dependencies of a node. The daemon injects implementations based on libevent, the
// simulator virtual ones; the code of the node is the same in both.
#pragma once

#include "src/core/dispatcher.h"
#include "src/core/random.h"
#include "src/core/time.h"
#include "src/engine/engine_client.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/platform/machine_list.h"
#include "src/platform/object_store.h"
#include "src/platform/table_store.h"
#include "src/transport/http_client.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

// All references must outlive the node.
struct NodeDependencies {
  TimeSource& time_source;
  Dispatcher& dispatcher;
  RandomGenerator& random;
  TableStore& table_store;
  ObjectStore& object_store;
  MachineList& machine_list;
  EngineClient& engine_client;
  HttpClient& backend_client;  // for plain services, whose requests are passed through
  DatagramTransport& datagrams;
  PeerClient& peer_client;
  PeerServer& peer_server;
  Logger& logger;
  MetricsRegistry& metrics;
};

// Identity and location of this node, from the settings.
struct NodeIdentity {
  std::string id;
  Address http_address;
  Address peer_address;
  std::string zone;
  std::string region;
  uint64_t incarnation = 0;  // increases with every start (wall clock in microseconds)
};

}  // namespace chalkshed
