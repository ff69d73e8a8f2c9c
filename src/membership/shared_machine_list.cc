#include "src/membership/shared_machine_list.h"

#include <algorithm>
#include <utility>

#include "src/membership/machine_message.h"

namespace chalkshed {
namespace {

Error list_unavailable() {
  return not_run(ErrorKind::kStoreUnavailable, "the machine list cannot be read at the moment",
                 "retry in a second");
}

}  // namespace

SharedMachineList::SharedMachineList(NodeDependencies& dependencies, SharedMachineListKnobs knobs)
    : dependencies_(dependencies),
      knobs_(knobs),
      reads_(dependencies.metrics.counter("chalkshed_machine_list_readings_total",
                                          "Readings of the platform's machine list", {})) {}

void SharedMachineList::attach(Gossip& gossip) {
  gossip_ = &gossip;
  gossip.subscribe(std::string(kMachineGossipKind),
                   lifetime_.guard([this](const GossipEntry& entry) { on_entry(entry); }));
}

void SharedMachineList::fetch(Callback<MachineListSnapshot> callback) {
  const bool due = dependencies_.time_source.monotonic_now() >= next_read_;
  if (!due && !loaded_) {
    dependencies_.dispatcher.post(lifetime_.guard(
        [callback = std::move(callback)] { callback(tl::unexpected(list_unavailable())); }));
    return;
  }
  if (!due) {
    dependencies_.dispatcher.post(
        lifetime_.guard([this, callback = std::move(callback)] { callback(snapshot()); }));
    return;
  }
  waiting_.push_back(std::move(callback));
  if (!reading_) {
    start_read();
  }
}

void SharedMachineList::start_read() {
  reading_ = true;
  reads_.add(1);
  dependencies_.machine_list.fetch(
      lifetime_.guard([this](Expected<MachineListSnapshot> list) { on_read(std::move(list)); }));
}

void SharedMachineList::on_read(Expected<MachineListSnapshot> list) {
  reading_ = false;
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  if (!list) {
    next_read_ = now + knobs_.retry_interval;
    complete_waiting(tl::unexpected(std::move(list.error())));
    return;
  }
  shared_ = shared(list->machines.size());
  next_read_ = shared_ ? now + read_interval(list->machines.size()) : now;
  apply_list(std::move(list->machines));
  complete_waiting(snapshot());
}

bool SharedMachineList::shared(size_t machines) const {
  return gossip_ != nullptr && machines * knobs_.bytes_per_machine > knobs_.small_list_bytes;
}

Duration SharedMachineList::read_interval(size_t machines) {
  const size_t bytes = machines * knobs_.bytes_per_machine;
  // Between 0.5 and 1.5 intervals, so that nodes do not read at the same time. After the first read
  // the delay is shorter, 0 to 1 intervals, because nodes that start together read together.
  const double seconds = static_cast<double>(bytes) / knobs_.bytes_per_second;
  const double factor = (loaded_ ? 0.5 : 0.0) + dependencies_.random.unit();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * factor));
}

void SharedMachineList::apply_list(std::vector<Machine> machines) {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  std::map<std::string, Known> updated;
  std::vector<Machine> changes;
  for (Machine& machine : machines) {
    const auto known = machines_.find(machine.id);
    const bool is_known = known != machines_.end();
    const uint64_t known_version = is_known ? machine_version(known->second.machine) : 0;
    const bool newer = !is_known || machine_version(machine) > known_version;
    // The list may be stale; an announcement of another node may be newer.
    const bool superseded = is_known && known->second.announced_at &&
                            now - *known->second.announced_at < knobs_.announcement_lifetime &&
                            machine_version(machine) < known_version;
    const bool announce = machine.role != MachineRole::kNode;  // nodes are tracked by membership
    if (shared_ && loaded_ && newer && announce) {
      changes.push_back(machine);
    }
    Known& entry = updated[machine.id];
    entry = superseded ? known->second : Known{std::move(machine), std::nullopt};
  }
  for (const auto& [id, known] : machines_) {
    const bool recently_announced =
        known.announced_at && now - *known.announced_at < knobs_.announcement_lifetime;
    if (recently_announced && !updated.contains(id)) {
      updated.emplace(id, known);
    }
  }
  machines_ = std::move(updated);
  ++revision_;
  if (changes.size() <= knobs_.max_announced_changes) {
    for (const Machine& machine : changes) {
      gossip_->publish(encode_machine(machine));
    }
  }
  if (!std::exchange(loaded_, true) && shared_) {
    for (const GossipEntry& entry : gossip_->entries(std::string(kMachineGossipKind))) {
      on_entry(entry);
    }
  }
}

void SharedMachineList::on_entry(const GossipEntry& entry) {
  std::optional<Machine> machine = decode_machine(entry);
  if (!machine || !loaded_ || !shared_) {
    return;
  }
  const auto known = machines_.find(machine->id);
  const bool newer = known == machines_.end() ||
                     machine_version(*machine) > machine_version(known->second.machine);
  if (newer) {
    const std::string id = machine->id;
    machines_[id] = Known{std::move(*machine), dependencies_.time_source.monotonic_now()};
    ++revision_;
  }
}

MachineListSnapshot SharedMachineList::snapshot() const {
  MachineListSnapshot snapshot;
  // Each read of a small list counts as a new revision, even without changes.
  snapshot.revision = shared_ ? revision_ : 0;
  snapshot.machines.reserve(machines_.size());
  for (const auto& [id, known] : machines_) {
    snapshot.machines.push_back(known.machine);
  }
  return snapshot;
}

void SharedMachineList::complete_waiting(const Expected<MachineListSnapshot>& result) {
  std::vector<Callback<MachineListSnapshot>> waiting = std::move(waiting_);
  waiting_.clear();
  for (const Callback<MachineListSnapshot>& callback : waiting) {
    callback(result);
  }
}

}  // namespace chalkshed
