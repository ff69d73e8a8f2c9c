// A node that serves opaque requests and jobs: routes, workers, gateway and jobs, wired together
// over a watched store. It is independent of sockets and wire formats; both are injected.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "chalkshed/admission_exchange.h"
#include "chalkshed/caller_identity.h"
#include "chalkshed/crash_exchange.h"
#include "chalkshed/evacuated_zones.h"
#include "chalkshed/failure_exchange.h"
#include "chalkshed/first_copy.h"
#include "chalkshed/item_waits_api.h"
#include "chalkshed/quarantine_api.h"
#include "chalkshed/quarantine_rows.h"
#include "chalkshed/quota_exchange.h"
#include "chalkshed/row_delivery.h"
#include "chalkshed/row_handover.h"
#include "chalkshed/run_turns.h"
#include "chalkshed/start_order.h"
#include "chalkshed/start_timeline.h"
#include "chalkshed/stream_origins.h"
#include "chalkshed/surplus_answers.h"
#include "chalkshed/tenant_quota.h"
#include "chalkshed/view_confirmation.h"
#include "src/core/lifetime.h"
#include "src/http/http_router.h"
#include "src/jobs/job_service.h"
#include "src/peers/peer_exchange.h"
#include "src/serving/route_watch.h"
#include "src/serving/serving_gateway.h"
#include "src/serving/worker_watch.h"
#include "src/watch/observed_store.h"

