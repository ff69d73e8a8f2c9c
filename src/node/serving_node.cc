#include "src/node/serving_node.h"

#include "chalkshed/request_digest.h"
#include "src/core/call_after.h"
#include "src/core/digest.h"
#include "src/core/number_text.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {

ServingNode::ServingNode(const PeerIdentity& identity, const ServingNodeDependencies& dependencies,
                         const WatchedTables& tables, const ServingNodeKnobs& knobs)
    : dependencies_(dependencies),
      knobs_(knobs),
      start_order_(knobs.start),
      start_steps_(dependencies.time_source, dependencies.logger),
      clock_(dependencies.time_source),
      watched_store_(dependencies.store, clock_, dependencies.logger, dependencies.metrics,
                     StaleReads::kAccept),
      fresh_store_(dependencies.store, clock_, dependencies.logger, dependencies.metrics,
                   StaleReads::kRefuse),
      workers_(dependencies.time_source, dependencies.random, identity.zone, knobs.workers),
      quarantine_(dependencies.time_source, dependencies.dispatcher, workers_, dependencies.logger,
                  dependencies.metrics, knobs.quarantine),
      surplus_answers_(dependencies.time_source, dependencies.logger, dependencies.metrics),
      answer_memory_(dependencies.time_source, dependencies.dispatcher, dependencies.logger,
                     dependencies.metrics, knobs.answers),
      serving_{dependencies.time_source,
               dependencies.dispatcher,
               dependencies.random,
               dependencies.worker_client,
               dependencies.protocol,
               workers_,
               dependencies.logger,
               dependencies.metrics,
               knobs.serving,
               quarantine_,
               nullptr,
               &surplus_answers_,
               &answer_memory_},
      route_watch_(dependencies.logger, tables.configuration_key, tables.decode_routes),
      evacuated_zones_(dependencies.logger, workers_, tables.evacuations),
      configuration_listed_([this] { list_next_tables(); }),
      operator_rows_({&route_watch_, &evacuated_zones_, &configuration_listed_}),
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
      admission_(dependencies.time_source, dependencies.random, dependencies.logger,
                 dependencies.metrics, knobs.admission),
      admission_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.datagrams,
                          admission_, dependencies.logger,
                          {identity.node, identity.session, identity.zone, identity.address,
                           identity.capacity, true, false, false},
                          knobs.admission_exchange),
      quarantine_api_(dependencies.time_source, quarantine_, identity.address.ip),
      item_waits_api_([this](size_t limit) { return jobs_.waiting(limit); }),
      crash_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.datagrams,
                      quarantine_, identity.node),
      origin_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.datagrams,
                       {identity.node, identity.session, identity.zone, identity.address,
                        identity.capacity, true, false, false},
                       knobs.origins),
      stream_origins_(dependencies.time_source, workers_, origin_exchange_),
      failures_(knobs.workers.failures, content_hash(identity.session),
                [this](uint32_t worker) { return workers_.place_of(worker); }),
      failure_exchange_(dependencies.time_source, dependencies.dispatcher, dependencies.random,
                        dependencies.datagrams, workers_, failures_, dependencies.logger,
                        dependencies.metrics, content_hash(identity.session)),
      failed_run_exchange_(dependencies.time_source, dependencies.dispatcher,
                           dependencies.datagrams, dependencies.metrics, knobs.failed_runs),
      run_turns_(dependencies.time_source, dependencies.datagrams, dependencies.logger,
                 {identity.node, identity.session, identity.zone, identity.address}, knobs.turns),
      quarantine_rows_(dependencies.time_source, watched_store_, clock_, dependencies.random,
                       dependencies.logger, dependencies.metrics, quarantine_),
      job_environment_{serving_, route_watch_,           fresh_store_, dependencies.objects,
                       clock_,   dependencies.job_codec, batch_draw_,  knobs.jobs},
      jobs_(job_environment_, peers_, [this] { return may_start_batch(); }),
      workers_listed_([this] { note_start_step(start_step::kWorkers); }),
      node_rows_listed_([this] { note_start_step(start_step::kNodes); }),
      jobs_listed_([this] { note_start_step(start_step::kJobs); }),
      worker_rows_({&worker_watch_, &workers_listed_}),
      node_rows_({&peers_, &node_rows_listed_}),
      job_rows_({&jobs_, &jobs_listed_}),
      route_table_(
          dependencies.time_source, dependencies.dispatcher, watched_store_, dependencies.logger,
          tables.configuration_table, {""}, operator_rows_,
          {.pace = knobs.watch.configuration, .keep_values = true, .random = &dependencies.random}),
      worker_table_(
          dependencies.time_source, dependencies.dispatcher, watched_store_, dependencies.logger,
          tables.worker_table, {""}, worker_rows_,
          {.pace = knobs.watch.workers, .keep_values = true, .random = &dependencies.random}),
      job_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                 dependencies.logger, kStoredJobTable, job_partitions(), job_rows_,
                 {.pace = knobs.watch.jobs, .random = &dependencies.random}),
      node_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                  dependencies.logger, kNodeTable, {""}, node_rows_,
                  {.pace = knobs.watch.jobs, .random = &dependencies.random}),
      quarantine_table_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                        dependencies.logger, kQuarantineTable, {""}, quarantine_rows_,
                        {.pace = knobs.watch.quarantine, .random = &dependencies.random}),
      row_server_(
          dependencies.time_source,
          {{tables.configuration_table, &route_table_}, {tables.worker_table, &worker_table_}},
          {{kStoredJobTable, [this](const StoredRow& row) { apply_job_end(row); }}}),
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
          tables.worker_table, worker_table_, [this] { return worker_copy_source(); },
          [this] { return peers_.zone_peers(); }, knobs.workers_copy),
      view_confirmation_(dependencies.time_source, dependencies.dispatcher, watched_store_,
                         {&worker_table_, &route_table_}) {
  job_environment_.view_age = [this] { return job_table_.age(); };
  job_environment_.failed_runs = &failed_run_exchange_;
  workers_.set_on_slot_freed([this] { schedule_placement(); });
  gateway_.set_on_slot_shortage(
      [this](const std::string& service, size_t count) { jobs_.preempt_items(service, count); });
  job_environment_.online_waits = [this](const std::string& service) {
    return gateway_.waiting(service) > 0;
  };
  workers_.set_on_load_changed([this] { peers_.load_changed(); });
  jobs_.set_on_queue_changed([this] { peers_.load_changed(); });
  jobs_.set_on_ownership_changed([this] { update_job_pace(); });
  jobs_.set_owner_notice(
      [this](const std::string& owner, const StoredRow& row, const std::function<void()>& done) {
        notify_job_owner(owner, row, done);
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
    stream_origins_.note_routes(route_watch_.current(), route_table_.may_have_missed());
    quota_exchange_.set_tenants(route_watch_.current()->tenants());
    set_cold_starts();
    note_start_step(start_step::kConfiguration);
    set_admitted_services();
    peers_.load_changed();  // announces the new configuration version to the peers soon
  });
  peers_.set_on_peers_changed([this](const std::vector<relay_candidate>& peers) {
    quota_exchange_.set_peers(peers);
    crash_exchange_.set_peers(peers);
    failure_exchange_.set_peers(peers);
    failed_run_exchange_.set_peers(peers);
    origin_exchange_.set_peers(peers);
    if (knobs_.shared_admission) {
      admission_exchange_.set_peers(peers);
    }
    run_turns_.set_peers(peers);
    quarantine_rows_.set_node_count(peers.size() + 1);
    note_nodes_listed();
    workers_.nodes_changed();
  });
  peers_.set_other_reader([this](std::string_view datagram) {
    return quota_exchange_.receive(datagram) || crash_exchange_.receive(datagram) ||
           run_turns_.receive(datagram) || origin_exchange_.receive(datagram) ||
           failed_run_exchange_.receive(datagram) ||
           (knobs_.workers.failures.enabled && failure_exchange_.receive(datagram)) ||
           (knobs_.shared_admission && admission_exchange_.receive(datagram));
  });
  connect_quarantine();
  connect_failures();
  connect_stream_origins();
  connect_speeds();
  if (knobs_.shared_admission) {
    connect_admission();
  }
  workers_.set_removals_doubtful([this] { return peers_.entries_may_have_lapsed(); });
  workers_.set_own_rank(
      [this](const std::string& worker) { return peers_.announced_rank(worker); });
  route_table_.set_on_missed(
      [this](StoreVersion version) { configuration_handover_.request(version); });
  worker_table_.set_on_missed([this](StoreVersion version) { worker_handover_.request(version); });
  // Without this, many nodes that start at the same moment would not accept each other's datagrams
  // until the watch has collected their announcements, which takes a second and a half.
  peers_.set_on_unknown_session([this] { node_table_.poll_now(); });
  quota_exchange_.set_on_unknown_session([this] { node_table_.poll_now(); });
  peers_.set_on_role_changed([this] { update_watch_paces(); });
  // The long polls of the other tables may have been lost together with the short ones.
  route_table_.set_on_regained([this] { refresh_watchers(worker_table_); });
  worker_table_.set_on_regained([this] { refresh_watchers(route_table_); });
}

