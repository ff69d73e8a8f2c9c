#include "src/node/serving_node.h"

#include "chalkshed/request_digest.h"
#include "src/core/call_after.h"
#include "src/core/number_text.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {

ServingNode::ServingNode(const PeerIdentity& identity, const ServingNodeDependencies& dependencies,
                         const WatchedTables& tables, const ServingNodeKnobs& knobs)
    : dependencies_(dependencies),
      knobs_(knobs),
      clock_(dependencies.time_source),
      watched_store_(dependencies.store, clock_, dependencies.metrics, StaleReads::kAccept),
      fresh_store_(dependencies.store, clock_, dependencies.metrics, StaleReads::kRefuse),
      workers_(dependencies.time_source, dependencies.random, identity.zone, knobs.workers),
      quarantine_(dependencies.time_source, dependencies.dispatcher, workers_, dependencies.logger,
                  dependencies.metrics, knobs.quarantine),
      serving_{dependencies.time_source,
               dependencies.dispatcher,
               dependencies.random,
               dependencies.worker_client,
               dependencies.protocol,
               workers_,
               dependencies.logger,
               dependencies.metrics,
               knobs.serving,
               quarantine_},
      route_watch_(dependencies.logger, tables.configuration_key, tables.decode_routes),
      evacuated_zones_(dependencies.logger, workers_, tables.evacuations),
      operator_rows_({&route_watch_, &evacuated_zones_}),
      worker_watch_(dependencies.logger, workers_, tables.decode_worker),
      gateway_(serving_),
      batch_draw_(dependencies.random),
      peers_(dependencies.time_source, dependencies.dispatcher, watched_store_, clock_,
             dependencies.datagrams, workers_, dependencies.logger, dependencies.metrics, identity,
             knobs.peers),
      quota_(dependencies.time_source, dependencies.random, route_watch_, dependencies.logger,
             dependencies.metrics),
      quota_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.datagrams,
                      quota_, dependencies.logger, dependencies.metrics,
                      {identity.node, identity.session, identity.zone, identity.address,
                       identity.capacity, true, false, false},
                      knobs.quotas),
      quarantine_api_(dependencies.time_source, quarantine_, identity.address.ip),
      crash_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.datagrams,
                      quarantine_),
      run_turns_(dependencies.time_source, dependencies.datagrams, dependencies.logger,
                 {identity.node, identity.session, identity.zone, identity.address}, knobs.turns),
      quarantine_rows_(dependencies.time_source, watched_store_, clock_, dependencies.random,
                       dependencies.logger, quarantine_),
      job_environment_{serving_, route_watch_,           fresh_store_, dependencies.objects,
                       clock_,   dependencies.job_codec, batch_draw_,  knobs.jobs},
      jobs_(job_environment_, peers_, [this] { return !gateway_.any_waiting(); }),
      route_table_(
          dependencies.time_source, dependencies.dispatcher, watched_store_, dependencies.logger,
          tables.configuration_table, {""}, operator_rows_,
          {.pace = knobs.watch.configuration, .keep_values = true, .random = &dependencies.random}),
      worker_table_(
          dependencies.time_source, dependencies.dispatcher, watched_store_, dependencies.logger,
          tables.worker_table, {""}, worker_watch_,
          {.pace = knobs.watch.workers, .keep_values = true, .random = &dependencies.random}),
      job_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                 dependencies.logger, kStoredJobTable, job_partitions(), jobs_,
                 {.pace = knobs.watch.jobs, .random = &dependencies.random}),
      node_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                  dependencies.logger, kNodeTable, {""}, peers_,
                  {.pace = knobs.watch.jobs, .random = &dependencies.random}),
      quarantine_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                        dependencies.logger, kQuarantineTable, {""}, quarantine_rows_,
                        {.pace = knobs.watch.quarantine, .random = &dependencies.random}),
      row_server_(
          dependencies.time_source,
          {{tables.configuration_table, &route_table_}, {tables.worker_table, &worker_table_}},
          {{kStoredJobTable, [this](const StoredRow& row) { take_end(row); }}}),
      ended_jobs_(dependencies.dispatcher, dependencies.worker_client, dependencies.logger),
      configuration_handover_(dependencies.time_source, dependencies.worker_client,
                              dependencies.logger, tables.configuration_table, route_table_,
                              [this](StoreVersion version) {
                                return peers_.peer_knowing(&KnownVersions::configuration, version,
                                                           dependencies_.random.next());
                              }),
      worker_handover_(dependencies.time_source, dependencies.worker_client, dependencies.logger,
                       tables.worker_table, worker_table_,
                       [this](StoreVersion version) {
                         return peers_.peer_knowing(&KnownVersions::workers, version,
                                                    dependencies_.random.next());
                       }),
      workers_copy_(
          {dependencies.time_source, dependencies.dispatcher, dependencies.random,
           dependencies.worker_client, dependencies.logger},
          tables.worker_table, worker_table_, [this] { return workers_source(); },
          [this] { return peers_.zone_peers(); }, knobs.workers_copy) {
  job_environment_.view_age = [this] { return job_table_.age(); };
  workers_.set_on_slot_freed([this] { place_soon(); });
  gateway_.set_on_slot_shortage([this](size_t count) { jobs_.preempt_items(count); });
  workers_.set_on_load_changed([this] { peers_.load_changed(); });
  jobs_.set_on_queue_changed([this] { peers_.load_changed(); });
  jobs_.set_on_ownership_changed([this] { pace_jobs(); });
  jobs_.set_owner_notice(
      [this](const std::string& owner, const StoredRow& row, const std::function<void()>& done) {
        tell_owner(owner, row, done);
      });
  peers_.set_job_remainders(
      [this] { return jobs_.queues().remainders(); },
      [this](const job_remainder& reported) { jobs_.queues().note_remainder(reported); });
  peers_.set_known_versions(
      [this] {
        return KnownVersions{route_table_.newest_row(), worker_table_.newest_row()};
      },
      [this](const KnownVersions& known) {
        route_table_.note_newer(known.configuration);
        worker_table_.note_newer(known.workers);
      });
  gateway_.set_quota(&quota_);
  route_watch_.set_on_changed([this] {
    quota_exchange_.set_tenants(route_watch_.current()->tenants());
    set_cold_starts();
    peers_.load_changed();  // peers hear soon that there is a newer configuration
  });
  peers_.set_on_peers_changed([this](const std::vector<relay_candidate>& peers) {
    quota_exchange_.set_peers(peers);
    crash_exchange_.set_peers(peers);
    run_turns_.set_peers(peers);
    quarantine_rows_.set_node_count(peers.size() + 1);
    note_nodes_listed();
    workers_.nodes_changed();
  });
  peers_.set_other_reader([this](std::string_view datagram) {
    return quota_exchange_.receive(datagram) || crash_exchange_.receive(datagram) ||
           run_turns_.receive(datagram);
  });
  connect_quarantine();
  workers_.set_own_rank(
      [this](const std::string& worker) { return peers_.announced_rank(worker); });
  route_table_.set_on_missed(
      [this](StoreVersion version) { configuration_handover_.request(version); });
  worker_table_.set_on_missed([this](StoreVersion version) { worker_handover_.request(version); });
  // Many nodes that start at the same moment would else not hear each other until their
  // announcements have been gathered, for a second and a half.
  peers_.set_on_unknown_session([this] { node_table_.poll_now(); });
  quota_exchange_.set_on_unknown_session([this] { node_table_.poll_now(); });
  peers_.set_on_role_changed([this] { pace_watchers(); });
  // Their long questions may have been lost together with the short ones.
  route_table_.set_on_regained([this] { refresh_watchers(worker_table_); });
  worker_table_.set_on_regained([this] { refresh_watchers(route_table_); });
}

