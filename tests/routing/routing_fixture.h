// Fakes for routing tests: a virtual clock, gossip with a delay between nodes, a scripted machine
// list, and dependencies that must not be used.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/virtual_time.h"
#include "src/routing/router_impl.h"
#include "src/routing/tenant_limiter.h"

namespace chalkshed {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeMembership : public MembershipView {
 public:
  const Member& self() const override { return list.front(); }
  std::vector<Member> members() const override { return list; }
  void subscribe(std::function<void()> callback) override { subscribers.push_back(callback); }
  void changed() {
    for (const auto& subscriber : subscribers) {
      subscriber();
    }
  }
  std::vector<Member> list;
  std::vector<std::function<void()>> subscribers;
};

// Delivers published entries to the other nodes after `delay`, or never while `cut`.
class GossipHub;
class FakeGossip : public Gossip {
 public:
  explicit FakeGossip(GossipHub& hub);
  void publish(GossipEntry entry) override;
  std::optional<GossipEntry> find(const std::string& kind, const std::string& key) const override;
  std::vector<GossipEntry> entries(const std::string& kind) const override;
  void subscribe(std::string kind, std::function<void(const GossipEntry&)> callback) override {
    subscribers_.emplace_back(std::move(kind), std::move(callback));
  }
  void deliver(const GossipEntry& entry);
  size_t published = 0;
  size_t published_bytes = 0;

 private:
  bool store(const GossipEntry& entry);
  GossipHub& hub_;
  std::map<std::pair<std::string, std::string>, GossipEntry> known_;
  std::vector<std::pair<std::string, std::function<void(const GossipEntry&)>>> subscribers_;
};

class GossipHub {
 public:
  explicit GossipHub(VirtualClock& clock) : clock_(clock) {}
  void spread(const FakeGossip* from, const GossipEntry& entry) {
    if (cut) {
      return;
    }
    for (FakeGossip* node : nodes) {
      if (node != from) {
        clock_.schedule(delay, [node, entry] { node->deliver(entry); });
      }
    }
  }
  Duration delay = milliseconds(200);
  bool cut = false;
  std::vector<FakeGossip*> nodes;

 private:
  VirtualClock& clock_;
};

inline FakeGossip::FakeGossip(GossipHub& hub) : hub_(hub) { hub.nodes.push_back(this); }
inline bool FakeGossip::store(const GossipEntry& entry) {
  GossipEntry& known = known_[{entry.kind, entry.key}];
  if (entry.version <= known.version) {
    return false;
  }
  known = entry;
  return true;
}
inline void FakeGossip::publish(GossipEntry entry) {
  if (store(entry)) {
    ++published;
    published_bytes += entry.value.size();
    hub_.spread(this, entry);
  }
}
inline void FakeGossip::deliver(const GossipEntry& entry) {
  if (store(entry)) {
    for (const auto& [kind, callback] : subscribers_) {
      if (kind == entry.kind) {
        callback(entry);
      }
    }
  }
}
inline std::optional<GossipEntry> FakeGossip::find(const std::string& kind,
                                                   const std::string& key) const {
  const auto found = known_.find({kind, key});
  return found == known_.end() ? std::nullopt : std::optional(found->second);
}
inline std::vector<GossipEntry> FakeGossip::entries(const std::string& kind) const {
  std::vector<GossipEntry> result;
  for (const auto& [key, entry] : known_) {
    if (key.first == kind) {
      result.push_back(entry);
    }
  }
  return result;
}

class FakeConfiguration : public ConfigurationSource {
 public:
  ConfigurationPtr current() const override { return configuration; }
  void subscribe(std::function<void(const ConfigurationPtr&)>) override {}
  ConfigurationPtr configuration;
};

class FakePolicy : public PolicyEvaluator {
 public:
  PolicyDecision evaluate(const RequestAttributes&) override { return decision; }
  PolicyDecision decision;
};

class FakeMachineList : public MachineList {
 public:
  explicit FakeMachineList(VirtualClock& clock) : clock_(clock) {}
  void fetch(Callback<MachineListSnapshot> callback) override {
    if (failing) {
      clock_.schedule(milliseconds(5), [callback] {
        callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "down", "wait")));
      });
      return;
    }
    clock_.schedule(milliseconds(5), [callback, answer = snapshot] { callback(answer); });
  }
  Machine& at(size_t index) { return snapshot.machines[index]; }
  MachineListSnapshot snapshot;
  bool failing = false;

 private:
  VirtualClock& clock_;
};

// Answers load polls from a table; does not generate.
class FakeEngineClient : public EngineClient {
 public:
  explicit FakeEngineClient(VirtualClock& clock) : clock_(clock) {}
  GenerateStreamPtr generate(const Address&, GenerateRequest, GenerateCallbacks&) override {
    return nullptr;
  }
  void fetch_load(const Address& worker, Callback<EngineLoad> callback) override {
    clock_.schedule(milliseconds(1), [callback, load = loads[worker]] { callback(load); });
  }
  std::map<Address, EngineLoad> loads;

