// A node that serves opaque requests and jobs: routes, workers, gateway and jobs wired together
// over a watched store. Free of sockets and of any wire format; both are given to it.
#pragma once

#include <functional>
#include <string>

#include "src/core/lifetime.h"
#include "src/jobs/job_service.h"
#include "src/peers/peer_exchange.h"
#include "src/serving/route_watch.h"
#include "src/serving/serving_gateway.h"
#include "src/serving/worker_watch.h"
#include "src/watch/observed_store.h"

namespace chalkshed {

struct ServingNodeIdentity {
  std::string node;     // unique name of the machine
  std::string session;  // unique for this start: NODE#START
  std::string zone;
  Address peer_address;      // where datagrams of other nodes arrive
  uint16_t caller_port = 0;  // where callers, and jobs that peers hand on, arrive
};

// Where the store holds what operators and workers write, and how it is read.
struct WatchedTables {
  std::string configuration_table;
  std::string configuration_key;
  RouteWatch::Decode decode_routes;
  std::string worker_table;
  WorkerWatch::Decode decode_worker;
};

// All references outlive the node.
struct ServingNodeDependencies {
  TimeSource& time_source;
  Dispatcher& dispatcher;
  RandomGenerator& random;
  WatchedStore& store;
  ObjectStore& objects;
  HttpClient& worker_client;
  DatagramTransport& datagrams;
  const ServingProtocol& protocol;
  const JobCodec& job_codec;
  Logger& logger;
  MetricsRegistry& metrics;
};

struct ServingNodeKnobs {
  WorkerKnobs workers;
  ServingKnobs serving;
  JobKnobs jobs;
  PeerKnobs peers;
  TableWatcherKnobs watchers;
  // Jobs and nodes change more often, and may be heard of a little later.
  TableWatcherKnobs job_watchers{.longest_wait = std::chrono::seconds(5),
                                 .gather = std::chrono::milliseconds(150)};
  // A planned stop serves on for this long, until callers are sent elsewhere.
  Duration least_drain = std::chrono::milliseconds(2600);
  // It ends after this long whatever still runs: the process is killed soon after.
  Duration longest_drain = std::chrono::milliseconds(7500);
};

class ServingNode {
 public:
  ServingNode(const ServingNodeIdentity& identity, const ServingNodeDependencies& dependencies,
              const WatchedTables& tables, const ServingNodeKnobs& knobs = {});

  ~ServingNode();
  ServingNode(const ServingNode&) = delete;
  ServingNode& operator=(const ServingNode&) = delete;

  void start();
  // @return why callers should not be sent here, or null.
  const char* not_ready_reason() const;
  // Planned stop: not ready any more, but serves on while callers still come; finishes what runs,
  // hands the jobs over, then calls `done` once.
  void begin_drain(std::function<void()> done);

  // @return why a new request cannot be taken now, with when to come back: no configuration is
  // known yet, or the planned stop has come so far that callers are sent elsewhere. Logged with its
  // id.
  std::optional<Error> refuse(const std::string& request_id) const;

  const RouteTablePtr& routes() const { return route_watch_.current(); }
  ServingGateway& gateway() { return gateway_; }
  JobService& jobs() { return jobs_; }
  WorkerSet& workers() { return workers_; }
  SessionView& peers() { return peers_; }

 private:
  void place_soon();
  void refresh_job_watchers();
  void check_drained();

  ServingNodeDependencies dependencies_;
  ServingNodeKnobs knobs_;
  StoreClock clock_;
  ObservedStore watched_store_;  // for watchers: an old answer is better than none
  ObservedStore fresh_store_;    // for answers to callers
  WorkerSet workers_;
  ServingEnvironment serving_;
  RouteWatch route_watch_;
  WorkerWatch worker_watch_;
  ServingGateway gateway_;
  ServiceDraw batch_draw_;
  PeerExchange peers_;
  JobEnvironment job_environment_;
  JobService jobs_;
  TableWatcher route_table_;
  TableWatcher worker_table_;
  TableWatcher job_table_;
  TableWatcher node_table_;
  bool placing_soon_ = false;
  bool draining_ = false;
  bool jobs_drained_ = false;
  MonotonicTime drain_began_{};
  std::function<void()> on_drained_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