// One of all nodes tries again what is held, and removes what is not held any more.
void ServingNode::connect_quarantine() {
  const auto is_first = [this](uint64_t digest) { return peers_.rank(digest_text(digest)) == 0; };
  quarantine_.set_may_probe(is_first);
  quarantine_rows_.set_is_remover(is_first);
  quarantine_.set_view_age([this] { return worker_table_.age(); });
  quarantine_.set_turns({[this](uint64_t digest, MonotonicTime not_before) {
                           return run_turns_.take(digest, not_before);
                         },
                         [this](uint64_t digest) { run_turns_.note_running(digest); },
                         // Requests in progress end with this node, after its turns.
                         lifetime_.guard([this](uint64_t digest, MonotonicTime not_before) {
                           run_turns_.note_finished(digest, not_before);
                         })});
  quarantine_.set_on_permits_changed([this] { place_soon(); });
  run_turns_.set_not_before(
      [this](uint64_t digest) { return quarantine_.evidence().settled_at(digest); });
  run_turns_.set_on_granted([this] { place_soon(); });
}

// PeerExchange reports its peers only after the table of nodes has been listed, so the first report
// marks that moment.
void ServingNode::note_nodes_listed() {
  if (std::exchange(nodes_listed_, true)) {
    return;
  }
  const Duration left = workers_.note_nodes_listed() - dependencies_.time_source.monotonic_now();
  call_after(dependencies_.dispatcher, left, lifetime_.guard([this] { workers_.nodes_changed(); }));
}