// For each content, a single node probes it while it is quarantined and removes its row afterwards.
void ServingNode::connect_quarantine() {
  operator_router_.add("/admin/quarantine", quarantine_api_);
  operator_router_.add("/admin/items", item_waits_api_);
  const auto is_first = [this](uint64_t digest) { return peers_.rank(digest_text(digest)) == 0; };
  quarantine_.set_may_probe(is_first);
  quarantine_rows_.set_is_remover(is_first);
  quarantine_.set_view_age([this] { return worker_table_.age(); });
  quarantine_.set_turns(
      {[this](uint64_t digest, MonotonicTime not_before) {
         return run_turns_.take(digest, not_before);
       },
       [this](uint64_t digest) { run_turns_.note_running(digest); },
       // Guarded: requests in progress are destroyed with this node, after run_turns_.
       lifetime_.guard([this](uint64_t digest, MonotonicTime not_before) {
         run_turns_.note_finished(digest, not_before);
       })});
  quarantine_.set_on_permits_changed([this] { schedule_placement(); });
  run_turns_.set_not_before(
      [this](uint64_t digest) { return quarantine_.evidence().settled_at(digest); });
  run_turns_.set_on_granted([this] { schedule_placement(); });
}

// Ejected workers are probed by all nodes in turn, so that each worker has an order of its own.
void ServingNode::connect_failures() {
  if (!knobs_.workers.failures.enabled) {
    return;
  }
  failures_.set_probe_rank(
      [this](uint32_t worker) { return peers_.rank("probe " + std::to_string(worker)); });
  workers_.set_failures(&failures_);
}

