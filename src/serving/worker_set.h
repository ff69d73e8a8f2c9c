// Tracks the workers known to this node and their load, and holds their slots for requests;
// worker_selection.h selects the worker for each.
#pragma once

#include <algorithm>
#include <array>
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

#include "chalkshed/batch_ramp.h"
#include "chalkshed/batch_room.h"
#include "chalkshed/cold_start_limit.h"
#include "chalkshed/queue_preemption.h"
#include "chalkshed/service_versions.h"
#include "chalkshed/software_id.h"
#include "chalkshed/worker_failures.h"
#include "chalkshed/worker_outcomes.h"
#include "chalkshed/worker_speed.h"
#include "src/core/address.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/core/time.h"
#include "src/serving/prompt_rate.h"
#include "src/serving/serving_protocol.h"
#include "src/serving/serving_request.h"
#include "src/serving/serving_worker.h"
#include "src/serving/worker_knobs.h"
#include "src/serving/worker_selection.h"

namespace chalkshed {

// What the duration of an answer, or of a part of it, was measured by. Each has its own pace.
enum class PaceKind : uint8_t {
  kEvents,       // time between two events
  kWholeAnswer,  // of a request whose work is not counted in tokens
  kFirstEvent,   // time until the first event, by prompt token
};
constexpr size_t kPaceKinds = 3;

// A measured duration that shows how fast a worker is.
struct PaceSample {
  PaceKind kind = PaceKind::kEvents;
  Duration per_unit{0};
  // Total time of the measurement: a slowdown that was reported once does not apply to all of it.
  Duration measured{0};
  // As reported with the answer.
  WorkerLoadReport load;
};

// A slot of a worker that is held by a request of this node; the destructor frees it.
class WorkerSlot {
 public:
  // @param on_freed called when the slot is freed.
  WorkerSlot(WorkerPtr worker, WorkClass work, std::function<void(const WorkerSlot&)> on_freed);
  ~WorkerSlot();
  WorkerSlot(const WorkerSlot&) = delete;
  WorkerSlot& operator=(const WorkerSlot&) = delete;
  ServingWorker& worker() const { return *worker_; }
  WorkClass work() const { return work_; }
  // Whether the worker had no prefill backlog when the slot was acquired.
  bool worker_was_idle = false;
  // The worker refused the request without running it.
  bool refused = false;

 private:
  // Adds `change` to the counts of requests in flight.
  void count(int change);

  WorkerPtr worker_;
  WorkClass work_;
  std::function<void(const WorkerSlot&)> on_freed_;
};
using WorkerSlotPtr = std::unique_ptr<WorkerSlot>;

// Slots of a service at its healthy workers.
struct OnlineSlots {
  uint32_t all = 0;
  uint32_t free = 0;  // not held by online requests
};

class WorkerSet {
 public:
  WorkerSet(TimeSource& time_source, RandomGenerator& random, std::string own_zone,
            const WorkerKnobs& knobs = {});

  // From the source of truth.
  void update(const WorkerRecord& record);
  void remove(const std::string& incarnation);
  // @param may_have_lapsed whether records that are removed now may belong to workers that live,
  // because the store has failed. Only such workers are used as a last resort.
  void set_removals_doubtful(std::function<bool()> may_have_lapsed) {
    removals_doubtful_ = std::move(may_have_lapsed);
  }
  // The worker's record is invalid: it gets no requests, not even as a last resort, until a valid
  // record replaces it.
  void reject(const std::string& incarnation);

  // Workers may have been listed, and removed again, without update() and remove().
  void note_unseen_workers();

  // @return a slot, or null if no worker can take the request now.
  WorkerSlotPtr acquire_slot(const SlotRequest& request);

  // Stops or resumes sending to the workers of a zone, including those listed later.
  // @return the number of workers listed there.
  size_t evacuate(const std::string& zone);
  size_t readmit(const std::string& zone);
  // Whether the service has listed workers and all of them are evacuated, so that waiting for a
  // slot is useless.
  bool all_evacuated(std::string_view service) const;

  // @param longest how far back a stream of the service may have begun.
  // @return the software versions that have served it since then.
  version_span versions(std::string_view service, Duration longest) const;
  // Whether a worker of that software is listed and not leaving, so that a stream may go on there.
  bool serves(std::string_view service, software_id software) const;
  // Listed workers of the service by the version of their software.
  std::map<std::string, uint32_t> workers_by_version(std::string_view service) const;
  // Called when a worker is listed, or listed no more, with the name of its service.
  void set_on_listing_changed(std::function<void(const std::string& service)> callback) {
    on_listing_changed_ = std::move(callback);
  }
  // Called when a worker of a service's second version is listed, or may have been. A stream's
  // version is then no longer known from its service alone.
  void set_on_second_version(std::function<void(const std::string& service)> callback) {
    on_second_version_ = std::move(callback);
  }

