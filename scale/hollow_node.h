// A complete node that shares its process and event loop with other nodes, for scale tests. It
// performs all roles over real sockets, but serves no callers.
#pragma once

#include "scale/control_meter.h"
#include "scale/metered_transport.h"
#include "src/adapters/http_engine_client.h"
#include "src/adapters/http_platform.h"
#include "src/event/event_datagram_transport.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/event_http_client.h"
#include "src/http/http_router.h"
#include "src/http/http_server.h"
#include "src/metrics/prometheus_metrics.h"
#include "src/node/node.h"
#include "src/transport/http_peer_transport.h"

namespace chalkshed {

class HollowNode {
 public:
  // @param platform address of the table, object store and machine list.
  HollowNode(const NodeIdentity& identity, const Address& platform, EventDispatcher& dispatcher);

  void start() { node_.start(); }
  Node& node() { return node_; }
  const NodeIdentity& identity() const { return identity_; }
  const ControlMeter& meter() const { return meter_; }

 private:
  NodeIdentity identity_;
  ControlMeter meter_;
  SystemTimeSource time_source_;
  SeededRandomGenerator random_;
  NullLogger logger_;
  PrometheusMetricsRegistry metrics_;
  EventHttpClient http_client_;
  MeteredHttpClient platform_client_;
  MeteredHttpClient engine_http_client_;
  MeteredHttpClient peer_http_client_;
  HttpTableStore table_;
  HttpObjectStore objects_;
  HttpMachineList machines_;
  HttpEngineClient engines_;
  EventDatagramTransport socket_;
  MeteredDatagramTransport datagrams_;
  HttpPeerClient peer_client_;
  HttpPeerServer peer_server_;
  MeteredPeerHandler peer_handler_;
  NodeDependencies dependencies_;
  HttpRouter paths_;
  Node node_;
  HttpServer server_;
};

}  // namespace chalkshed