void ServingNode::connect_stream_origins() {
  serving_.origins = &stream_origins_;
  stream_origins::views views;
  views.current = [this] { return worker_view_is_current() && !route_table_.behind(); };
  views.age = [this] { return worker_table_.age(); };
  views.confirm = [this](view_confirmation::on_confirmed done) {
    view_confirmation_.confirm(std::move(done));
  };
  views.lapsed = [this] {
    const Duration age = std::max(worker_table_.age(), route_table_.age());
    return age > stream_origins::kBeginLease && peers_.others_may_reach_store();
  };
  views.store_doubtful = [this] { return peers_.entries_may_have_lapsed(); };
  stream_origins_.set_views(std::move(views));
  view_confirmation_.set_nodes([this] { return peers_.announced_nodes(); });
  workers_.set_on_listing_changed(
      [this](const std::string& service) { update_version_gauges_soon(service); });
}

// While the store may not tell later which version began a stream, the peers must know.
void ServingNode::place_origins_in_doubt() {
  constexpr Duration kPollInterval = std::chrono::milliseconds(250);
  if (peers_.entries_may_have_lapsed()) {
    stream_origins_.place_all();
  }
  call_after(dependencies_.dispatcher, kPollInterval,
             lifetime_.guard([this] { place_origins_in_doubt(); }));
}