copy_source ServingNode::workers_source() const {
  if (!peers_.listed()) {
    return copy_source::kUnknown;
  }
  return peers_.is_relay_member() ? copy_source::kPeers : copy_source::kStore;
}

void ServingNode::set_cold_starts() {
  std::map<std::string, cold_start> services;
  for (const auto& [name, service] : route_watch_.current()->services()) {
    services[name] = service.cold;
  }
  workers_.set_cold_starts(services);
}

void ServingNode::tell_owner(const std::string& owner, const StoredRow& row,
                             const std::function<void()>& done) {
  const std::optional<Address> address = peers_.address_of(owner);
  if (!address) {
    done();
    return;
  }
  ended_jobs_.deliver(*address, row, [done](bool /*confirmed*/) { done(); });
}

// What a peer says is taken only where it ends a job of this very session.
void ServingNode::take_end(const StoredRow& row) {
  if (jobs_.is_end_of_own_job(row)) {
    job_table_.learn(row);
  }
}

void ServingNode::pace_watchers() {
  const WatchKnobs& watch = knobs_.watch;
  const bool member = peers_.is_relay_member();
  WatchPace configuration = member ? watch.member_configuration : watch.configuration;
  if (knobs_.max_unconfirmed_time) {
    // A lost question and its repetition fit into the time for which keys hold unconfirmed.
    configuration.max_wait = std::min(configuration.max_wait, *knobs_.max_unconfirmed_time / 2);
  }
  route_table_.set_pace(configuration);
  // A member that has just started hears a relay soon. If all nodes start, so do the workers: each
  // of their rows went from the store to each node, 3 GB for 1,000 nodes before 10,000 workers.
  const bool starts = member && dependencies_.time_source.monotonic_now() - started_ <
                                    watch.told_workers.batch_delay;
  worker_table_.set_pace(peers_.hears_informed_relay() || starts ? watch.told_workers
                         : member                                ? watch.member_workers
                                                                 : watch.workers);
  node_table_.set_pace(peers_.relayed() ? watch.member_jobs : watch.jobs);
  pace_jobs();
  peers_.set_store_wait(configuration.max_wait - watch.configuration.max_wait);
}

void ServingNode::pace_jobs() {
  const WatchKnobs& watch = knobs_.watch;
  WatchPace pace = peers_.relayed() ? watch.member_jobs : watch.jobs;
  if (jobs_.owns_open_jobs()) {
    // A view is as old as its question: at most a pause and two questions that were held, together
    // nine tenths of the age at which an owner starts nothing; the rest is for the answer to come.
    const Duration part = knobs_.jobs.max_view_age * 3 / 10;
    pace.max_wait = std::min(pace.max_wait, part);
    pace.batch_delay = std::min(pace.batch_delay, part);
  }
  job_table_.set_pace(pace);
}

void ServingNode::refresh_watchers(TableWatcher& other) {
  other.refresh();
  job_table_.refresh();
  node_table_.refresh();
  quarantine_table_.refresh();
}

// The requests that end now free their places; nobody is left to take them.
ServingNode::~ServingNode() {
  workers_.set_on_slot_freed(nullptr);
  workers_.set_on_load_changed(nullptr);
}

void ServingNode::start() {
  started_ = dependencies_.time_source.monotonic_now();
  call_after(dependencies_.dispatcher, knobs_.watch.told_workers.batch_delay,
             lifetime_.guard([this] { pace_watchers(); }));
  route_table_.start();
  workers_copy_.start();
  job_table_.start();
  node_table_.start();
  quarantine_table_.start();
  peers_.start();
  jobs_.start();
}

// Places are freed in the midst of other work; what waits for them is looked at afterwards, online
// requests first.
void ServingNode::place_soon() {
  if (std::exchange(placing_soon_, true)) {
    return;
  }
  dependencies_.dispatcher.post(lifetime_.guard([this] {
    placing_soon_ = false;
    gateway_.dispatch_waiting();
    jobs_.start_items();
  }));
}

const char* ServingNode::not_ready_reason() const {
  if (draining_) {
    return "draining";
  }
  if (!route_watch_.current()) {
    return "no configuration known yet";
  }
  if (!worker_table_.listed()) {
    return "no workers known yet";
  }
  return nullptr;
}

