// The workers that this node knows, what it has in flight at each, and which of them takes the next
// request.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/batch_room.h"
#include "chalkshed/cold_start_limit.h"
#include "chalkshed/worker_outcomes.h"
#include "src/core/address.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/core/time.h"
#include "src/serving/prompt_rate.h"
#include "src/serving/serving_protocol.h"
#include "src/serving/serving_request.h"
#include "src/serving/worker_knobs.h"

namespace chalkshed {

// What the source of truth tells of a worker. A start of a worker is told by its name and time.
struct WorkerRecord {
  std::string incarnation;
  std::string service;
  Address address;
  std::string zone;
  uint32_t slots = 1;
  bool leaving = false;
  // When it started, where it says so: it may start again under its name. The epoch: not said.
  WallTime started{};
  Duration cold_left{0};  // it says that it stays cold for so long
};

enum class WorkClass { kOnline, kBatch };

// What is in flight at all workers of a service together. Kept with each change: summed over all
// workers for each load that a peer tells, it took 45 in 100 of a core at 3,000 workers.
struct ServiceCounts {
  int64_t online = 0;     // of all nodes, as far as known
  int64_t own_batch = 0;  // of this node
};

// One worker as this node sees it.
struct ServingWorker {
  WorkerRecord record;
  std::shared_ptr<ServiceCounts> counts;  // of its service
  uint64_t hash = 0;     // 32 bits of the incarnation's; names the worker between nodes
  double own_order = 0;  // in [0, 1): its position in this node's order among the workers
  bool listed = true;    // false: its record is gone
  MonotonicTime unlisted_since{};
  bool evacuated = false;  // with its zone
  cold_state cold;
  uint32_t online_in_flight = 0;  // of this node
  uint32_t batch_in_flight = 0;
  // What the other nodes have in flight there, as far as told.
  int32_t others_online = 0;
  int32_t others_batch = 0;
  // Prompt tokens that this node has sent there; wraps.
  uint32_t prompt_tokens_sent = 0;
  // When it will have read all prompts that any node has sent there, as far as known.
  MonotonicTime reading_until{};
  // The worker's own report, beside an answer.
  std::optional<WorkerLoadReport> report;
  MonotonicTime reported{};
  uint32_t in_flight_when_reported = 0;
  // Another worker has its address, as that one says.
  bool replaced = false;
  // Refused lately: not chosen before this time unless nothing else is left.
  MonotonicTime avoided_until{};
  worker_outcomes outcomes;

  uint32_t in_flight() const { return online_in_flight + batch_in_flight; }
  // A worker that was listed after a peer reported its load may show less than nothing.
  int64_t online_of_others() const { return std::max(others_online, 0); }
};
using WorkerPtr = std::shared_ptr<ServingWorker>;

// A place at a worker that a request of this node takes; giving it up frees it.
class WorkerSlot {
 public:
  // @param on_freed called when it is given up.
  WorkerSlot(WorkerPtr worker, WorkClass work, std::function<void()> on_freed);
  ~WorkerSlot();
  WorkerSlot(const WorkerSlot&) = delete;
  WorkerSlot& operator=(const WorkerSlot&) = delete;
  ServingWorker& worker() const { return *worker_; }
  // Whether the worker had no other prompt to read when the place was taken.
  bool worker_was_idle = false;

 private:
  // Adds one to what is in flight, or takes it away.
  void count(int change);

  WorkerPtr worker_;
  WorkClass work_;
  std::function<void()> on_freed_;
};
using WorkerSlotPtr = std::unique_ptr<WorkerSlot>;

// What is wanted of a worker.
struct SlotRequest {
  std::string service;
  WorkClass work = WorkClass::kOnline;
  const ServingRequest* request = nullptr;
  // Incarnations that were asked before; chosen only when nothing else is left.
  const std::set<std::string>* tried = nullptr;
  // It may be run again elsewhere, so that it may go to a worker that is suspect.
  bool repeatable = false;
  // Of batch work: what must start soon to be in time leaves less room for online work.
  batch_urgency urgency = batch_urgency::kNormal;
  // Take a worker even when all places of all workers are taken.
  bool even_if_full = false;
  // It may end its worker: takes the one with the fewest other requests, which would end with it.
  bool alone = false;
};

class WorkerSet {
 public:
  WorkerSet(TimeSource& time_source, RandomGenerator& random, std::string own_zone,
            const WorkerKnobs& knobs = {});

