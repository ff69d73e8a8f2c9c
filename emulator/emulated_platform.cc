#include "emulator/emulated_platform.h"

#include <cmath>

namespace chalkshed {

std::optional<Error> EmulatedService::refusal() {
  if (faults.outage) {
    ++counters.refused;
    return not_run(ErrorKind::kStoreUnavailable, "the store refuses connections",
                   "wait until the store is back");
  }
  if (faults.operations_per_second <= 0) {
    ++counters.served;
    return std::nullopt;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  if (refilled_at_) {
    const double elapsed = std::chrono::duration<double>(now - *refilled_at_).count();
    tokens_ += elapsed * faults.operations_per_second;
  } else {
    tokens_ = faults.operation_burst;
  }
  refilled_at_ = now;
  tokens_ = std::min(tokens_, faults.operation_burst);
  if (tokens_ >= 1) {
    tokens_ -= 1;
    ++counters.served;
    return std::nullopt;
  }
  ++counters.rate_limited;
  Error error = not_run(ErrorKind::kStoreUnavailable, "the store's rate limit is reached",
                        "resend after the given time");
  const double wait_seconds = (1 - tokens_) / faults.operations_per_second;
  error.retry_after = Duration(static_cast<int64_t>(std::ceil(wait_seconds * 1e6)));
  return error;
}

Duration EmulatedService::one_way_latency() {
  const auto jitter = static_cast<uint64_t>(faults.latency_jitter.count());
  const double base = static_cast<double>(faults.base_latency.count()) / 2;
  const double latency = base + static_cast<double>(random_.below(jitter + 1));
  return Duration(static_cast<int64_t>(latency * faults.slowness));
}

bool EmulatedService::loses_response() {
  if (faults.lost_answer_probability <= 0 || random_.unit() >= faults.lost_answer_probability) {
    return false;
  }
  ++counters.answers_lost;
  return true;
}

EmulatedPlatform::EmulatedPlatform(const TimeSource& time_source, Dispatcher& dispatcher,
                                   RandomGenerator& random)
    : time_source_(time_source),
      table_service_(time_source, random),
      object_service_(time_source, random),
      machine_service_(time_source, random),
      calls_(time_source, dispatcher) {
  machine_history_.emplace_back(time_source.monotonic_now(), std::vector<Machine>());
}

void EmulatedPlatform::set_machines(std::vector<Machine> machines) {
  machine_history_.emplace_back(time_source_.monotonic_now(), std::move(machines));
}

void EmulatedPlatform::forget_machine_history() {
  machine_history_.erase(machine_history_.begin(), machine_history_.end() - 1);
}

MachineListSnapshot EmulatedPlatform::visible_machines() {
  const MonotonicTime seen_until = time_source_.monotonic_now() - machine_list_lag_;
  while (machine_history_.size() > 1 && machine_history_[1].first <= seen_until) {
    machine_history_.pop_front();
  }
  return MachineListSnapshot{machine_history_.front().second};
}

EmulatedClient::EmulatedClient(EmulatedPlatform& platform, EmulatedService& service,
                               Dispatcher& node_dispatcher)
    : platform_(platform),
      service_(service),
      state_(std::make_shared<State>(platform.time_source(), node_dispatcher)) {}

namespace {

tl::unexpected<Error> lost_response(bool changes) {
  const ErrorKind kind = changes ? ErrorKind::kOutcomeUnknown : ErrorKind::kStoreUnavailable;
  return tl::unexpected(maybe_run(kind, "the store did not respond in time",
                                  "read back to determine whether the change was applied"));
}

}  // namespace

template <typename Value>
void EmulatedClient::call(bool changes, std::function<Expected<Value>()> operation,
                          Callback<Value> callback) {
  const Duration timeout = service_.faults.answer_timeout;
  if (!state_->reachable) {
    state_->answers.add(timeout, [callback = std::move(callback)] {
      callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "the store is unreachable",
                                      "wait until the network is back")));
    });
    return;
  }
  const Duration request_latency = service_.one_way_latency();
  const bool timed_out = request_latency > timeout;
  if (timed_out) {
    // The caller times out before the request arrives; the request still takes effect later.
    state_->answers.add(timeout, [changes, callback] { callback(lost_response(changes)); });
  }
  platform_.calls().add(
      request_latency,
      [this_state = std::weak_ptr(state_), changes, timeout, request_latency, timed_out,
       &service = service_, operation = std::move(operation), callback = std::move(callback)] {
        const std::optional<Error> refusal = service.refusal();
        Expected<Value> answer = refusal ? tl::unexpected(*refusal) : operation();
        const bool lost = !refusal && service.loses_response();
        Duration answer_latency = service.one_way_latency();
        const std::shared_ptr<State> state = this_state.lock();
        if (!state || timed_out) {
          return;
        }
        if (lost || !state->reachable || request_latency + answer_latency > timeout) {
          answer_latency = timeout - request_latency;
          answer = lost_response(changes);
        }
        state->answers.add(answer_latency, [callback, answer = std::move(answer)]() mutable {
          callback(std::move(answer));
        });
      });
}