void ServingNode::begin_drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) {
    return;
  }
  drain_began_ = dependencies_.time_source.monotonic_now();
  on_drained_ = std::move(done);
  dependencies_.logger.write(LogLevel::kInfo, "drain_began",
                             {{"requests", std::to_string(gateway_.requests_in_progress())},
                              {"jobs", std::to_string(jobs_.owned_jobs())}});
  jobs_.drain(lifetime_.guard([this] { jobs_drained_ = true; }));
  check_drained();
}

std::optional<Error> ServingNode::refuse(const std::string& request_id) const {
  constexpr Duration kUntilConfigured = std::chrono::milliseconds(200);
  constexpr Duration kElsewhere = std::chrono::milliseconds(10);
  const bool unconfigured = !route_watch_.current();
  const Duration draining =
      draining_ ? dependencies_.time_source.monotonic_now() - drain_began_ : Duration(0);
  if (!unconfigured && draining < knobs_.min_drain_time) {
    return std::nullopt;
  }
  Error error = not_run(ErrorKind::kUnavailable,
                        unconfigured ? "this node knows no configuration yet" : "this node stops",
                        "send it again, or to another node");
  error.retry_after = unconfigured ? kUntilConfigured : kElsewhere;
  dependencies_.logger.write(LogLevel::kInfo, "request_refused",
                             {{"request", request_id},
                              {"reason", error.message},
                              {"draining_ms", milliseconds_text(draining)}});
  return error;
}

// An answer of the store about anything else says nothing of the keys.
bool ServingNode::keys_unconfirmed() const {
  const Duration unconfirmed =
      dependencies_.time_source.monotonic_now() - route_table_.last_heard();
  return knobs_.max_unconfirmed_time && unconfirmed > *knobs_.max_unconfirmed_time;
}

Expected<caller_identity> ServingNode::identify(const RouteTable& table, const Route* route,
                                                const std::string& request_id,
                                                std::string_view authorization) const {
  const bool keyed = table.tenants().enabled() && (route == nullptr || !route->open);
  if (keyed && keys_unconfirmed()) {
    return tl::unexpected(reject(
        request_id, not_run(ErrorKind::kUnauthenticated, "no key can be confirmed", "none")));
  }
  Expected<caller_identity> caller = identify_caller(table, route, authorization);
  if (!caller) {
    return tl::unexpected(reject(request_id, caller.error()));
  }
  return caller;
}

Error ServingNode::reject_unknown_route(const std::string& request_id,
                                        const std::string& target) const {
  return reject(request_id, not_run(ErrorKind::kNotFound, "no route leads to " + target,
                                    "check the host and the path"));
}

Error ServingNode::reject(const std::string& request_id, Error error) const {
  constexpr Duration kUntilCurrent = std::chrono::milliseconds(200);
  const bool outdated = route_table_.behind() || peers_.store_lost() || keys_unconfirmed();
  if (outdated) {
    error = not_run(ErrorKind::kUnavailable,
                    error.message +
                        " in the configuration of this node, "
                        "which may be outdated",
                    "send it again, or to another node");
    error.retry_after = kUntilCurrent;
  }
  dependencies_.logger.write(LogLevel::kInfo, "request_rejected",
                             {{"request", request_id},
                              {"kind", std::string(error_kind_name(error.kind))},
                              {"reason", error.message},
                              {"configuration", std::to_string(route_watch_.current()->version())},
                              {"behind_peers", route_table_.behind() ? "yes" : "no"},
                              {"store_silence_ms", milliseconds_text(peers_.own_store_silence())}});
  return error;
}

void ServingNode::check_drained() {
  const Duration elapsed = dependencies_.time_source.monotonic_now() - drain_began_;
  const bool idle = jobs_drained_ && gateway_.requests_in_progress() == 0;
  if (elapsed >= knobs_.min_drain_time && jobs_drained_ && !std::exchange(withdrawn_, true)) {
    peers_.withdraw();
  }
  if ((elapsed >= knobs_.min_drain_time && idle) || elapsed >= knobs_.max_drain_time) {
    dependencies_.logger.write(LogLevel::kInfo, "drain_ended",
                               {{"requests", std::to_string(gateway_.requests_in_progress())},
                                {"jobs", std::to_string(jobs_.owned_jobs())}});
    std::exchange(on_drained_, nullptr)();
    return;
  }
  constexpr Duration kLookAgain = std::chrono::milliseconds(50);
  call_after(dependencies_.dispatcher, kLookAgain, lifetime_.guard([this] { check_drained(); }));
}

}  // namespace chalkshed