namespace chalkshed {

// The store tables that operators and workers write, and the decoders of their rows.
struct WatchedTables {
  std::string configuration_table;
  std::string configuration_key;
  RouteWatch::Decode decode_routes;
  evacuation_rows evacuations;  // in the configuration table
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

// How the store's tables are watched. The load of one node on the store should not grow with the
// number of nodes: in a large fleet jobs change constantly, and each change is sent to every node.
struct WatchKnobs {
  // The configuration watch is also how a node detects that it has lost the store: its long poll is
  // never held for longer than this.
  WatchPace configuration{.max_wait = std::chrono::milliseconds(1500)};
  WatchPace workers{.max_wait = std::chrono::milliseconds(1500)};
  // Jobs and nodes change more often, and their changes may arrive a little later.
  WatchPace jobs{.max_wait = std::chrono::seconds(5),
                 .batch_delay = std::chrono::milliseconds(150)};
  // Quarantined contents change rarely, and peers report them at once.
  WatchPace quarantine{.max_wait = std::chrono::seconds(30)};
  // While this node is one of many that learn of changes from a relay: bounds the time for which a
  // lost poll goes unnoticed. Three seconds after a job was ended, no more of its items may start.
  WatchPace member_configuration{.max_wait = std::chrono::seconds(3)};
  // Some worker's row changes every second. A leaving worker may get new work for two seconds.
  WatchPace member_workers{.max_wait = std::chrono::seconds(10),
                           .batch_delay = std::chrono::seconds(1)};
  // While a relay reports changes. Without a relay, or once the relay has lost the store, the
  // pace above applies again within two seconds.
  WatchPace relayed_workers{.max_wait = std::chrono::seconds(10),
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
  // Whether all nodes together decide which requests for overloaded services are admitted.
  bool shared_admission = false;
  shared_admission_knobs admission;
  admission_exchange_knobs admission_exchange;
  origin_exchange_knobs origins;
  failed_run_exchange_knobs failed_runs;
  answer_memory_knobs answers;
  first_copy_knobs workers_copy;
  start_order_knobs start;
  // A node that has had no configuration response from the store for this long rejects all keys,
  // because one of them may have been revoked. Unset: it keeps using the keys it knows.
  std::optional<Duration> max_unconfirmed_time;
  // A planned shutdown keeps serving for this long, until callers are sent elsewhere.
  Duration min_drain_time = std::chrono::milliseconds(2600);
  // It ends after this long even if work is still running: the process is killed soon after.
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
  // @return why callers should not be sent to this node, or null.
  const char* not_ready_reason() const;
  // When each step of the start was reached.
  const start_timeline& start_steps() const { return start_steps_; }
  // Planned shutdown: the node reports itself not ready but keeps serving while callers still come,
  // finishes running work, hands its jobs over, then calls `done` once.
  void begin_drain(std::function<void()> done);

  // @return the error for a new request that cannot be accepted now, with the delay before a retry:
  // no configuration is known yet, or the planned shutdown has lasted for `min_drain_time`. The
  // refusal is logged with the request's id.
  std::optional<Error> refuse(const std::string& request_id) const;

  // @param route null for calls about jobs.
  // @return the identity of the caller. Errors: kUnauthenticated; kUnavailable while this node may
  // lack the configuration that contains the key. A rejection is logged without the key.
  Expected<caller_identity> identify(const RouteTable& table, const Route* route,
                                     const std::string& request_id,
                                     std::string_view authorization) const;
  // @return the error for a request that matches no known route; logged like identify()'s.
  Error reject_unknown_route(const std::string& request_id, const std::string& target) const;

  const RouteTablePtr& routes() const { return route_watch_.current(); }
  ServingGateway& gateway() { return gateway_; }
  JobService& jobs() { return jobs_; }
  WorkerSet& workers() { return workers_; }
  const request_quarantine& quarantine() const { return quarantine_; }
  const worker_failures& failures() const { return failures_; }
  // Serves requests of other nodes; must not be reachable for callers.
  HttpHandler& peer_handler() { return row_server_; }
  // Serves requests of operators; must not be reachable for callers.
  HttpHandler& operator_handler() { return operator_router_; }
  SessionView& peers() { return peers_; }
  // Whether this node receives loads and worker rows from relays instead of from all its peers.
  bool is_relay_member() const { return peers_.is_relay_member(); }

 private:
  void schedule_placement();
  void note_start_step(start_step step);
  bool may_start_batch();
  // Polls until the loads of the other nodes are known.
  void check_loads_known();
  // Lists the tables that are due according to start_order.
  void list_next_tables();
  // Whether the known keys have been unconfirmed, and so possibly revoked, for longer than allowed.
  bool keys_unconfirmed() const;
  // Rejects a request whose key or route is not in the known configuration. The error is permanent
  // only if no newer configuration can be in force.
  Error reject(const std::string& request_id, Error error) const;
  // The store responds again: repeats the polls whose responses may have been lost in between.
  void refresh_watchers(TableWatcher& other);
  void update_watch_paces();
  void update_job_pace();
  // Handles the row of a job that a peer has ended.
  void apply_job_end(const StoredRow& row);
  // Sends the row of an ended job to the node that owns the job.
  void notify_job_owner(const std::string& owner, const StoredRow& row,
                        const std::function<void()>& done);
  void check_drained();
  void connect_quarantine();
  void connect_failures();
  // Reports learned speeds to operators: a log line at once, gauges at most once per second.
  void connect_speeds();
  void update_speed_gauges();
  void connect_admission();
  // Lets callers take up streams that began at any node.
  void connect_stream_origins();
  // Polls until the node stops.
  void place_origins_in_doubt();
  // Updates the numbers of workers by service and version, at most once per second.
  void update_version_gauges_soon(const std::string& service);
  void update_version_gauges();
  // Whether no other node can know of a worker that this one does not know of yet.
  bool worker_view_is_current() const;
  // Passes the services of the configuration to shared admission.
  void set_admitted_services();
  copy_source worker_copy_source() const;
  void note_nodes_listed();
  // Applies the limits on cold workers from the configuration.
  void set_cold_starts();

  ServingNodeDependencies dependencies_;
  ServingNodeKnobs knobs_;
  const start_order start_order_;
  start_timeline start_steps_;
  StoreClock clock_;
  ObservedStore watched_store_;  // for watchers: a stale response is better than none
  ObservedStore fresh_store_;    // for responses to callers
  WorkerSet workers_;
  request_quarantine quarantine_;
  surplus_answers surplus_answers_;
  answer_memory answer_memory_;
  ServingEnvironment serving_;
  RouteWatch route_watch_;
  evacuated_zones evacuated_zones_;
  listing_observer configuration_listed_;
  observer_list operator_rows_;  // observers of the configuration table
  WorkerWatch worker_watch_;
  ServingGateway gateway_;
  ServiceDraw batch_draw_;
  PeerExchange peers_;
  tenant_quota quota_;
  quota_exchange quota_exchange_;
  shared_admission admission_;
  admission_exchange admission_exchange_;
  quarantine_api quarantine_api_;
  item_waits_api item_waits_api_;
  HttpRouter operator_router_;
  crash_exchange crash_exchange_;
  origin_exchange origin_exchange_;
  stream_origins stream_origins_;
  worker_failures failures_;
  failure_exchange failure_exchange_;
  failed_run_exchange failed_run_exchange_;
  run_turns run_turns_;
  quarantine_rows quarantine_rows_;
  JobEnvironment job_environment_;
  JobService jobs_;
  listing_observer workers_listed_;
  listing_observer node_rows_listed_;
  listing_observer jobs_listed_;
  observer_list worker_rows_;  // observers of the worker table
  observer_list node_rows_;    // of the node table
  observer_list job_rows_;     // of the job table
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
  view_confirmation view_confirmation_;
  MonotonicTime started_{};
  bool lists_nodes_ = false;
  bool lists_others_ = false;
  bool nodes_listed_ = false;
  bool placement_scheduled_ = false;
  std::set<std::string> services_with_new_speeds_;
  std::set<std::string> services_with_new_workers_;
  bool draining_ = false;
  bool jobs_drained_ = false;
  bool withdrawn_ = false;  // peers no longer need to wait for this node
  MonotonicTime drain_began_{};
  std::function<void()> on_drained_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
