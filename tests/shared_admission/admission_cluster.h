// Simulated nodes in virtual time that share a service, over datagrams that tests delay, drop and
// block. The service is a number of slots, each held for a random time by a request; slots that
// become free go to the waiting requests of some node.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chalkshed/admission_exchange.h"
#include "chalkshed/fair_order.h"
#include "chalkshed/tenant_quota.h"
#include "sim/virtual_time.h"
#include "src/core/call_after.h"

namespace chalkshed {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline double seconds_of(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
inline Duration from_seconds(double duration) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration));
}

// What became of the requests of a tenant at a priority.
struct Outcomes {
  double asked = 0;
  double in_time = 0;
  double late = 0;     // served after its target
  double refused = 0;  // never served
  double admitted = 0;
  double admitted_late = 0;  // admitted as if it could be in time, but served late or never
  double returned_in_time = 0;
  double returned_late = 0;

  double bad_share() const { return asked > 0 ? (late + refused) / asked : 0; }
  Outcomes& operator+=(const Outcomes& other) {
    asked += other.asked;
    in_time += other.in_time;
    late += other.late;
    refused += other.refused;
    admitted += other.admitted;
    admitted_late += other.admitted_late;
    returned_in_time += other.returned_in_time;
    returned_late += other.returned_late;
    return *this;
  }
};

struct ClusterOptions {
  size_t nodes = 60;
  size_t zones = 3;
  bool shared = true;    // false: each node decides alone, as without shared admission
  bool returns = false;  // refused callers return once at the given time
  double slots = 240;
  double mean_hold = 0.6;  // seconds; uniform between half and three halves of it
  uint64_t seed = 1;
};

class AdmissionCluster {
 public:
  explicit AdmissionCluster(const ClusterOptions& wanted = {})
      : options(wanted), random(wanted.seed) {
    for (size_t index = 0; index < options.nodes; ++index) {
      machines.push_back({"n" + std::to_string(index),
                          "z" + std::to_string(index % options.zones),
                          0,
                          0,
                          nullptr,
                          {},
                          {}});
    }
    for (size_t index = 0; index < options.nodes; ++index) {
      start(index);
    }
    announce();
  }

  double capacity() const { return options.slots / options.mean_hold; }

  void start(size_t index) {
    kill(index);
    ++machines[index].starts;
    machines[index].process = std::make_unique<Process>(*this, index);
  }
  void kill(size_t index) {
    machines[index].process = nullptr;
    for (const CallPtr& call : machines[index].waiting) {
      end(call, false);
    }
    machines[index].waiting.clear();
  }
  bool runs(size_t index) const { return machines[index].process != nullptr; }

  // The relays of a machine's zone in order of rank.
  std::vector<size_t> relays_of(const std::string& zone) const {
    std::vector<size_t> found;
    for (size_t index = 0; index < machines.size(); ++index) {
      if (machines[index].zone == zone && runs(index) &&
          machines[index].process->exchange.relaying()) {
        found.push_back(index);
      }
    }
    return found;
  }

  // Requests of a tenant at that rate arrive at random nodes, until stop_all().
  void drive(const std::string& tenant, uint32_t priority, double per_second) {
    const size_t number = sources.size();
    sources.push_back(per_second);
    schedule_next(number, tenant, priority);
  }
  void set_rate(size_t source, double per_second) { sources[source] = per_second; }
  void run(Duration duration) { clock.run_for(duration); }
  // Lets all calls end.
  void stop_all() {
    std::fill(sources.begin(), sources.end(), 0);
    clock.run_for(seconds(8));
  }

  Outcomes of(const std::function<bool(const std::string&, uint32_t)>& wanted) const {
    Outcomes sum;
    for (const auto& [key, one] : outcomes) {
      if (wanted(key.first, key.second)) {
        sum += one;
      }
    }
    return sum;
  }
  Outcomes all() const {
    return of([](const std::string&, uint32_t) { return true; });
  }

