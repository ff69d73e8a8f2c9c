// Simulated nodes that share the limits of tenants, in virtual time, over datagrams that tests
// delay, drop and block.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chalkshed/quota_exchange.h"
#include "platform/record_codec.h"
#include "sim/virtual_time.h"
#include "src/core/call_after.h"

namespace chalkshed {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline double seconds_between(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double>(to - from).count();
}

// A configuration with tenants t0, t1, ... that each have that rate and burst.
inline std::string configuration_of(uint64_t version, size_t tenants, double rate, double burst) {
  std::string text = R"({"version": )" + std::to_string(version) +
                     R"(, "services": [], "routes": [], "tenants": [)";
  for (size_t index = 0; index < tenants; ++index) {
    text += std::string(index == 0 ? "" : ",") + R"({"name": "t)" + std::to_string(index) +
            R"(", "api_keys": ["k)" + std::to_string(index) + R"("], "rate_per_s": )" +
            std::to_string(rate) + R"(, "burst": )" + std::to_string(burst) + "}";
  }
  return text + "]}";
}

class QuotaCluster {
 public:
  QuotaCluster(size_t node_count, size_t zone_count, size_t tenants, double rate, double burst,
               uint64_t seed = 1)
      : random(seed), configuration(configuration_of(1, tenants, rate, burst)) {
    for (size_t index = 0; index < node_count; ++index) {
      machines.push_back(
          {"n" + std::to_string(index), "z" + std::to_string(index % zone_count), 0, 0, nullptr});
    }
    for (size_t index = 0; index < node_count; ++index) {
      start(index);
    }
  }

  // Starts the process of a machine, replacing a previous one.
  void start(size_t index) {
    machines[index].process = nullptr;
    ++machines[index].starts;
    machines[index].process = std::make_unique<Process>(*this, index);
    announce();
  }
  void kill(size_t index) { machines[index].process = nullptr; }
  bool runs(size_t index) const { return machines[index].process != nullptr; }

  // Sends a request of the tenant to that node. @return whether it was admitted.
  bool ask(size_t index, const std::string& tenant) {
    if (!runs(index)) {
      return false;
    }
    const std::optional<Error> refused = machines[index].process->quota.admit(tenant, "r");
    ++asked[tenant];
    if (!refused) {
      admitted[tenant].push_back(clock.monotonic_now());
    } else {
      last_refusal = *refused;
    }
    return !refused;
  }
  // Sends requests at that mean rate for that time. @param pick selects the node of each request.
  void drive(const std::string& tenant, double per_second, Duration duration,
             const std::function<size_t()>& pick) {
    const MonotonicTime end = clock.monotonic_now() + duration;
    double due = 0;
    while (clock.monotonic_now() < end) {
      due += per_second * 0.005;
      for (; due >= 1; due -= 1) {
        ask(pick(), tenant);
      }
      clock.run_for(milliseconds(5));
    }
  }
  size_t random_node() { return static_cast<size_t>(random.below(machines.size())); }

  // @return the maximum number of the tenant's requests that were admitted within any window of
  // that length.
  size_t max_within(const std::string& tenant, Duration window) {
    const std::vector<MonotonicTime>& times = admitted[tenant];
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  struct Process : public DatagramTransport {
    Process(QuotaCluster& in, size_t number)
        : cluster(in),
          index(number),
          dispatcher(in.clock),
          random(in.random.next()),
          routes(logger, "config", &platform::decode_routes),
          quota(in.clock, random, routes, logger, metrics),
          exchange(in.clock, dispatcher, *this, quota, logger, metrics, in.candidate(number)) {
      routes.set_on_changed([this] { exchange.set_tenants(routes.current()->tenants()); });
      routes.on_row({{"op", "", "config"}, in.configuration, 1, false});
    }
    void send(const Address& to, std::string_view datagram) override {
      ++cluster.datagrams;
      cluster.bytes += datagram.size();
      cluster.deliver(index, to.port, std::string(datagram));
    }
    void set_receiver(Receiver /*receiver*/) override {}

    QuotaCluster& cluster;
    size_t index;
    VirtualDispatcher dispatcher;
    SeededRandomGenerator random;
    NullLogger logger;
    NullMetricsRegistry metrics;
    RouteWatch routes;
    tenant_quota quota;
    quota_exchange exchange;
  };
  struct Machine {
    std::string node;
    std::string zone;
    uint64_t starts = 0;
    int side = 0;  // machines on different sides don't hear each other
    std::unique_ptr<Process> process;
  };

  relay_candidate candidate(size_t index) const {
    const Machine& machine = machines[index];
    return {machine.node, machine.node + "#" + std::to_string(machine.starts),
            machine.zone, {machine.node, static_cast<uint16_t>(index)},
            1.0,          fit.contains(index) ? fit.at(index) : true,
            false,        false};
  }
  // Updates the list of peers of all processes.
  void announce() {
    for (size_t own = 0; own < machines.size(); ++own) {
      if (!runs(own)) {
        continue;
      }
      std::vector<relay_candidate> peers;
      for (size_t other = 0; other < machines.size(); ++other) {
        if (other != own && machines[other].starts > 0) {
          peers.push_back(candidate(other));
          peers.back().fit = runs(other) && machines[other].side == machines[own].side;
        }
      }
      machines[own].process->exchange.set_peers(std::move(peers));
    }
  }
  void configure(const std::string& text) {
    configuration = text;
    for (Machine& machine : machines) {
      if (machine.process) {
        machine.process->routes.on_row({{"op", "", "config"}, text, ++store_version, false});
      }
    }
  }

  void deliver(size_t from, size_t to, std::string datagram) {
    if (random.unit() < loss || machines[from].side != machines[to].side) {
      return;
    }
    const Duration delay =
        milliseconds(1) + std::chrono::duration_cast<Duration>(jitter * random.unit());
    call_after(loop, delay, [this, from, to, datagram = std::move(datagram)] {
      if (runs(to) && machines[from].side == machines[to].side) {
        machines[to].process->exchange.receive(datagram);
      }
    });
  }

  VirtualClock clock;
  VirtualDispatcher loop{clock};
  SeededRandomGenerator random;
  std::string configuration;
  uint64_t store_version = 1;
  std::vector<Machine> machines;
  std::map<size_t, bool> fit;
  double loss = 0;
  Duration jitter{0};
  std::map<std::string, uint64_t> asked;
  std::map<std::string, std::vector<MonotonicTime>> admitted;
  std::optional<Error> last_refusal;
  uint64_t datagrams = 0;
  uint64_t bytes = 0;
};

}  // namespace chalkshed
