#include "src/batch/batch_store.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {
namespace {

constexpr uint32_t kScanLimit = 1000;
constexpr double kBurstSeconds = 1.0;
constexpr double kMinBurst = 20;
constexpr uint32_t kMaxDoublings = 16;
// Attempts of a read that a caller waits for.
constexpr uint32_t kMaxCallerReadAttempts = 4;
// Adapts the rate to a store that rejects operations because of its rate limit: decreased
// multiplicatively on a rejection, at most once per interval, and increased slightly with each
// successful operation.
constexpr double kRateDecreaseFactor = 0.7;
constexpr double kRateIncreaseFactor = 1.01;
constexpr double kMinRateFactor = 0.002;
constexpr Duration kMinRateDecreaseInterval = std::chrono::milliseconds(100);
// Maximum number of queued operations; further ones are rejected.
constexpr size_t kMaxQueueLength = 2000;

bool is_rate_limited(const Error& error) {
  return error.kind == ErrorKind::kStoreUnavailable && error.retry_after.has_value();
}

bool is_store_failure(const Error& error) {
  return error.kind == ErrorKind::kStoreUnavailable || error.kind == ErrorKind::kOutcomeUnknown ||
         error.kind == ErrorKind::kUnavailable || error.kind == ErrorKind::kUpstreamFailed;
}

}  // namespace

struct BatchStore::Scan {
  StoreUrgency urgency;
  ScanRequest request;
  std::vector<Row> rows;
  Callback<std::vector<Row>> callback;
};

BatchStore::BatchStore(NodeDependencies& dependencies, const MembershipView& membership,
                       const BatchKnobs& knobs)
    : dependencies_(dependencies),
      membership_(membership),
      knobs_(knobs),
      tokens_(kMinBurst),
      refilled_at_(dependencies.time_source.monotonic_now()),
      drain_timer_(dependencies.dispatcher.create_timer([this] { drain_queues(); })) {}

template <typename Value, typename Send>
void BatchStore::submit(StoreUrgency urgency, Callback<Value> callback, Send send) {
  auto shared = std::make_shared<Callback<Value>>(std::move(callback));
  auto answer = lifetime_.guard([this, shared](Expected<Value> value) {
    observe(value ? nullptr : &value.error());
    (*shared)(std::move(value));
  });
  Operation operation;
  operation.send = [send = std::move(send), answer]() mutable { send(answer); };
  operation.refuse = [shared](const Error& error) { (*shared)(tl::unexpected(error)); };
  submit_operation(urgency, std::move(operation));
}

void BatchStore::submit_operation(StoreUrgency urgency, Operation operation) {
  if (urgency == StoreUrgency::kLease) {
    operation.send();
    return;
  }
  auto& queue = queues_[static_cast<size_t>(urgency)];
  if (breaker_open() || queue.size() >= kMaxQueueLength) {
    dependencies_.dispatcher.post(lifetime_.guard(
        [refuse = std::move(operation.refuse), error = breaker_error()] { refuse(error); }));
    return;
  }
  queue.push_back(std::move(operation));
  drain_queues();
}

void BatchStore::drain_queues() {
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      if (!take_token()) {
        drain_timer_->enable(std::chrono::milliseconds(10));
        return;
      }
      Operation operation = std::move(queue.front());
      queue.pop_front();
      operation.send();
    }
  }
}

bool BatchStore::take_token() {
  refill();
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void BatchStore::refill() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  const double rate = rate_factor_ * knobs_.store_operations_per_second / live_nodes();
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  const double burst = rate_factor_ < 1 ? 1 : std::max(kMinBurst, rate * kBurstSeconds);
  tokens_ = std::min(burst, tokens_ + seconds * rate);
  refilled_at_ = now;
}

void BatchStore::observe(const Error* error) {
  if (error == nullptr || !is_store_failure(*error)) {
    consecutive_failures_ = 0;
    open_until_ = MonotonicTime{};
    rate_factor_ = std::min(1.0, rate_factor_ * kRateIncreaseFactor);
    return;
  }
  if (is_rate_limited(*error)) {
    decrease_rate();
    return;
  }
  ++consecutive_failures_;
  if (consecutive_failures_ < knobs_.breaker_failures) {
    return;
  }
  const Duration pause = backoff(consecutive_failures_ - knobs_.breaker_failures + 1);
  open_until_ = dependencies_.time_source.monotonic_now() + pause;
}

void BatchStore::decrease_rate() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  if (now - rate_decreased_at_ >= kMinRateDecreaseInterval) {
    rate_decreased_at_ = now;
    refill();
    rate_factor_ = std::max(kMinRateFactor, rate_factor_ * kRateDecreaseFactor);
    tokens_ = 0;
  }
}

bool BatchStore::breaker_open() const {
  return dependencies_.time_source.monotonic_now() < open_until_;
}

Error BatchStore::breaker_error() const {
  Error error = not_run(ErrorKind::kStoreUnavailable, "the platform's store does not respond",
                        "resend with the same Idempotency-Key after the given time");
  error.retry_after = open_until_ - dependencies_.time_source.monotonic_now();
  return error;
}

