// In-memory platform services with fault injection: transactional table, object store and machine
// list. One EmulatedPlatform holds the data; every node has its own client objects, so that a
// single node can be partitioned. Deterministic: time and randomness are injected.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/delayed_calls.h"
#include "emulator/memory_table.h"
#include "src/core/random.h"
#include "src/platform/machine_list.h"
#include "src/platform/object_store.h"
#include "src/platform/table_store.h"

namespace chalkshed {

// Injected faults of one service; may be changed while it runs.
struct ServiceFaults {
  Duration base_latency = std::chrono::milliseconds(2);  // round trip
  Duration latency_jitter{0};  // uniformly distributed, added in each direction
  double slowness = 1.0;       // multiplies the latency
  bool outage = false;         // connections are refused
  // Probability that a change is applied but its response is lost.
  double lost_answer_probability = 0;
  // Time after which a caller stops waiting for a response.
  Duration answer_timeout = std::chrono::seconds(2);
  double operations_per_second = 0;  // rate limit; 0: none
  double operation_burst = 100;      // token bucket capacity of the rate limit
};

// Operations received by a service, by outcome.
struct ServiceCounters {
  uint64_t served = 0;
  uint64_t rate_limited = 0;
  uint64_t refused = 0;  // because of an outage
  uint64_t answers_lost = 0;
};

// Server side of one service: faults, rate limit and counters.
class EmulatedService {
 public:
  EmulatedService(const TimeSource& time_source, RandomGenerator& random)
      : time_source_(time_source), random_(random) {}

  ServiceFaults faults;
  ServiceCounters counters;

  // @return the error if the service refuses an operation now.
  std::optional<Error> refusal();
  // @return delay of one direction of a call.
  Duration one_way_latency();
  // @return whether the response to a change that was just applied is lost.
  bool loses_response();

 private:
  const TimeSource& time_source_;
  RandomGenerator& random_;
  double tokens_ = 0;
  std::optional<MonotonicTime> refilled_at_;
};

class EmulatedPlatform {
 public:
  using Object = std::shared_ptr<const std::string>;

  // @param dispatcher event loop of the platform, on which operations take effect.
  EmulatedPlatform(const TimeSource& time_source, Dispatcher& dispatcher, RandomGenerator& random);

  EmulatedService& table_service() { return table_service_; }
  EmulatedService& object_service() { return object_service_; }
  EmulatedService& machine_service() { return machine_service_; }
  const EmulatedService& table_service() const { return table_service_; }
  const EmulatedService& object_service() const { return object_service_; }
  const EmulatedService& machine_service() const { return machine_service_; }

  MemoryTable& table() { return table_; }
  std::map<std::string, Object>& objects() { return objects_; }

  // Changes the authoritative list. Readers see the change after the lag.
  void set_machines(std::vector<Machine> machines);
  // Makes the current list visible to readers immediately.
  void forget_machine_history();
  const std::vector<Machine>& machines() const { return machine_history_.back().second; }
  void set_machine_list_lag(Duration lag) { machine_list_lag_ = lag; }
  // @return the list as of one lag ago.
  MachineListSnapshot visible_machines();

  DelayedCalls& calls() { return calls_; }
  const TimeSource& time_source() const { return time_source_; }

 private:
  const TimeSource& time_source_;
  MemoryTable table_;
  std::map<std::string, Object> objects_;
  std::deque<std::pair<MonotonicTime, std::vector<Machine>>> machine_history_;
  Duration machine_list_lag_{0};
  EmulatedService table_service_;
  EmulatedService object_service_;
  EmulatedService machine_service_;
  DelayedCalls calls_;
};

// One node's client of one service. Operations take effect on the platform's event loop and respond
// on the node's. Destroying the client drops pending responses; operations already sent still take
// effect.
class EmulatedClient {
 public:
  EmulatedClient(EmulatedPlatform& platform, EmulatedService& service, Dispatcher& node_dispatcher);

  // While unreachable, requests do not arrive and responses are lost.
  void set_reachable(bool reachable) { state_->reachable = reachable; }

 protected:
  // @param changes whether the operation is a write, so that a lost response leaves its outcome
  // unknown.
  template <typename Value>
  void call(bool changes, std::function<Expected<Value>()> operation, Callback<Value> callback);

  EmulatedPlatform& platform_;

 private:
  struct State {
    State(const TimeSource& time_source, Dispatcher& dispatcher)
        : answers(time_source, dispatcher) {}
    bool reachable = true;
    DelayedCalls answers;
  };

  EmulatedService& service_;
  std::shared_ptr<State> state_;
};

class EmulatedTableStore : public TableStore, public EmulatedClient {
 public:
  EmulatedTableStore(EmulatedPlatform& platform, Dispatcher& node_dispatcher);
  void read(RowKey key, Callback<std::optional<Row>> callback) override;
  void scan(ScanRequest request, Callback<ScanPage> callback) override;
  void commit(Transaction transaction, Callback<CommitResult> callback) override;
};

class EmulatedObjectStore : public ObjectStore, public EmulatedClient {
 public:
  EmulatedObjectStore(EmulatedPlatform& platform, Dispatcher& node_dispatcher);
  void put(std::string name, std::shared_ptr<const std::string> content,
           Callback<std::monostate> callback) override;
  void get(std::string name, Callback<std::shared_ptr<const std::string>> callback) override;
  void remove(std::string name, Callback<std::monostate> callback) override;
};

class EmulatedMachineList : public MachineList, public EmulatedClient {
 public:
  EmulatedMachineList(EmulatedPlatform& platform, Dispatcher& node_dispatcher);
  void fetch(Callback<MachineListSnapshot> callback) override;
};

}  // namespace chalkshed