  // Sets the limits for cold workers by service; services not in the map have none.
  void set_cold_starts(const std::map<std::string, cold_start>& services);
  // While this node starts: the nodes that may start batch runs, and the time until all of them
  // know of a run.
  void set_batch_sharers(size_t sharers, Duration view_lag);
  void set_own_rank(cold_start_limit::own_rank rank) { cold_limit_.set_own_rank(std::move(rank)); }
  // The list of the other nodes is complete. @return when nodes_changed() must be called for it.
  MonotonicTime note_nodes_listed();
  // Nodes were added or removed, which changes the nodes that may send to each cold worker.
  void nodes_changed();

  // Adds a change in the number of another node's requests in flight at the worker with that hash.
  // @return false if the worker is not known (yet) and the change was ignored.
  bool add_peer_load(uint64_t worker, int32_t online, int32_t batch);

  // Adds prompt tokens that another node has sent to the worker.
  void add_prompt_tokens(uint64_t worker, uint32_t tokens);

  // Merges the outcomes that another node has seen at the worker with that hash.
  // @return the worker if it became suspect, else null.
  WorkerPtr add_peer_outcomes(uint64_t worker, const outcome_times& told);

  // Counts the changes that distant nodes should be told at once: long prompts sent, many requests
  // sent, failures, and successes that clear them. Other changes may reach them later.
  uint64_t notable_changes() const { return notable_changes_; }
  // Counts only the failures, and successes that clear them.
  uint64_t outcome_changes() const { return outcome_changes_; }

  // The first token of a prompt arrived after `took`; the worker had no other prompt to prefill.
  void note_first_token(const ServingWorker& worker, uint32_t prompt_tokens, Duration took);
  // Learns the speed of a worker that reports its slowdown; ignored for others.
  void note_pace(ServingWorker& worker, const PaceSample& sample);

  // Speeds to report to other nodes: samples of this node since they were last taken, and
  // recent reports of slowdowns. Only workers with updates are visited.
  std::vector<worker_speed_entry> take_speed_updates(size_t most);
  // Adds samples of another node.
  void add_peer_speed(const worker_speed_entry& told);
  // Replaces a relay's report on the samples of all nodes.
  void set_shared_speed(const worker_speed_entry& told);
  // @return what this node knows of all samples of the worker; weight 0 if the worker is unknown.
  speed_samples known_speed(uint64_t worker) const;
  // Called when the speed of a worker has become known or has changed notably. `before`: the speed
  // at the last call, or 0.
  void set_on_speed_changed(std::function<void(const ServingWorker&, double before)> callback) {
    on_speed_changed_ = std::move(callback);
  }
  struct SpeedSpread {
    double lowest = 1.0;
    double median = 1.0;
    double highest = 1.0;
  };
  // @return the spread over the workers whose speed is known; visits all workers of the service.
  std::optional<SpeedSpread> speed_spread(std::string_view service) const;
  // Record what an answer of the worker, or its absence, shows.
  void note_report(ServingWorker& worker, const WorkerLoadReport& report);
  void note_success(ServingWorker& worker);
  void note_refusal(ServingWorker& worker);
  // @param sent when the failed request was sent.
  void note_failure(ServingWorker& worker, MonotonicTime sent);
  void note_replaced(ServingWorker& worker);  // another worker has its address

  // Detects workers that fail more requests than others. Null: no worker is avoided for that.
  void set_failures(worker_failures* failures) {
    failures_ = failures;
    selection_.set_failures(failures);
  }
  bool detects_failures() const { return failures_ != nullptr; }
  // Records for the detection how an answer ended, or that it has begun well.
  // @param content the digest of the request. @param sent when the request was sent.
  void note_answer(const ServingWorker& worker, uint64_t content, answer_fault fault,
                   MonotonicTime sent);
  void note_answer_begun(const ServingWorker& worker, uint64_t content, MonotonicTime sent);
  // Called for each failed answer that note_answer() records.
  void set_on_failed_answer(std::function<void(const std::string&, answer_fault)> callback) {
    on_failed_answer_ = std::move(callback);
  }
  // @return the place of the worker with that hash, or nothing if it is unknown.
  std::optional<worker_place> place_of(uint64_t hash) const;
  // The worker with that hash has answered probes: earlier failures no longer hold requests back.
  void note_readmitted(uint64_t hash);

  // Called whenever a slot of any worker becomes free or a worker is added.
  void set_on_slot_freed(std::function<void()> callback) { on_slot_freed_ = std::move(callback); }
  // Called whenever the number of this node's requests in flight changes.
  void set_on_load_changed(std::function<void()> callback) {
    on_load_changed_ = std::move(callback);
  }

  // Called when an online request that its worker did not refuse has freed its slot.
  void set_on_online_ended(std::function<void(const std::string&, Duration)> callback) {
    on_online_ended_ = std::move(callback);
  }