  struct Call {
    std::string tenant;
    uint32_t priority = 0;
    uint64_t digest = 0;
    MonotonicTime first{};    // first attempt
    MonotonicTime arrived{};  // this attempt
    bool returned = false;
    bool late = false;
    bool counted_late = false;  // was late when it was admitted
    double start = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Process : public DatagramTransport {
    Process(AdmissionCluster& in, size_t number)
        : cluster(in),
          index(number),
          dispatcher(in.clock),
          random(in.random.next()),
          admission(in.clock, random, logger, metrics),
          exchange(in.clock, dispatcher, *this, admission, logger, in.candidate(number)) {
      admission.set_services({"s"});
      admission.set_slots([this](std::string_view) {
        return service_slots{cluster.options.slots, cluster.options.slots - cluster.busy};
      });
      admission.set_waiting([this](const shared_admission::visit_waiting& visit) {
        for (const CallPtr& call : cluster.machines[index].waiting) {
          if (!call->late) {
            visit({"s", call->tenant, call->priority});
          }
        }
      });
    }
    void send(const Address& to, std::string_view datagram) override {
      ++cluster.datagrams;
      cluster.largest = std::max(cluster.largest, datagram.size());
      cluster.deliver(index, to.port, std::string(datagram));
    }
    void set_receiver(Receiver /*receiver*/) override {}

    AdmissionCluster& cluster;
    size_t index;
    VirtualDispatcher dispatcher;
    SeededRandomGenerator random;
    NullLogger logger;
    NullMetricsRegistry metrics;
    shared_admission admission;
    admission_exchange exchange;
  };
  struct Machine {
    std::string node;
    std::string zone;
    uint64_t starts = 0;
    int side = 0;  // machines on different sides don't hear each other
    std::unique_ptr<Process> process;
    std::list<CallPtr> waiting;
    fair_order order;
    bool deaf = false;  // gets no datagrams
  };

  relay_candidate candidate(size_t index) const {
    const Machine& machine = machines[index];
    return {machine.node, machine.node + "#" + std::to_string(machine.starts),
            machine.zone, {machine.node, static_cast<uint16_t>(index)},
            1.0,          true,
            false,        false};
  }
  // Updates the list of peers of all processes, as membership does some seconds after a change.
  void announce() {
    for (size_t own = 0; own < machines.size(); ++own) {
      if (!runs(own)) {
        continue;
      }
      std::vector<relay_candidate> peers;
      for (size_t other = 0; other < machines.size(); ++other) {
        if (other != own) {
          peers.push_back(candidate(other));
          peers.back().fit = runs(other) && machines[other].side == machines[own].side;
        }
      }
      machines[own].process->exchange.set_peers(std::move(peers));
    }
  }
  void split(const std::function<int(size_t)>& side_of) {
    for (size_t index = 0; index < machines.size(); ++index) {
      machines[index].side = side_of(index);
    }
    call_after(loop, milliseconds(2500), [this] { announce(); });
  }

  ClusterOptions options;
  VirtualClock clock;
  VirtualDispatcher loop{clock};
  SeededRandomGenerator random;
  std::vector<Machine> machines;
  std::vector<double> sources;
  std::map<std::pair<std::string, uint32_t>, Outcomes> outcomes;
  double busy = 0;
  double loss = 0;
  uint64_t datagrams = 0;
  size_t largest = 0;
  std::function<void(size_t node)> on_admitted;
  std::optional<Error> last_refusal;
  std::vector<Duration> retry_delays;

 private:
  static constexpr Duration kTarget = milliseconds(300);
  static constexpr Duration kMaxWait = milliseconds(240);
  static constexpr Duration kTimeout = seconds(5);

