#include "scale/hollow_process.h"

#include <sys/resource.h>
#include <unistd.h>

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(50);
constexpr uint32_t kNodesPerSubnet = 200;

double monotonic_seconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

double process_cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

uint64_t resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

// @return the value of a query with a single parameter, "name=value"; 0 if it is malformed.
size_t query_number(const std::string& query) {
  const size_t equals = query.find('=');
  size_t number = 0;
  if (equals != std::string::npos) {
    std::from_chars(query.data() + equals + 1, query.data() + query.size(), number);
  }
  return number;
}

NodeIdentity make_identity(const HollowSettings& settings, uint32_t index) {
  NodeIdentity identity;
  identity.id = "hollow-" + std::to_string(index);
  const std::string ip = "127.0." + std::to_string(10 + index / kNodesPerSubnet) + "." +
                         std::to_string(1 + index % kNodesPerSubnet);
  identity.http_address = {ip, settings.port};
  identity.peer_address = {ip, settings.port};
  identity.region = "region-" + std::to_string(index % settings.regions);
  identity.zone = "zone-" + std::to_string(index % settings.zones);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  identity.incarnation = static_cast<uint64_t>(std::chrono::duration_cast<Duration>(wall).count());
  return identity;
}

}  // namespace

HollowProcess::HollowProcess(const HollowSettings& settings, EventDispatcher& dispatcher)
    : settings_(settings),
      dispatcher_(dispatcher),
      control_server_(dispatcher, settings.control, *this),
      poll_timer_(dispatcher.create_timer([this] { poll(); })) {
  poll_timer_->enable(kPollInterval);
}

void HollowProcess::add_node(uint32_t index) {
  nodes_.push_back(std::make_unique<HollowNode>(make_identity(settings_, index), settings_.platform,
                                                dispatcher_));
  HollowNode& node = *nodes_.back();
  node.node().configuration().subscribe([this](const ConfigurationPtr& configuration) {
    applied_at_[configuration->version] = monotonic_seconds();
    ++nodes_applied_[configuration->version];
  });
  node.start();
}

void HollowProcess::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.path == "/expect") {
    expect(query_number(request.query));
  } else if (request.path == "/kill") {
    kill(query_number(request.query));
  }
  HttpResponse response;
  response.body = report();
  writer->respond(response);
}

void HollowProcess::poll() {
  poll_timer_->enable(kPollInterval);
  // Nodes start one by one, as real machines do. Starting all at once would measure the emulated
  // platform instead.
  if (started_nodes_ < settings_.count) {
    add_node(settings_.first_index + started_nodes_);
    ++started_nodes_;
  }
  if (!settled_at_ && settled()) {
    settled_at_ = monotonic_seconds();
  }
}

bool HollowProcess::settled() const {
  if (started_nodes_ < settings_.count) {
    return false;
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
    return node->node().membership().live_count() == expected_members_;
  });
}

void HollowProcess::expect(size_t nodes) {
  expected_members_ = nodes;
  settled_at_.reset();
}

// Destroys nodes without notifying other nodes, as in a machine failure.
void HollowProcess::kill(size_t count) {
  for (size_t killed = 0; killed < count && !nodes_.empty(); ++killed) {
    nodes_.erase(nodes_.begin());
  }
}

std::string HollowProcess::report() const {
  json digests = json::array();
  std::map<std::string, MessageTally> sums;
  uint64_t drain_marks = 0;
  for (const auto& node : nodes_) {
    digests.push_back(std::to_string(node->node().membership().view_digest()));
    drain_marks += node->node().membership().entries("drain_mark").size();
    for (const auto& [kind, tally] : node->meter().tallies()) {
      sums[kind].add(tally);
    }
  }
  json kinds = json::object();
  for (const auto& [kind, sum] : sums) {
    kinds[kind] = {{"messages", sum.messages},
                   {"bytes_sent", sum.bytes_sent},
                   {"bytes_received", sum.bytes_received},
                   {"cpu_microseconds", sum.cpu_nanoseconds / 1000}};
  }
  json in_force = json::object();
  for (const auto& [version, at] : applied_at_) {
    in_force[std::to_string(version)] = {{"at", at}, {"nodes", nodes_applied_.at(version)}};
  }
  json result = {{"time", monotonic_seconds()},
                 {"nodes", nodes_.size()},
                 {"cpu_seconds", process_cpu_seconds()},
                 {"resident_bytes", resident_bytes()},
                 {"kinds", kinds},
                 {"view_digests", digests},
                 {"drain_marks", drain_marks},
                 {"in_force", in_force}};
  if (settled_at_) {
    result["settled_at"] = *settled_at_;
  }
  return result.dump();
}

}  // namespace chalkshed