EmulatedTableStore::EmulatedTableStore(EmulatedPlatform& platform, Dispatcher& node_dispatcher)
    : EmulatedClient(platform, platform.table_service(), node_dispatcher) {}

void EmulatedTableStore::read(RowKey key, Callback<std::optional<Row>> callback) {
  call<std::optional<Row>>(
      false,
      [&platform = platform_, key = std::move(key)]() -> Expected<std::optional<Row>> {
        return platform.table().read(key);
      },
      std::move(callback));
}

void EmulatedTableStore::scan(ScanRequest request, Callback<ScanPage> callback) {
  call<ScanPage>(
      false,
      [&platform = platform_, request = std::move(request)]() -> Expected<ScanPage> {
        return platform.table().scan(request);
      },
      std::move(callback));
}

void EmulatedTableStore::commit(Transaction transaction, Callback<CommitResult> callback) {
  call<CommitResult>(
      true,
      [&platform = platform_, transaction = std::move(transaction)]() -> Expected<CommitResult> {
        return platform.table().commit(transaction);
      },
      std::move(callback));
}

EmulatedObjectStore::EmulatedObjectStore(EmulatedPlatform& platform, Dispatcher& node_dispatcher)
    : EmulatedClient(platform, platform.object_service(), node_dispatcher) {}

void EmulatedObjectStore::put(std::string name, std::shared_ptr<const std::string> content,
                              Callback<std::monostate> callback) {
  call<std::monostate>(
      true,
      [&platform = platform_, name = std::move(name),
       content = std::move(content)]() -> Expected<std::monostate> {
        platform.objects()[name] = content;
        return std::monostate();
      },
      std::move(callback));
}

void EmulatedObjectStore::get(std::string name,
                              Callback<std::shared_ptr<const std::string>> callback) {
  call<EmulatedPlatform::Object>(
      false,
      [&platform = platform_, name = std::move(name)]() -> Expected<EmulatedPlatform::Object> {
        const auto found = platform.objects().find(name);
        if (found == platform.objects().end()) {
          return tl::unexpected(not_run(ErrorKind::kNotFound, "no object named " + name,
                                        "check the name and whether the object was removed"));
        }
        return found->second;
      },
      std::move(callback));
}

void EmulatedObjectStore::remove(std::string name, Callback<std::monostate> callback) {
  call<std::monostate>(
      true,
      [&platform = platform_, name = std::move(name)]() -> Expected<std::monostate> {
        platform.objects().erase(name);
        return std::monostate();
      },
      std::move(callback));
}

EmulatedMachineList::EmulatedMachineList(EmulatedPlatform& platform, Dispatcher& node_dispatcher)
    : EmulatedClient(platform, platform.machine_service(), node_dispatcher) {}

void EmulatedMachineList::fetch(Callback<MachineListSnapshot> callback) {
  call<MachineListSnapshot>(
      false,
      [&platform = platform_]() -> Expected<MachineListSnapshot> {
        return platform.visible_machines();
      },
      std::move(callback));
}

}  // namespace chalkshed
