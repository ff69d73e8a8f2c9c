// A node that serves opaque requests and jobs: routes, workers, gateway and jobs wired together
// over a watched store. Free of sockets and of any wire format; both are given to it.
#pragma once

#include <functional>
#include <string>

#include "chalkshed/caller_identity.h"
#include "chalkshed/crash_exchange.h"
#include "chalkshed/evacuated_zones.h"
#include "chalkshed/first_copy.h"
#include "chalkshed/quarantine_api.h"
#include "chalkshed/quarantine_rows.h"
#include "chalkshed/quota_exchange.h"
#include "chalkshed/row_delivery.h"
#include "chalkshed/row_handover.h"
#include "chalkshed/run_turns.h"
#include "chalkshed/tenant_quota.h"
#include "src/core/lifetime.h"
#include "src/jobs/job_service.h"
#include "src/peers/peer_exchange.h"
#include "src/serving/route_watch.h"
#include "src/serving/serving_gateway.h"
#include "src/serving/worker_watch.h"
#include "src/watch/observed_store.h"

namespace chalkshed {

// Where the store holds what operators and workers write, and how it is read.
struct WatchedTables {
  std::string configuration_table;
  std::string configuration_key;
  RouteWatch::Decode decode_routes;
  evacuation_rows evacuations;  // in the table of the configuration
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

// How the store's tables are followed. What a node costs the store should not grow with the number
// of nodes: where they are many, jobs change all the time, and each change goes to every node.
struct WatchKnobs {
  // The configuration is also how a node notices that it has lost the store: its question is never
  // held for longer than this.
  WatchPace configuration{.max_wait = std::chrono::milliseconds(1500)};
  WatchPace workers{.max_wait = std::chrono::milliseconds(1500)};
  // Jobs and nodes change more often, and may be known a little later.
  WatchPace jobs{.max_wait = std::chrono::seconds(5),
                 .batch_delay = std::chrono::milliseconds(150)};
  // Contents that are held change seldom, and peers tell of them at once.
  WatchPace quarantine{.max_wait = std::chrono::seconds(30)};
  // While this node is one of many that learn from a relay what has changed: a lost question does
  // not go unnoticed for longer. A job that was ended must start nothing after three seconds.
  WatchPace member_configuration{.max_wait = std::chrono::seconds(3)};
  // Some worker's row changes every second. A worker that leaves may get new work for two seconds.
  WatchPace member_workers{.max_wait = std::chrono::seconds(10),
                           .batch_delay = std::chrono::seconds(1)};
  // While a relay tells of changes. Without it, or once it has lost the store, the pace above holds
  // again within two seconds.
  WatchPace told_workers{.max_wait = std::chrono::seconds(10),
                         .batch_delay = std::chrono::seconds(5),
                         .from_peers = true};
  WatchPace member_jobs{.max_wait = std::chrono::seconds(10),
                        .batch_delay = std::chrono::milliseconds(1500)};
};

struct ServingNodeKnobs {
  WorkerKnobs workers;
  ServingKnobs serving;
  JobKnobs jobs;
  PeerKnobs peers;
  WatchKnobs watch;
  quarantine_knobs quarantine;
  run_turns_knobs turns;
  quota_exchange_knobs quotas;
  first_copy_knobs workers_copy;
  // A node that the store has not answered for so long takes no keys, because one of them may have
  // been taken away; nothing: it goes on by what it knows.
  std::optional<Duration> max_unconfirmed_time;
  // A planned stop serves on for this long, until callers are sent elsewhere.
  Duration min_drain_time = std::chrono::milliseconds(2600);
  // It ends after this long whatever still runs: the process is killed soon after.
  Duration max_drain_time = std::chrono::milliseconds(7500);
};

class ServingNode {
 public:
  ServingNode(const PeerIdentity& identity, const ServingNodeDependencies& dependencies,
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

  // @param route null for calls about jobs.
  // @return who sends the request. Errors: kUnauthenticated; kUnavailable while this node may lack
  // the configuration that names the key. Logged without the key.
  Expected<caller_identity> identify(const RouteTable& table, const Route* route,
                                     const std::string& request_id,
                                     std::string_view authorization) const;
  // @return the error for a request that no known route leads to, in the same way.
  Error reject_unknown_route(const std::string& request_id, const std::string& target) const;

  const RouteTablePtr& routes() const { return route_watch_.current(); }
  ServingGateway& gateway() { return gateway_; }
  JobService& jobs() { return jobs_; }
  WorkerSet& workers() { return workers_; }
  const request_quarantine& quarantine() const { return quarantine_; }
  // Answers questions of other nodes; callers must not reach it.
  HttpHandler& peer_handler() { return row_server_; }
  // Answers operators; callers must not reach it.
  HttpHandler& operator_handler() { return quarantine_api_; }
  SessionView& peers() { return peers_; }
  // Whether other nodes relay what this one knows of loads and workers.
  bool is_relay_member() const { return peers_.is_relay_member(); }

 private:
  void place_soon();
  // Whether keys may have been taken away that this node still knows, for longer than is allowed.
  bool keys_unconfirmed() const;
  // The configuration names neither the key nor the route. That is final only if no newer one can
  // be in force.
  Error reject(const std::string& request_id, Error error) const;
  // The store answers again: repeats the questions whose answers may have been lost meanwhile.
  void refresh_watchers(TableWatcher& other);
  void pace_watchers();
  void pace_jobs();
  // A peer brings the row of a job that it has ended.
  void take_end(const StoredRow& row);
  // Brings the row of an ended job to the node that owns it.
  void tell_owner(const std::string& owner, const StoredRow& row,
                  const std::function<void()>& done);
  void check_drained();
  void connect_quarantine();
  copy_source workers_source() const;
  void note_nodes_listed();
  // The configuration says what cold workers bear.
  void set_cold_starts();

  ServingNodeDependencies dependencies_;
  ServingNodeKnobs knobs_;
  StoreClock clock_;
  ObservedStore watched_store_;  // for watchers: an old answer is better than none
  ObservedStore fresh_store_;    // for answers to callers
  WorkerSet workers_;
  request_quarantine quarantine_;
  ServingEnvironment serving_;
  RouteWatch route_watch_;
  evacuated_zones evacuated_zones_;
  observer_list operator_rows_;  // of the configuration's table
  WorkerWatch worker_watch_;
  ServingGateway gateway_;
  ServiceDraw batch_draw_;
  PeerExchange peers_;
  tenant_quota quota_;
  quota_exchange quota_exchange_;
  quarantine_api quarantine_api_;
  crash_exchange crash_exchange_;
  run_turns run_turns_;
  quarantine_rows quarantine_rows_;
  JobEnvironment job_environment_;
  JobService jobs_;
  TableWatcher route_table_;
  TableWatcher worker_table_;
  TableWatcher job_table_;
  TableWatcher node_table_;
  TableWatcher quarantine_table_;
  row_handover_server row_server_;
  row_delivery ended_jobs_;  // to the nodes that own them
  row_handover configuration_handover_;
  row_handover worker_handover_;
  first_copy workers_copy_;
  MonotonicTime started_{};
  bool nodes_listed_ = false;
  bool placing_soon_ = false;
  bool draining_ = false;
  bool jobs_drained_ = false;
  bool withdrawn_ = false;  // peers need not wait for this node any more
  MonotonicTime drain_began_{};
  std::function<void()> on_drained_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
