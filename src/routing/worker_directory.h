// The workers and back ends of every service, and which of them are leaving. The sources are the
// machine list (which lags), operators' marks exchanged by gossip, and the workers' own reports.
//
// A worker is leaving if any of the three sources says so for its current incarnation. Only a new
// incarnation or an operator's restore clears that state; a later report of the worker itself
// overrides a restore. An operator's command is meant for the running worker, although the node
// that received it may not know of a restart yet. The command therefore also applies to an
// incarnation that is discovered within `list_lag` after it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"
#include "src/routing/worker.h"

namespace chalkshed {

class WorkerDirectory {
 public:
  WorkerDirectory(const NodeIdentity& identity, NodeDependencies& dependencies, Gossip& gossip,
                  const RoutingKnobs& knobs);

  // Starts fetching the machine list and subscribes to gossip.
  void start();
  // Workers of a service that are not dropped, ordered by id, including leaving ones.
  const std::vector<WorkerHandle>& workers(const std::string& service) const;
  const std::map<WorkerId, WorkerHandle>& all() const { return workers_; }
  WorkerHandle find(const WorkerId& id) const;

  // Applies a worker's own load report, including its incarnation and whether it is leaving.
  // @param lag age of the report on arrival.
  void observe_report(Worker& worker, const EngineLoad& load, Duration lag = Duration(0));
  TypicalLoad typical_load(const std::string& service) const;
  // Operator commands. @return false if the worker is unknown.
  bool drain(const WorkerId& id);
  bool restore(const WorkerId& id);
  // Calls `callback` after workers were added, removed or changed their leaving state.
  void subscribe(std::function<void()> callback) { subscribers_.push_back(std::move(callback)); }

 private:
  // The latest known mark of a worker id, whether the worker is listed or not.
  struct Mark {
    uint64_t version = 0;
    uint64_t incarnation = 0;
    bool leaving = false;
    LeavingSource source = LeavingSource::kNobody;
  };
  // State of a worker id with respect to the machine list.
  struct Listing {
    uint32_t missing_fetches = 0;
    uint32_t listed_fetches = 0;
    uint64_t dropped_incarnation = 0;  // 0: not dropped
    std::optional<MachineState> state;
    // An operator restored the worker while the list showed it as leaving: the list is ignored
    // until it has shown the worker as live again.
    bool overruled = false;
  };

  void fetch();
  void fetched(uint64_t number, const Expected<MachineListSnapshot>& snapshot);
  void apply_list(const MachineListSnapshot& snapshot);
  void apply_machine(const Machine& machine);
  void apply_list_state(Worker& worker, MachineState state, Listing& listing);
  void apply_missing(const std::set<WorkerId>& listed);
  void apply_gossip(const GossipEntry& entry);
  WorkerHandle add(const Machine& machine);
  void start_incarnation(Worker& worker, uint64_t incarnation);
  void drop(const WorkerHandle& worker);
  bool restored(const Worker& worker) const;
  bool apply_order(const WorkerId& id, bool leaving);
  void mark_leaving(Worker& worker, LeavingSource source);
  // Whether an operator's command is so recent that it may be meant for a newer incarnation.
  bool recent_order(const Mark& mark) const;
  void extend_recent_order(Worker& worker);
  void set_mark(const WorkerId& id, const Mark& mark);
  void publish(const WorkerId& id, const Mark& mark);
  void refresh_leaving(Worker& worker);
  void rebuild_services();
  void notify_if_changed();

  NodeId node_id_;
  NodeDependencies dependencies_;
  Gossip& gossip_;
  DirectoryKnobs knobs_;
  EstimateKnobs estimate_;
  bool marks_respected_;
  std::map<WorkerId, WorkerHandle> workers_;
  std::map<std::string, std::vector<WorkerHandle>> by_service_;
  std::map<std::string, TypicalLoad> typical_loads_;
  std::map<WorkerId, Mark> marks_;
  std::map<WorkerId, Listing> listings_;
  std::vector<std::function<void()>> subscribers_;
  bool changed_ = false;
  uint64_t fetches_started_ = 0;
  uint64_t newest_fetch_applied_ = 0;
  uint64_t applied_revision_ = 0;  // of the list; 0: not known
  TimerPtr fetch_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
