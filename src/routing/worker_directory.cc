#include "src/routing/worker_directory.h"

#include <algorithm>

#include "src/routing/routing_messages_generated.h"

namespace chalkshed {
namespace {

constexpr std::string_view kDrainMarkKind = "drain_mark";

// Operator commands have wall-clock versions, which are far above the counters of other sources.
// The low bits identify the sender, so that two commands in the same microsecond differ.
constexpr unsigned kSenderBits = 8;

uint64_t order_version(const TimeSource& time_source, const std::string& key, uint64_t known) {
  const auto micros = static_cast<uint64_t>(time_source.wall_now().time_since_epoch().count());
  const uint64_t sender = std::hash<std::string>{}(key) & ((1U << kSenderBits) - 1);
  return std::max(known + 1, (micros << kSenderBits) | sender);
}

bool is_worker(const Machine& machine) { return machine.role != MachineRole::kNode; }

}  // namespace

std::string_view leaving_source_name(LeavingSource source) {
  switch (source) {
    case LeavingSource::kMachineList:
      return "machine_list";
    case LeavingSource::kOwnReport:
      return "own_report";
    case LeavingSource::kOperator:
      return "operator";
    case LeavingSource::kNobody:
      break;
  }
  return "";
}

WorkerDirectory::WorkerDirectory(const NodeIdentity& identity, NodeDependencies& dependencies,
                                 Gossip& gossip, const RoutingKnobs& knobs)
    : node_id_(identity.id),
      dependencies_(dependencies),
      gossip_(gossip),
      knobs_(knobs.directory),
      estimate_(knobs.estimate),
      marks_respected_(knobs.safeguards.drain_marks_respected) {}

void WorkerDirectory::start() {
  const std::string kind(kDrainMarkKind);
  for (const GossipEntry& entry : gossip_.entries(kind)) {
    apply_gossip(entry);
  }
  gossip_.subscribe(kind,
                    lifetime_.guard([this](const GossipEntry& entry) { apply_gossip(entry); }));
  fetch_timer_ = dependencies_.dispatcher.create_timer([this] { fetch(); });
  fetch();
}

const std::vector<WorkerHandle>& WorkerDirectory::workers(const std::string& service) const {
  static const std::vector<WorkerHandle> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

WorkerHandle WorkerDirectory::find(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second;
}

void WorkerDirectory::fetch() {
  const uint64_t number = ++fetches_started_;
  dependencies_.machine_list.fetch(
      lifetime_.guard([this, number](const Expected<MachineListSnapshot>& snapshot) {
        fetched(number, snapshot);
      }));
  const double stretch = 1.0 + knobs_.fetch_jitter * dependencies_.random.unit();
  fetch_timer_->enable(std::chrono::duration_cast<Duration>(knobs_.fetch_interval * stretch));
}

void WorkerDirectory::fetched(uint64_t number, const Expected<MachineListSnapshot>& snapshot) {
  // A failed fetch keeps the last list; an answer that arrives after that of a later fetch is
  // stale.
  if (!snapshot || number < newest_fetch_applied_) {
    return;
  }
  newest_fetch_applied_ = number;
  if (snapshot->revision != 0 && snapshot->revision == applied_revision_) {
    return;
  }
  applied_revision_ = snapshot->revision;
  apply_list(*snapshot);
}

void WorkerDirectory::apply_list(const MachineListSnapshot& snapshot) {
  std::set<WorkerId> listed;
  for (const Machine& machine : snapshot.machines) {
    if (is_worker(machine)) {
      listed.insert(machine.id);
      apply_machine(machine);
    }
  }
  apply_missing(listed);
  notify_if_changed();
}

void WorkerDirectory::apply_machine(const Machine& machine) {
  Listing& listing = listings_[machine.id];
  listing.missing_fetches = 0;
  WorkerHandle worker = find(machine.id);
  if (worker == nullptr) {
    ++listing.listed_fetches;
    const bool returns = machine.incarnation <= listing.dropped_incarnation;
    if (returns && listing.listed_fetches < knobs_.listed_fetches_until_returned) {
      return;
    }
    listing.dropped_incarnation = 0;
    worker = add(machine);
  }
  if (machine.incarnation < worker->incarnation) {
    return;  // the list does not show the worker's restart yet
  }
  if (machine.incarnation > worker->incarnation) {
    start_incarnation(*worker, machine.incarnation);
  }
  if (worker->address != machine.address) {
    worker->address = machine.address;
    changed_ = true;
  }
  apply_list_state(*worker, machine.state, listing);
}

void WorkerDirectory::apply_list_state(Worker& worker, MachineState state, Listing& listing) {
  const bool leaving = state == MachineState::kLeaving;
  if (!marks_respected_) {
    worker.leaving_source = leaving ? LeavingSource::kMachineList : LeavingSource::kNobody;
    return;
  }
  if (!listing.state) {
    // First listing: if the latest mark is a restore, no node has marked the worker as leaving
    // since.
    listing.overruled = leaving && restored(worker);
  }
  listing.state = state;
  if (!leaving) {
    listing.overruled = false;
    return;
  }
  if (!listing.overruled) {
    mark_leaving(worker, LeavingSource::kMachineList);
  }
}

void WorkerDirectory::apply_missing(const std::set<WorkerId>& listed) {
  std::vector<WorkerHandle> gone;
  for (const auto& [id, worker] : workers_) {
    if (listed.contains(id)) {
      continue;
    }
    Listing& listing = listings_[id];
    listing.listed_fetches = 0;
    if (++listing.missing_fetches >= knobs_.missing_fetches_until_dropped) {
      gone.push_back(worker);
    }
  }
  for (auto& [id, listing] : listings_) {
    if (!listed.contains(id)) {
      listing.listed_fetches = 0;
    }
  }
  for (const WorkerHandle& worker : gone) {
    drop(worker);
  }
}

WorkerHandle WorkerDirectory::add(const Machine& machine) {
  auto worker = std::make_shared<Worker>();
  worker->id = machine.id;
  worker->address = machine.address;
  worker->service = machine.service;
  worker->zone = machine.zone;
  worker->region = machine.region;
  worker->role = machine.role;
  worker->incarnation = machine.incarnation;
  workers_.emplace(worker->id, worker);
  rebuild_services();
  extend_recent_order(*worker);
  refresh_leaving(*worker);
  changed_ = true;
  return worker;
}

void WorkerDirectory::start_incarnation(Worker& worker, uint64_t incarnation) {
  worker.incarnation = incarnation;
  worker.load.reset_reports();
  worker.health.reset();
  listings_[worker.id].overruled = false;
  listings_[worker.id].state.reset();
  extend_recent_order(worker);
  refresh_leaving(worker);
  changed_ = true;
}

void WorkerDirectory::drop(const WorkerHandle& worker) {
  Listing& listing = listings_[worker->id];
  listing.dropped_incarnation = worker->incarnation;
  listing.missing_fetches = 0;
  worker->dropped = true;
  workers_.erase(worker->id);
  rebuild_services();
  changed_ = true;
}

void WorkerDirectory::observe_report(Worker& worker, const EngineLoad& load, Duration lag) {
  if (load.incarnation != 0 && load.incarnation < worker.incarnation) {
    return;
  }
  if (load.incarnation > worker.incarnation) {
    start_incarnation(worker, load.incarnation);
  }
  worker.load.report(load, dependencies_.time_source.monotonic_now() - lag, estimate_);
  TypicalLoad& typical = typical_loads_[worker.service];
  constexpr double kSmoothing = 0.005;
  const double online = load.running_online + load.waiting_online;
  typical.online_sequences += kSmoothing * (online - typical.online_sequences);
  typical.batch_sequences += kSmoothing * (load.running_batch - typical.batch_sequences);
  if (load.leaving && marks_respected_) {
    mark_leaving(worker, LeavingSource::kOwnReport);
  }
  notify_if_changed();
}

TypicalLoad WorkerDirectory::typical_load(const std::string& service) const {
  const auto found = typical_loads_.find(service);
  return found == typical_loads_.end() ? TypicalLoad{} : found->second;
}

bool WorkerDirectory::drain(const WorkerId& id) { return apply_order(id, true); }

bool WorkerDirectory::restore(const WorkerId& id) { return apply_order(id, false); }

bool WorkerDirectory::apply_order(const WorkerId& id, bool leaving) {
  const WorkerHandle worker = find(id);
  if (worker == nullptr) {
    return false;
  }
  Mark mark = marks_[id];
  mark.version = order_version(dependencies_.time_source, node_id_, mark.version);
  mark.incarnation = std::max(mark.incarnation, worker->incarnation);
  mark.leaving = leaving;
  mark.source = LeavingSource::kOperator;
  set_mark(id, mark);
  publish(id, mark);
  notify_if_changed();
  return true;
}

// All nodes build the same mark from the same source, so concurrent publications agree.
void WorkerDirectory::mark_leaving(Worker& worker, LeavingSource source) {
  Mark mark = marks_[worker.id];
  if (mark.leaving && mark.incarnation >= worker.incarnation) {
    return;
  }
  ++mark.version;
  mark.incarnation = worker.incarnation;
  mark.leaving = true;
  mark.source = source;
  set_mark(worker.id, mark);
  publish(worker.id, mark);
}

bool WorkerDirectory::recent_order(const Mark& mark) const {
  if (mark.source != LeavingSource::kOperator) {
    return false;
  }
  const WallTime ordered_at(Duration(static_cast<Duration::rep>(mark.version >> kSenderBits)));
  return dependencies_.time_source.wall_now() - ordered_at <= knobs_.list_lag;
}

void WorkerDirectory::extend_recent_order(Worker& worker) {
  const auto found = marks_.find(worker.id);
  if (found == marks_.end() || found->second.incarnation >= worker.incarnation ||
      !found->second.leaving || !recent_order(found->second)) {
    return;
  }
  Mark& mark = found->second;
  ++mark.version;
  mark.incarnation = worker.incarnation;
  publish(worker.id, mark);
}

bool WorkerDirectory::restored(const Worker& worker) const {
  const auto mark = marks_.find(worker.id);
  return mark != marks_.end() && mark->second.version != 0 && !mark->second.leaving &&
         mark->second.incarnation >= worker.incarnation;
}

void WorkerDirectory::set_mark(const WorkerId& id, const Mark& mark) {
  marks_[id] = mark;
  if (!mark.leaving) {
    Listing& listing = listings_[id];
    listing.overruled = listing.state == MachineState::kLeaving;
  }
  if (const WorkerHandle worker = find(id)) {
    refresh_leaving(*worker);
  }
}

void WorkerDirectory::publish(const WorkerId& id, const Mark& mark) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateDrainMark(builder, mark.incarnation, mark.leaving,
                                       static_cast<uint8_t>(mark.source)));
  GossipEntry entry;
  entry.kind = kDrainMarkKind;
  entry.key = id;
  entry.version = mark.version;
  entry.value.assign(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  gossip_.publish(std::move(entry));
}

void WorkerDirectory::apply_gossip(const GossipEntry& entry) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(entry.value.data());
  flatbuffers::Verifier verifier(bytes, entry.value.size());
  if (!verifier.VerifyBuffer<wire::DrainMark>(nullptr)) {
    return;
  }
  const auto* message = flatbuffers::GetRoot<wire::DrainMark>(bytes);
  Mark& known = marks_[entry.key];
  if (entry.version <= known.version) {
    return;
  }
  Mark mark;
  mark.version = entry.version;
  mark.incarnation = message->incarnation();
  mark.leaving = message->leaving();
  mark.source = static_cast<LeavingSource>(message->source());
  if (mark.incarnation < known.incarnation) {
    // The mark does not apply to the newer incarnation known here, unless it is a recent operator
    // command. Publish the mark of the newer incarnation with a higher version.
    if (!recent_order(mark)) {
      mark = known;
    }
    mark.incarnation = known.incarnation;
    mark.version = entry.version + 1;
    publish(entry.key, mark);
  }
  set_mark(entry.key, mark);
  if (const WorkerHandle worker = find(entry.key)) {
    extend_recent_order(*worker);
    refresh_leaving(*worker);
  }
  notify_if_changed();
}

void WorkerDirectory::refresh_leaving(Worker& worker) {
  if (!marks_respected_) {
    return;
  }
  const auto mark = marks_.find(worker.id);
  const bool marked = mark != marks_.end() && mark->second.leaving &&
                      mark->second.incarnation >= worker.incarnation;
  const LeavingSource source = marked ? mark->second.source : LeavingSource::kNobody;
  if (source != worker.leaving_source) {
    worker.leaving_source = source;
    changed_ = true;
  }
}

void WorkerDirectory::rebuild_services() {
  by_service_.clear();
  for (const auto& [id, worker] : workers_) {
    by_service_[worker->service].push_back(worker);
  }
}

void WorkerDirectory::notify_if_changed() {
  if (!changed_) {
    return;
  }
  changed_ = false;
  for (const auto& subscriber : subscribers_) {
    subscriber();
  }
}

}  // namespace chalkshed
