// Random histories of releases, routes that move, and nodes that are cut off, stand still, die and
// start, under streams that are taken up at other nodes: none gets events of two versions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class OriginHistory {
 public:
  explicit OriginHistory(uint32_t seed) : random_(seed) {
    cluster_.workers.on_call = [this](ScriptedCall& call) { receive(call); };
    write_routes();
    for (const char* service : kServices) {
      release(service);
    }
    for (size_t node = 0; node < kNodes; ++node) {
      cluster_.start_node(name_of(node));
    }
    cluster_.clock.run_for(service_versions::kMemory + kLong);
  }

  void take_step(uint8_t step) {
    constexpr uint8_t kActions = 16;
    const size_t which = step / kActions;
    const std::string node = name_of(which);
    switch (step % kActions) {
      case 0:
        release(kServices[which % 2]);
        break;
      case 1:
        service_ = 1 - service_;
        write_routes();
        break;
      case 2:
        cut(node, which % 3 != 1, which % 3 != 2);
        break;
      case 3:
        heal(node);
        break;
      case 4:
        cluster_.kill_node(node);
        break;
      case 5:
        freeze(node);
        break;
      case 6:
        cluster_.clock.run_for(which % 4 == 0 ? service_versions::kMemory + kLong : kLong);
        break;
      case 7:
        cluster_.shared.trouble.down = !cluster_.shared.trouble.down;
        break;
      default:
        begin_streams();
        take_up_streams();
        break;
    }
    cluster_.clock.run_for(milliseconds(random_.below(400)));
  }

  void check() const {
    for (const auto& [first, software] : software_) {
      RC_ASSERT(software.size() <= 1U);
    }
  }

 private:
  static constexpr size_t kNodes = 5;
  static constexpr std::array<const char*, 2> kServices = {"engines", "others"};
  // Longer than a stream lasts with the timeout below.
  static constexpr Duration kLong = seconds(5);

  // The attempt that begins a stream and the one that goes on have a second each.
  static constexpr Duration kTakenUpWithin = seconds(2);

  static std::string name_of(size_t node) { return "n" + std::to_string(node % kNodes); }

  void write_routes() {
    cluster_.write_configuration(++configuration_, [this](nlohmann::json& fields) {
      fields["services"].push_back({{"name", "others"}, {"max_conns", 100}});
      for (nlohmann::json& route : fields["routes"]) {
        route["service"] = kServices[service_];
        route["timeout_ms"] = 1000;
      }
    });
  }
  // All workers of the service are replaced by ones of its next version.
  void release(const std::string& service) {
    const std::string version = std::to_string(++versions_[service]);
    std::vector<std::string>& listed = listed_[service];
    const std::vector<std::string> before = std::exchange(listed, {});
    for (int number = 0; number < 2; ++number) {
      const std::string id = service + version + "-" + std::to_string(number);
      const std::string address = "10.1.0." + std::to_string(++addresses_);
      const nlohmann::json worker = {{"service", service}, {"address", address + ":80"},
                                     {"zone", "zone-a"},   {"slots", 50},
                                     {"state", "ready"},   {"version", version}};
      software_at_[address] = service + version;
      cluster_.put("servers", id, worker.dump());
      listed.push_back(id);
    }
    cluster_.clock.run_for(milliseconds(random_.below(600)));
    for (const std::string& id : before) {
      cluster_.put("servers", id, std::nullopt);
    }
  }
  bool runs(const std::string& node) const {
    const auto found = cluster_.nodes.find(node);
    return found != cluster_.nodes.end() && found->second && !found->second->dispatcher.frozen() &&
           found->second->node.routes();
  }
  void cut(const std::string& node, bool datagrams, bool store) {
    if (!runs(node)) {
      return;
    }
    if (datagrams) {
      cluster_.hub.cut.insert(cluster_.nodes.at(node)->address);
    }
    cluster_.nodes.at(node)->store.set_cut(store);
  }
  void heal(const std::string& node) {
    if (!cluster_.nodes.at(node)) {
      cluster_.start_node(node);
      return;
    }
    cluster_.hub.cut.erase(cluster_.nodes.at(node)->address);
    cluster_.nodes.at(node)->store.set_cut(false);
    cluster_.nodes.at(node)->dispatcher.thaw();
  }
  void freeze(const std::string& node) {
    if (runs(node)) {
      cluster_.nodes.at(node)->dispatcher.freeze();
    }
  }

  void begin_streams() {
    for (size_t node = 0; node < kNodes; ++node) {
      if (runs(name_of(node))) {
        const std::string id = "s" + std::to_string(++attempts_);
        first_of_[id] = id;
        begun_[id] = cluster_.clock.monotonic_now();
        answers_[id] = cluster_.request("/stream/x", id, name_of(node));
      }
    }
    cluster_.clock.run_for(milliseconds(20));
  }
  // Callers leave, and come to another node.
  void take_up_streams() {
    const std::map<std::string, SeenAnswerPtr> open = std::exchange(answers_, {});
    for (const auto& [id, seen] : open) {
      if (seen->on_closed) {
        const auto on_closed = std::exchange(seen->on_closed, nullptr);
        on_closed();
      }
      const std::string node = name_of(random_.below(kNodes));
      const std::string& first = first_of_.at(id);
      const Duration age = cluster_.clock.monotonic_now() - begun_.at(first);
      if (software_.contains(first) && runs(node) && age <= kTakenUpWithin) {
        const std::string next = "s" + std::to_string(++attempts_);
        first_of_[next] = first;
        answers_[next] = cluster_.take_up("/stream/x", next, first, node);
      }
    }
    cluster_.clock.run_for(milliseconds(300));
  }

  void receive(ScriptedCall& call) {
    call_after(cluster_.loop, milliseconds(2), [this, &call] {
      if (!call.open()) {
        return;
      }
      const std::string last = call.header(platform::kLastEventId);
      const auto first = first_of_.find(call.header(platform::kRequestId));
      if (first != first_of_.end()) {
        software_[first->second].insert(software_at_.at(call.worker.ip));
      }
      call.begin();
      call.event(last.empty() ? 1 : std::stoull(last) + 1);
    });
  }

  SeededRandomGenerator random_;
  uint64_t configuration_ = 1;
  size_t service_ = 0;
  std::map<std::string, int> versions_;
  std::map<std::string, std::vector<std::string>> listed_;
  std::map<std::string, std::string> software_at_;  // by the worker's address
  std::map<std::string, std::string> first_of_;     // the attempt that began the stream, by attempt
  std::map<std::string, MonotonicTime> begun_;      // by first attempt
  std::map<std::string, std::set<std::string>> software_;  // of a stream's events, by first attempt
  std::map<std::string, SeenAnswerPtr> answers_;           // of the attempts made last
  int addresses_ = 0;
  int attempts_ = 0;
  ServingCluster cluster_{0, 0};
};

RC_GTEST_PROP(StreamOriginProperty, NoStreamHasEventsOfTwoVersions,
              (uint32_t seed, const std::vector<uint8_t>& steps)) {
  OriginHistory history(seed);
  for (const uint8_t step : steps) {
    history.take_step(step);
  }
  history.check();
}

}  // namespace
}  // namespace chalkshed