  // From the source of truth.
  void update(const WorkerRecord& record);
  void remove(const std::string& incarnation);
  // Its record cannot be read: it takes nothing new, not even as a last resort, until one can.
  void reject(const std::string& incarnation);

  // @return a place, or null when no worker may take the request now.
  WorkerSlotPtr acquire_slot(const SlotRequest& request);

  // The operator wants nothing more sent to the workers of that zone, also those that are listed
  // later, or wants it again. @return how many workers are listed there.
  size_t evacuate(const std::string& zone);
  size_t readmit(const std::string& zone);
  // Whether workers of the service are listed, and all of them are evacuated: waiting is in vain.
  bool all_evacuated(std::string_view service) const;

  // What cold workers bear, by service; a service that is not named has no limit.
  void set_cold_starts(const std::map<std::string, cold_start>& services);
  void set_own_rank(cold_start_limit::own_rank rank) { cold_limit_.set_own_rank(std::move(rank)); }
  // The other nodes have been listed. @return when nodes_changed() is to be called for it.
  MonotonicTime note_nodes_listed();
  // Nodes have been announced or removed: other ones may send to cold workers now.
  void nodes_changed();

  // What another node has in flight at the worker of that hash has changed by so much.
  // @return false when the worker is not known (yet): nothing has been counted.
  bool add_peer_load(uint64_t worker, int32_t online, int32_t batch);

  // Another node has sent the worker prompts of so many tokens.
  void add_prompt_tokens(uint64_t worker, uint32_t tokens);

  // What another node has seen of the outcomes at the worker of that hash.
  // @return the worker if it became suspect by it, else null.
  WorkerPtr add_peer_outcomes(uint64_t worker, const outcome_times& told);

  // Counts what nodes far away should hear of at once: long prompts sent, many requests sent,
  // failures, successes that clear them. The rest may reach them later.
  uint64_t notable_changes() const { return notable_changes_; }
  // The failures, and successes that clear them, among these.
  uint64_t outcome_changes() const { return outcome_changes_; }

  // The first token of a prompt came after `took`; the worker had nothing else to read.
  void note_first_token(uint32_t prompt_tokens, Duration took) {
    prompt_rate_.add_sample(prompt_tokens, took);
  }
  // What the answers of a worker tell.
  void note_report(ServingWorker& worker, const WorkerLoadReport& report);
  void note_success(ServingWorker& worker);
  void note_refusal(ServingWorker& worker);
  // @param sent when the failed request was sent.
  void note_failure(ServingWorker& worker, MonotonicTime sent);
  void note_replaced(ServingWorker& worker);  // another worker has its address

  // Called whenever a place at any worker becomes free or a worker appears.
  void set_on_slot_freed(std::function<void()> callback) { on_place_freed_ = std::move(callback); }
  // Called whenever what this node has in flight changes.
  void set_on_load_changed(std::function<void()> callback) {
    on_load_changed_ = std::move(callback);
  }

  // Places of the service that are free by this node's view.
  uint32_t free_slots(std::string_view service) const;
  bool knows(std::string_view service) const;
  // How many batch runs of this node at the service should stop now, in the mean.
  double batch_runs_to_stop(const std::string& service);
  // Services at whose workers this node has batch runs.
  std::vector<std::string> services_with_batch() const;
  const std::map<std::string, WorkerPtr>& workers() const { return workers_; }
  // Workers, by hash, at which this node has requests in flight or has seen outcomes that peers
  // should hear of. Of 10,000 workers a node uses a few: looking for them took a third of its
  // processor time.
  const std::map<uint64_t, WorkerPtr>& active_workers();
  // @return the worker, or null.
  WorkerPtr find(const std::string& incarnation) const;
  // @return the worker of that hash, or null.
  WorkerPtr find_hash(uint64_t hash) const;
  // Time until the worker has read all prompts that were sent there, as far as known.
  Duration prefill_backlog(const ServingWorker& worker) const;
  // All requests at the worker, of all nodes, as far as known.
  uint32_t load_of(const ServingWorker& worker) const;