 private:
  VirtualClock& clock_;
};

class UnusedTable : public TableStore {
 public:
  void read(RowKey, Callback<std::optional<Row>>) override { FAIL(); }
  void scan(ScanRequest, Callback<ScanPage>) override { FAIL(); }
  void commit(Transaction, Callback<CommitResult>) override { FAIL(); }
};
class UnusedObjects : public ObjectStore {
 public:
  void put(std::string, std::shared_ptr<const std::string>, Callback<std::monostate>) override {
    FAIL();
  }
  void get(std::string, Callback<std::shared_ptr<const std::string>>) override { FAIL(); }
  void remove(std::string, Callback<std::monostate>) override { FAIL(); }
};
class UnusedHttp : public HttpClient {
 public:
  HttpCallPtr send(const Address&, const HttpRequest&, const HttpCallOptions&,
                   HttpCallCallbacks&) override {
    return nullptr;
  }
  void fetch(const Address&, const HttpRequest&, const HttpCallOptions&,
             Callback<HttpResponse>) override {
    FAIL();
  }
};
class UnusedPeers : public DatagramTransport, public PeerClient, public PeerServer {
 public:
  void send(const Address&, std::string_view) override {}
  void set_receiver(Receiver) override {}
  void call(const Address&, std::string, std::string, Callback<std::string>) override { FAIL(); }
  void register_method(std::string, Handler) override {}
};

// State shared by all nodes of a test.
struct World {
  World() : hub(clock), machines(clock), engines(clock) {
    auto built = std::make_shared<Configuration>();
    ServiceConfiguration service;
    service.name = "lm";
    service.max_sequences_per_worker = 16;
    built->services["lm"] = service;
    TenantConfiguration tenant;
    tenant.name = "limited";
    tenant.requests_per_second = 60;
    built->tenants["limited"] = tenant;
    configuration.configuration = built;
  }
  void add_worker(const std::string& id, const std::string& zone = "a") {
    Machine machine;
    machine.id = id;
    machine.role = MachineRole::kWorker;
    machine.service = "lm";
    machine.zone = zone;
    machine.region = "r";
    machine.incarnation = 1;
    machine.address = {"10.0.0.1", static_cast<uint16_t>(1000 + machines.snapshot.machines.size())};
    machines.snapshot.machines.push_back(machine);
    engines.loads[machine.address].incarnation = 1;
  }
  void add_workers(int count) {
    for (int index = 0; index < count; ++index) {
      add_worker("w" + std::to_string(100 + index));
    }
  }
  VirtualClock clock;
  GossipHub hub;
  FakeMachineList machines;
  FakeEngineClient engines;
  FakeConfiguration configuration;
  FakePolicy policy;
  FakeMembership membership;
  UnusedTable table;
  UnusedObjects objects;
  UnusedHttp http;
  UnusedPeers peers;
  NullLogger logger;
  NullMetricsRegistry metrics;
};

// The routing module of one node.
struct RoutingNode {
  RoutingNode(World& shared, const std::string& id, RoutingKnobs knobs = {}, uint64_t seed = 1,
              EngineClient* engines = nullptr, const std::string& zone = "a")
      : world(shared),
        dispatcher(shared.clock),
        random(seed),
        gossip(shared.hub),
        dependencies{shared.clock,
                     dispatcher,
                     random,
                     shared.table,
                     shared.objects,
                     shared.machines,
                     engines != nullptr ? *engines : shared.engines,
                     shared.http,
                     shared.peers,
                     shared.peers,
                     shared.peers,
                     shared.logger,
                     shared.metrics} {
    identity.id = id;
    identity.zone = zone;
    identity.region = "r";
    Member member;
    member.id = id;
    member.zone = zone;
    member.region = "r";
    shared.membership.list.push_back(member);
    router = std::make_unique<RouterImpl>(identity, dependencies, shared.configuration,
                                          shared.membership, gossip, shared.policy, knobs);
  }
  Expected<RoutedRequestPtr> route(Duration time_left = seconds(30)) {
    RouteRequest request;
    request.service = "lm";
    request.prompt_tokens = 20;
    request.max_tokens = 50;
    request.time_left = time_left;
    return router->route(request);
  }
  // Routes `count` concurrent requests. @return the number routed to `worker`.
  int count_routed_to(const WorkerId& worker, int count = 100) {
    std::vector<RoutedRequestPtr> open;
    int hits = 0;
    for (int index = 0; index < count; ++index) {
      auto routed = route();
      if (routed) {
        hits += (*routed)->worker() == worker ? 1 : 0;
        open.push_back(std::move(*routed));
      }
    }
    return hits;
  }
  World& world;
  VirtualDispatcher dispatcher;
  SeededRandomGenerator random;
  FakeGossip gossip;
  NodeIdentity identity;
  NodeDependencies dependencies;
  std::unique_ptr<RouterImpl> router;
};

}  // namespace chalkshed
