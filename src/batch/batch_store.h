// Access of the batch role to the platform's stores, with one rate limit and one circuit breaker.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/batch/batch_knobs.h"
#include "src/batch/batch_rows.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

// Priority of queued operations, highest first. Lease operations bypass the rate limit.
enum class StoreUrgency { kLease, kResult, kCaller, kBackground };

// Sends operations within this node's share of the store's rate limit (the total divided by the
// number of live nodes). After repeated failures the circuit breaker opens: operations other than
// leases fail immediately as not run until a jittered pause has passed. The pause doubles while the
// store stays unavailable.
class BatchStore {
 public:
  BatchStore(NodeDependencies& dependencies, const MembershipView& membership,
             const BatchKnobs& knobs);

  void read(StoreUrgency urgency, RowKey key, Callback<std::optional<Row>> callback);
  void scan(StoreUrgency urgency, ScanRequest request, Callback<ScanPage> callback);
  // Reads all rows with a key prefix, page by page.
  void scan_all(StoreUrgency urgency, std::string table, std::string prefix,
                Callback<std::vector<Row>> callback);
  void commit(StoreUrgency urgency, Transaction transaction, Callback<CommitResult> callback);
  void put(StoreUrgency urgency, std::string name, std::shared_ptr<const std::string> content,
           Callback<std::monostate> callback);
  void get(StoreUrgency urgency, std::string name,
           Callback<std::shared_ptr<const std::string>> callback);

  bool breaker_open() const;
  // @return the delay before the next attempt after `failures` consecutive failures: exponential,
  // with jitter.
  Duration backoff(uint32_t failures);
  // @return the interval of an operation at which all live nodes together perform `per_second` of
  // them; at least `least`.
  Duration shared_interval(double per_second, Duration least) const;
  double live_nodes() const;

 private:
  struct Operation {
    std::function<void()> send;
    std::function<void(const Error&)> refuse;
  };
  struct Scan;

  template <typename Value, typename Send>
  void submit(StoreUrgency urgency, Callback<Value> callback, Send send);
  template <typename Value>
  Callback<Value> with_retries(Callback<Value> callback, std::function<void(Callback<Value>)> send,
                               uint32_t attempts = 0);
  void submit_operation(StoreUrgency urgency, Operation operation);
  void drain_queues();
  bool take_token();
  void refill();
  void decrease_rate();
  void after(Duration delay, std::function<void()> call);
  void observe(const Error* error);
  Error breaker_error() const;
  void next_page(const std::shared_ptr<Scan>& scan);

  NodeDependencies& dependencies_;
  const MembershipView& membership_;
  const BatchKnobs& knobs_;
  std::array<std::deque<Operation>, 4> queues_;
  double tokens_ = 0;
  double rate_factor_ = 1;  // fraction of this node's share; below 1 while the store rejects
                            // operations for its rate limit
  MonotonicTime rate_decreased_at_{};
  MonotonicTime refilled_at_;
  uint32_t consecutive_failures_ = 0;
  MonotonicTime open_until_{};
  TimerPtr drain_timer_;
  uint64_t next_delayed_ = 0;
  std::map<uint64_t, TimerPtr> delayed_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