 private:
  struct Service {
    explicit Service(const batch_room& empty) : room(empty) {}
    std::vector<WorkerPtr> workers;
    std::shared_ptr<ServiceCounts> counts = std::make_shared<ServiceCounts>();
    batch_room room;
    cold_start cold;
  };
  // The workers to which requests with this shared prompt are sent first, the first one first.
  using PrefixOwners = std::vector<const ServingWorker*>;
  // One choice of a worker: what is wanted, and what all candidates are judged by.
  struct Choice {
    const SlotRequest& request;
    const Service& service;
    MonotonicTime now;
    PrefixOwners owners;
  };

  Service& service_of(const std::string& name);
  // @return the service, or null if it has never had a worker.
  const Service* find_service(std::string_view name) const;
  void move_to_service(const WorkerPtr& worker, const std::string& name);
  uint32_t load_at(const ServingWorker& worker, MonotonicTime now) const;
  static bool leaves(const ServingWorker& worker) {
    return worker.record.leaving || worker.replaced || worker.evacuated;
  }
  static bool stays(const ServingWorker& worker) { return worker.listed && !leaves(worker); }
  bool usable(const ServingWorker& worker, const Choice& choice) const;
  // Without workers that are suspect or cold, unless all are: their places look free and are none.
  // With 13 of 89 workers down, batch saw 60 free places in a burst, gave nothing back, and four
  // streams in ten were late.
  service_load load_of_service(const Service& service) const;
  void observe_online(Service& service);
  void note_place_freed();
  // Milliseconds until the first token of the request, roughly.
  // @param kept tokens of its prompt that the worker need not read again.
  double cost(const ServingWorker& worker, const Choice& choice, double kept) const;
  PrefixOwners prefix_owners(const SlotRequest& request, const Service& service) const;
  // Tokens of the prompt that the worker likely need not read again.
  double kept_tokens(const Choice& choice, const ServingWorker& worker) const;
  void add_reading(ServingWorker& worker, double tokens);
  static bool sound(const ServingWorker& worker, const Choice& choice);
  static bool tried(const ServingWorker& worker, const SlotRequest& request);
  // Whether a sound worker exists that was not asked before, with room or without.
  static bool any_sound(const Choice& choice);
  WorkerPtr choose(const Choice& choice, bool ignore_failures);
  // What decides among workers; the least is chosen. @param cost in milliseconds.
  double rank_of(const ServingWorker& worker, double cost);
  WorkerSlotPtr make_place(WorkerPtr worker, const Choice& choice);
  void note_active(const ServingWorker& worker);
  // Drops the workers whose records have been gone for too long.
  void forget_old();
  // The worker, or this start of it, is gone. Places that this node still holds there are counted
  // until they are given up.
  void drop(const WorkerPtr& worker);

  TimeSource& time_source_;
  RandomGenerator& random_;
  std::string own_zone_;
  WorkerKnobs knobs_;
  const MonotonicTime started_;
  const uint64_t own_order_;  // seed of this node's order among the workers
  PromptRate prompt_rate_;
  std::map<std::string, WorkerPtr> workers_;  // by incarnation
  std::map<uint64_t, WorkerPtr> by_hash_;
  std::map<uint64_t, WorkerPtr> active_;  // and some that are so no more
  std::map<std::string, Service, std::less<>> services_;
  std::set<std::string> evacuated_zones_;
  cold_start_limit cold_limit_;
  // Workers whose records were removed, the first one first. Looked through whole for each record,
  // the workers took 5 x 10^7 steps while 10,000 of them were listed.
  struct Unlisted {
    std::weak_ptr<ServingWorker> worker;
    MonotonicTime since{};
  };
  std::deque<Unlisted> unlisted_;
  uint64_t notable_changes_ = 0;
  uint64_t outcome_changes_ = 0;
  uint64_t places_taken_ = 0;
  std::function<void()> on_place_freed_;
  std::function<void()> on_load_changed_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