Duration BatchStore::backoff(uint32_t failures) {
  const uint32_t doublings = std::min(failures == 0 ? 0 : failures - 1, kMaxDoublings);
  const Duration ceiling =
      std::min(knobs_.store_backoff * (int64_t{1} << doublings), knobs_.store_backoff_limit);
  const auto half = static_cast<uint64_t>(ceiling.count() / 2);
  return Duration(static_cast<int64_t>(half + dependencies_.random.below(half + 1)));
}

double BatchStore::live_nodes() const {
  return std::max<double>(1, static_cast<double>(membership_.members().size()));
}

Duration BatchStore::shared_interval(double per_second, Duration least) const {
  const double seconds = live_nodes() / per_second;
  return std::max(least, Duration(std::llround(seconds * 1e6)));
}

void BatchStore::after(Duration delay, std::function<void()> call) {
  const uint64_t id = next_delayed_++;
  TimerPtr timer = dependencies_.dispatcher.create_timer([this, id, call = std::move(call)] {
    const std::function<void()> due = call;
    delayed_.erase(id);
    due();
  });
  timer->enable(delay);
  delayed_[id] = std::move(timer);
}

// Retries a read that a caller waits for. The final error states that nothing was changed.
template <typename Value>
Callback<Value> BatchStore::with_retries(Callback<Value> callback,
                                         std::function<void(Callback<Value>)> send,
                                         uint32_t attempts) {
  return [this, callback, send, attempts](Expected<Value> value) {
    if (value || !is_store_failure(value.error())) {
      callback(std::move(value));
      return;
    }
    if (attempts + 1 < kMaxCallerReadAttempts && !breaker_open()) {
      const Duration pause =
          value.error().retry_after.value_or(Duration(0)) + backoff(attempts + 1);
      after(pause, [this, callback, send, attempts] {
        send(with_retries<Value>(callback, send, attempts + 1));
      });
      return;
    }
    Error error = not_run(ErrorKind::kStoreUnavailable, value.error().message,
                          "retry after the given time; nothing was changed");
    error.retry_after = value.error().retry_after.value_or(knobs_.store_backoff_limit);
    callback(tl::unexpected(std::move(error)));
  };
}

void BatchStore::read(StoreUrgency urgency, RowKey key, Callback<std::optional<Row>> callback) {
  if (urgency == StoreUrgency::kCaller) {
    callback = with_retries<std::optional<Row>>(std::move(callback),
                                                [this, key](Callback<std::optional<Row>> next) {
                                                  read(StoreUrgency::kResult, key, std::move(next));
                                                });
  }
  submit<std::optional<Row>>(
      urgency, std::move(callback),
      [this, key = std::move(key)](auto answer) { dependencies_.table_store.read(key, answer); });
}

void BatchStore::scan(StoreUrgency urgency, ScanRequest request, Callback<ScanPage> callback) {
  if (urgency == StoreUrgency::kCaller) {
    callback =
        with_retries<ScanPage>(std::move(callback), [this, request](Callback<ScanPage> next) {
          scan(StoreUrgency::kResult, request, std::move(next));
        });
  }
  submit<ScanPage>(urgency, std::move(callback), [this, request = std::move(request)](auto answer) {
    dependencies_.table_store.scan(request, answer);
  });
}

void BatchStore::scan_all(StoreUrgency urgency, std::string table, std::string prefix,
                          Callback<std::vector<Row>> callback) {
  auto scan = std::make_shared<Scan>();
  scan->urgency = urgency;
  scan->request = {std::move(table), std::move(prefix), "", kScanLimit};
  scan->callback = std::move(callback);
  next_page(scan);
}

void BatchStore::next_page(const std::shared_ptr<Scan>& scan_state) {
  scan(scan_state->urgency, scan_state->request, [this, scan_state](Expected<ScanPage> page) {
    if (!page) {
      scan_state->callback(tl::unexpected(std::move(page.error())));
      return;
    }
    for (Row& row : page->rows) {
      scan_state->rows.push_back(std::move(row));
    }
    if (!page->more || scan_state->rows.empty()) {
      scan_state->callback(std::move(scan_state->rows));
      return;
    }
    scan_state->request.after_key = scan_state->rows.back().key;
    next_page(scan_state);
  });
}

void BatchStore::commit(StoreUrgency urgency, Transaction transaction,
                        Callback<CommitResult> callback) {
  submit<CommitResult>(urgency, std::move(callback),
                       [this, transaction = std::move(transaction)](auto answer) {
                         dependencies_.table_store.commit(transaction, answer);
                       });
}

void BatchStore::put(StoreUrgency urgency, std::string name,
                     std::shared_ptr<const std::string> content,
                     Callback<std::monostate> callback) {
  submit<std::monostate>(urgency, std::move(callback),
                         [this, name = std::move(name), content = std::move(content)](auto answer) {
                           dependencies_.object_store.put(name, content, answer);
                         });
}

void BatchStore::get(StoreUrgency urgency, std::string name,
                     Callback<std::shared_ptr<const std::string>> callback) {
  submit<std::shared_ptr<const std::string>>(urgency, std::move(callback),
                                             [this, name = std::move(name)](auto answer) {
                                               dependencies_.object_store.get(name, answer);
                                             });
}

}  // namespace chalkshed