  void deliver(size_t from, size_t to, std::string datagram) {
    if (random.unit() < loss) {
      return;
    }
    const Duration delay = milliseconds(1) + from_seconds(0.002 * random.unit());
    call_after(loop, delay, [this, from, to, datagram = std::move(datagram)] {
      const Machine& machine = machines[to];
      if (runs(to) && !machine.deaf && machines[from].side == machine.side) {
        machine.process->exchange.receive(datagram);
      }
    });
  }
  void schedule_next(size_t source, const std::string& tenant, uint32_t priority) {
    const double rate = sources[source];
    const double gap = rate > 0 ? -std::log(1 - random.unit()) / rate : 0.05;
    // A change of the rate takes effect within 50 ms.
    const bool waits = rate <= 0 || gap > 0.05;
    call_after(loop, from_seconds(std::min(gap, 0.05)), [this, source, tenant, priority, waits] {
      if (!waits) {
        auto call = std::make_shared<Call>();
        call->tenant = tenant;
        call->priority = priority;
        call->digest = random.next();
        call->first = clock.monotonic_now();
        ++outcomes[{tenant, priority}].asked;
        arrive(call);
      }
      schedule_next(source, tenant, priority);
    });
  }
  size_t random_running_node() {
    size_t node = random.below(machines.size());
    while (!runs(node)) {
      node = random.below(machines.size());
    }
    return node;
  }
  void arrive(const CallPtr& call) {
    const size_t node = random_running_node();
    Machine& machine = machines[node];
    call->arrived = clock.monotonic_now();
    if (options.shared) {
      admission_request request;
      request.id = "r";
      request.service = "s";
      request.tenant = call->tenant;
      request.priority = call->priority;
      request.digest = call->digest;
      request.target = kTarget;
      request.late =
          static_cast<size_t>(std::count_if(machine.waiting.begin(), machine.waiting.end(),
                                            [](const CallPtr& c) { return c->late; }));
      request.late_of_tenant = request.late;
      const shared_verdict verdict = machine.process->admission.admit(request);
      if (verdict.refused) {
        refuse(call, *verdict.refused);
        return;
      }
      call->late = call->counted_late = verdict.late;
    }
    if (on_admitted) {
      on_admitted(node);
    }
    outcomes[{call->tenant, call->priority}].admitted += call->late ? 0 : 1;
    call->start = machine.order.enter(call->tenant);
    machine.waiting.push_back(call);
    dispatch();
    if (std::find(machine.waiting.begin(), machine.waiting.end(), call) != machine.waiting.end()) {
      wait(call, node);
    }
  }
  void wait(const CallPtr& call, size_t node) {
    machines[node].process->admission.note_waiting();
    call_after(loop, kMaxWait, [this, call, node] {
      const auto found = find_waiting(call, node);
      if (!options.shared && found != machines[node].waiting.end()) {
        machines[node].waiting.erase(found);
        at_workers_.push_back(call);  // queued at a full worker, where no rank counts
      }
      call->late = true;
    });
    call_after(loop, kTimeout, [this, call, node] {
      const auto found = find_waiting(call, node);
      if (found != machines[node].waiting.end()) {
        machines[node].waiting.erase(found);
        end(call, false);
      }
    });
  }
  std::list<CallPtr>::iterator find_waiting(const CallPtr& call, size_t node) {
    return std::find(machines[node].waiting.begin(), machines[node].waiting.end(), call);
  }
  void refuse(const CallPtr& call, const Error& error) {
    last_refusal = error;
    const Duration delay = *error.retry_after;
    retry_delays.push_back(delay);
    const Duration left = kTimeout - (clock.monotonic_now() - call->first);
    if (!options.returns || call->returned || delay > left / 3) {
      ++outcomes[{call->tenant, call->priority}].refused;
      return;
    }
    call->returned = true;
    call_after(loop, delay, [this, call] { arrive(call); });
  }
  // Gives free slots to the first requests of random nodes.
  void dispatch() {
    while (busy < options.slots && !at_workers_.empty()) {
      const CallPtr call = at_workers_.front();
      at_workers_.pop_front();
      serve(call);
    }
    std::vector<size_t> nodes;
    for (size_t index = 0; index < machines.size(); ++index) {
      if (runs(index) && !machines[index].waiting.empty()) {
        nodes.push_back(index);
      }
    }
    while (busy < options.slots && !nodes.empty()) {
      const size_t pick = random.below(nodes.size());
      Machine& machine = machines[nodes[pick]];
      const auto first = next_of(machine);
      const bool held =
          first == machine.waiting.end() ||
          ((*first)->late && options.shared && machine.process->admission.overloaded("s") &&
           options.slots - busy < 0.03 * options.slots);
      if (held) {
        nodes.erase(nodes.begin() + static_cast<ptrdiff_t>(pick));
        continue;
      }
      const CallPtr call = *first;
      machine.waiting.erase(first);
      machine.order.serve(call->start);
      serve(call);
    }
  }
  static std::list<CallPtr>::iterator next_of(Machine& machine) {
    return std::min_element(machine.waiting.begin(), machine.waiting.end(),
                            [](const CallPtr& a, const CallPtr& b) {
                              return std::tie(a->late, a->priority, a->start) <
                                     std::tie(b->late, b->priority, b->start);
                            });
  }
  void serve(const CallPtr& call) {
    busy += 1;
    const Duration held = from_seconds(options.mean_hold * (0.5 + random.unit()));
    end(call, true);
    const size_t node = random_running_node();
    call_after(loop, held, [this, held, node] {
      busy -= 1;
      if (runs(node)) {
        machines[node].process->admission.note_ended("s", held);
      }
      dispatch();
    });
  }
  void end(const CallPtr& call, bool served) {
    Outcomes& one = outcomes[{call->tenant, call->priority}];
    const bool in_time = served && clock.monotonic_now() - call->first <= kMaxWait;
    ++(!served ? one.refused : in_time ? one.in_time : one.late);
    if (!in_time && !call->counted_late) {
      ++one.admitted_late;
    }
    if (call->returned && served) {
      ++(in_time ? one.returned_in_time : one.returned_late);
    }
  }

  std::list<CallPtr> at_workers_;
};

}  // namespace chalkshed