void ServingNode::update_version_gauges_soon(const std::string& service) {
  constexpr Duration kGaugeInterval = std::chrono::seconds(1);
  if (services_with_new_workers_.empty()) {
    call_after(dependencies_.dispatcher, kGaugeInterval,
               lifetime_.guard([this] { update_version_gauges(); }));
  }
  services_with_new_workers_.insert(service);
}

void ServingNode::update_version_gauges() {
  for (const std::string& service : std::exchange(services_with_new_workers_, {})) {
    for (const auto& [version, workers] : workers_.workers_by_version(service)) {
      dependencies_.metrics
          .gauge("chalkshed_workers", "Listed workers by service and software version.",
                 {{"service", service}, {"version", version}})
          .set(workers);
    }
  }
}

bool ServingNode::worker_view_is_current() const {
  // A healthy store answers a poll within 1.5 s, a slow one within two more.
  constexpr Duration kMaxAge = std::chrono::seconds(4);
  const bool recent = worker_table_.age() <= kMaxAge || peers_.hears_informed_relay();
  return !worker_table_.behind() && (recent || !peers_.others_may_reach_store());
}

void ServingNode::connect_speeds() {
  workers_.set_on_speed_changed([this](const ServingWorker& worker, double before) {
    const auto text = [](double speed) { return std::to_string(speed).substr(0, 4); };
    dependencies_.logger.write(LogLevel::kInfo, "worker_speed_changed",
                               {{"worker", worker.record.incarnation},
                                {"service", worker.record.service},
                                {"speed", text(worker.speed.speed())},
                                {"before", before > 0 ? text(before) : "unknown"}});
    constexpr Duration kGaugeInterval = std::chrono::seconds(1);
    if (services_with_new_speeds_.empty()) {
      call_after(dependencies_.dispatcher, kGaugeInterval,
                 lifetime_.guard([this] { update_speed_gauges(); }));
    }
    services_with_new_speeds_.insert(worker.record.service);
  });
}

void ServingNode::update_speed_gauges() {
  for (const std::string& service : std::exchange(services_with_new_speeds_, {})) {
    const std::optional<WorkerSet::SpeedSpread> spread = workers_.speed_spread(service);
    const auto set = [&](const char* which, double speed) {
      dependencies_.metrics
          .gauge("chalkshed_worker_speed",
                 "Learned speeds of a service's workers, relative to the service.",
                 {{"service", service}, {"which", which}})
          .set(speed);
    };
    if (spread) {
      set("lowest", spread->lowest);
      set("median", spread->median);
      set("highest", spread->highest);
    }
  }
}

void ServingNode::connect_admission() {
  gateway_.set_admission(&admission_);
  admission_.set_slots([this](std::string_view service) {
    const OnlineSlots slots = workers_.online_slots(service);
    return service_slots{static_cast<double>(slots.all), static_cast<double>(slots.free)};
  });
  workers_.set_on_online_ended(
      [this](const std::string& service, Duration held) { admission_.note_ended(service, held); });
}

void ServingNode::set_admitted_services() {
  std::vector<std::string> names;
  for (const auto& [name, service] : route_watch_.current()->services()) {
    names.push_back(name);
  }
  admission_.set_services(names);
}

// PeerExchange reports its peers only after the node table has been listed, so the first report
// means that the listing is complete.
void ServingNode::note_nodes_listed() {
  if (std::exchange(nodes_listed_, true)) {
    return;
  }
  check_loads_known();
  const Duration left = workers_.note_nodes_listed() - dependencies_.time_source.monotonic_now();
  call_after(dependencies_.dispatcher, left, lifetime_.guard([this] { workers_.nodes_changed(); }));
}