  OnlineSlots online_slots(std::string_view service) const;
  // Whether a request that was sent to the workers `tried` may still get a slot.
  // @param software as in SlotRequest.
  bool may_get_slot(std::string_view service, const std::set<std::string>& tried,
                    software_id software = software_id::kUnknown) const;
  // Free slots of the service as seen by this node.
  uint32_t free_slots(std::string_view service) const;
  bool knows(std::string_view service) const;
  // Expected number of this node's batch runs at the service that should stop now.
  double batch_runs_to_stop(const std::string& service);
  // Workers at which this node has batch runs.
  std::vector<worker_occupancy> workers_with_batch() const;
  // Services at which this node has batch runs.
  std::vector<std::string> services_with_batch() const;
  const std::map<std::string, WorkerPtr>& workers() const { return workers_; }
  // Workers, by hash, at which this node has requests in flight or has seen outcomes that peers
  // must be told. A node uses few of 10,000 workers at a time; searching all of them took a third
  // of its CPU time.
  const std::map<uint64_t, WorkerPtr>& active_workers();
  // @return the worker, or null.
  WorkerPtr find(const std::string& incarnation) const;
  // @return the worker with that hash, or null.
  WorkerPtr find_hash(uint64_t hash) const;
  // Estimated time until the prefill of all prompts sent to the worker is done, as far as known.
  Duration prefill_backlog(const ServingWorker& worker) const;
  // Requests in flight at the worker from all nodes, as far as known.
  uint32_t load_of(const ServingWorker& worker) const;

 private:
  struct Service {
    Service(const batch_room& empty, const batch_ramp& start) : room(empty), ramp(start) {}
    std::vector<WorkerPtr> workers;
    std::shared_ptr<ServiceCounts> counts = std::make_shared<ServiceCounts>();
    batch_room room;
    batch_ramp ramp;
    cold_start cold;
    std::array<service_pace, kPaceKinds> paces;
    service_versions versions;
  };
  Service& service_of(const std::string& name);
  // @return the service, or null if it has never had a worker.
  const Service* find_service(std::string_view name) const;
  void move_to_service(const WorkerPtr& worker, const std::string& name);
  // Counts the worker among those of its software, or no more.
  void set_listed(ServingWorker& worker, bool listed);
  // Ignores suspect and cold workers unless there are no others, because their slots look free but
  // cannot be used. When they were counted, with 13 of 89 workers down, batch work saw 60 free
  // slots in a burst and stopped no runs, and four streams in ten were late.
  service_load load_of_service(const Service& service) const;
  void observe_online(Service& service);
  void note_slot_freed(const WorkerSlot& slot, MonotonicTime acquired);
  void note_speed_update(const WorkerPtr& worker);
  void report_speed_change(ServingWorker& worker);
  void add_prefill(ServingWorker& worker, double tokens);
  WorkerSlotPtr make_slot(SelectedWorker selected, const SlotRequest& request,
                          const Service& service);
  void note_active(const ServingWorker& worker);
  // Drops the workers whose records were removed longer ago than the grace period.
  void drop_expired();
  // Removes a worker or one incarnation of it. Slots that this node still holds there stay counted
  // until they are freed.
  void drop(const WorkerPtr& worker);

  TimeSource& time_source_;
  RandomGenerator& random_;
  std::string own_zone_;
  WorkerKnobs knobs_;
  const MonotonicTime started_;
  const uint64_t order_seed_;  // seed of this node's order offsets
  PromptRate prompt_rate_;
  WorkerSelection selection_;
  std::map<std::string, WorkerPtr> workers_;  // by incarnation
  std::map<uint64_t, WorkerPtr> by_hash_;
  std::map<uint64_t, WorkerPtr> active_;  // may include workers that are no longer active
  std::map<std::string, Service, std::less<>> services_;
  std::set<std::string> evacuated_zones_;
  cold_start_limit cold_limit_;
  // Workers whose records were removed, oldest first. Searching all workers for each record took
  // 5 x 10^7 steps while 10,000 of them were listed.
  struct Unlisted {
    std::weak_ptr<ServingWorker> worker;
    MonotonicTime since{};
  };
  std::deque<Unlisted> unlisted_;
  std::deque<WorkerPtr> speed_updates_;
  std::function<void(const ServingWorker&, double)> on_speed_changed_;
  uint64_t notable_changes_ = 0;
  uint64_t outcome_changes_ = 0;
  uint64_t slots_acquired_ = 0;
  std::function<bool()> removals_doubtful_ = [] { return true; };
  std::function<void()> on_slot_freed_;
  std::function<void()> on_load_changed_;
  worker_failures* failures_ = nullptr;
  std::function<void(const std::string&, answer_fault)> on_failed_answer_;
  std::function<void(const std::string&, Duration)> on_online_ended_;
  std::function<void(const std::string&)> on_second_version_;
  std::function<void(const std::string&)> on_listing_changed_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