copy_source ServingNode::worker_copy_source() const {
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

void ServingNode::notify_job_owner(const std::string& owner, const StoredRow& row,
                                   const std::function<void()>& done) {
  const std::optional<Address> address = peers_.address_of(owner);
  if (!address) {
    done();
    return;
  }
  ended_jobs_.deliver(*address, row, [done](bool /*confirmed*/) { done(); });
}

// A row from a peer is applied only if it ends a job that this node owns in its current session.
void ServingNode::apply_job_end(const StoredRow& row) {
  if (jobs_.is_end_of_own_job(row)) {
    job_table_.learn(row);
  }
}

void ServingNode::update_watch_paces() {
  const WatchKnobs& watch = knobs_.watch;
  const bool member = peers_.is_relay_member();
  WatchPace configuration = member ? watch.member_configuration : watch.configuration;
  if (knobs_.max_unconfirmed_time) {
    // A lost poll and its retry have to fit into the time for which unconfirmed keys are accepted.
    configuration.max_wait = std::min(configuration.max_wait, *knobs_.max_unconfirmed_time / 2);
  }
  route_table_.set_pace(configuration);
  // A member that has just started will receive a relay's digest soon, so it uses the pace of
  // relayed workers at once. Otherwise, when all nodes and workers start together, the store would
  // send the row of each worker to each node: 3 GB for 1,000 nodes and 10,000 workers.
  const bool starts = member && dependencies_.time_source.monotonic_now() - started_ <
                                    watch.relayed_workers.batch_delay;
  worker_table_.set_pace(peers_.hears_informed_relay() || starts ? watch.relayed_workers
                         : member                                ? watch.member_workers
                                                                 : watch.workers);
  node_table_.set_pace(peers_.relayed() ? watch.member_jobs : watch.jobs);
  update_job_pace();
  peers_.set_store_wait(configuration.max_wait - watch.configuration.max_wait);
}

void ServingNode::update_job_pace() {
  const WatchKnobs& watch = knobs_.watch;
  WatchPace pace = peers_.relayed() ? watch.member_jobs : watch.jobs;
  if (jobs_.owns_open_jobs()) {
    // A view is as old as the poll that returned it: at most one pause and two long polls, together
    // nine tenths of the age beyond which an owner starts no items. The last tenth is left for the
    // response to arrive.
    const Duration max_step = knobs_.jobs.max_view_age * 3 / 10;
    pace.max_wait = std::min(pace.max_wait, max_step);
    pace.batch_delay = std::min(pace.batch_delay, max_step);
  }
  job_table_.set_pace(pace);
}

void ServingNode::refresh_watchers(TableWatcher& other) {
  other.refresh();
  job_table_.refresh();
  node_table_.refresh();
  quarantine_table_.refresh();
}

// Requests that end during destruction free their slots, which must not be assigned to other
// requests any more.
ServingNode::~ServingNode() {
  dependencies_.worker_client.set_on_unsolicited([](const Address&) {});
  workers_.set_on_slot_freed(nullptr);
  workers_.set_on_load_changed(nullptr);
  workers_.set_failures(nullptr);  // destroyed before the requests that would report to it
  workers_.set_on_speed_changed(nullptr);
  workers_.set_on_online_ended(nullptr);
  workers_.set_on_second_version(nullptr);
  workers_.set_on_listing_changed(nullptr);
}

void ServingNode::start() {
  started_ = dependencies_.time_source.monotonic_now();
  start_steps_.start();
  dependencies_.worker_client.set_on_unsolicited(
      [this](const Address& worker) { surplus_answers_.note_unsolicited(worker); });
  call_after(dependencies_.dispatcher, knobs_.watch.relayed_workers.batch_delay,
             lifetime_.guard([this] { update_watch_paces(); }));
  route_table_.start();
  workers_copy_.start();
  for (const Duration latest :
       {start_order_.knobs().nodes_at_latest, start_order_.knobs().others_at_latest}) {
    call_after(dependencies_.dispatcher, latest, lifetime_.guard([this] { list_next_tables(); }));
  }
  peers_.start();
  place_origins_in_doubt();
  jobs_.start();
}

// A slot may be freed in the middle of other work. Waiting requests are therefore dispatched in a
// later iteration of the event loop: online requests first, then job items.
void ServingNode::schedule_placement() {
  if (std::exchange(placement_scheduled_, true)) {
    return;
  }
  dependencies_.dispatcher.post(lifetime_.guard([this] {
    placement_scheduled_ = false;
    gateway_.dispatch_waiting();
    jobs_.start_items();
  }));
}

void ServingNode::note_start_step(start_step step) {
  start_steps_.note(step);
  if (not_ready_reason() == nullptr) {
    start_steps_.note(start_step::kReady);
  }
  list_next_tables();
}

void ServingNode::list_next_tables() {
  start_progress progress;
  progress.elapsed = start_steps_.elapsed();
  progress.configuration_listed = route_table_.listed();
  progress.ready = not_ready_reason() == nullptr;
  progress.nodes_listed = node_table_.listed();
  if (!lists_nodes_ && start_order_.list_nodes(progress)) {
    lists_nodes_ = true;
    node_table_.start();
  }
  if (!lists_others_ && start_order_.list_others(progress)) {
    lists_others_ = true;
    const size_t nodes = peers_.announced_nodes();
    const double draw =
        nodes > start_order_.knobs().small_fleet ? dependencies_.random.unit() : 0.0;
    const Duration delay = start_order_.others_delay(nodes, draw);
    call_after(dependencies_.dispatcher, delay, lifetime_.guard([this] {
      job_table_.start();
      quarantine_table_.start();
    }));
  }
}

// Until the loads of the other nodes are known, all workers look idle, and batch items would take
// the slots that the first requests of callers need.
bool ServingNode::may_start_batch() {
  return peers_.loads_known() || start_steps_.elapsed() >= knobs_.start.loads_at_latest;
}

void ServingNode::check_loads_known() {
  if (peers_.loads_known()) {
    note_start_step(start_step::kLoads);
    return;
  }
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  call_after(dependencies_.dispatcher, kPollInterval,
             lifetime_.guard([this] { check_loads_known(); }));
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
  constexpr Duration kUntilRerouted = std::chrono::milliseconds(10);
  const bool unconfigured = !route_watch_.current();
  const Duration draining =
      draining_ ? dependencies_.time_source.monotonic_now() - drain_began_ : Duration(0);
  if (!unconfigured && draining < knobs_.min_drain_time) {
    return std::nullopt;
  }
  Error error =
      not_run(ErrorKind::kUnavailable,
              unconfigured ? "this node has no configuration yet" : "this node is shutting down",
              "retry, or send the request to another node");
  error.retry_after = unconfigured ? kUntilConfigured : kUntilRerouted;
  dependencies_.logger.write(LogLevel::kInfo, "request_refused",
                             {{"request", request_id},
                              {"reason", error.message},
                              {"draining_ms", milliseconds_text(draining)}});
  return error;
}

// Only responses about the configuration table count: a response of the store about any other table
// does not confirm the keys.
bool ServingNode::keys_unconfirmed() const {
  return knobs_.max_unconfirmed_time && route_table_.unconfirmed() > *knobs_.max_unconfirmed_time;
}

Expected<caller_identity> ServingNode::identify(const RouteTable& table, const Route* route,
                                                const std::string& request_id,
                                                std::string_view authorization) const {
  const bool keyed = table.tenants().enabled() && (route == nullptr || !route->open);
  if (keyed && keys_unconfirmed()) {
    return tl::unexpected(
        reject(request_id, not_run(ErrorKind::kUnauthenticated,
                                   "API keys cannot be confirmed at the moment", "none")));
  }
  Expected<caller_identity> caller = identify_caller(table, route, authorization);
  if (!caller) {
    return tl::unexpected(reject(request_id, caller.error()));
  }
  return caller;
}

Error ServingNode::reject_unknown_route(const std::string& request_id,
                                        const std::string& target) const {
  return reject(request_id, not_run(ErrorKind::kNotFound, "no route matches " + target,
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
                    "retry, or send the request to another node");
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
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  call_after(dependencies_.dispatcher, kPollInterval, lifetime_.guard([this] { check_drained(); }));
}

}  // namespace chalkshed
