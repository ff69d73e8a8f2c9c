// Runs many hollow nodes in one process, with an HTTP control interface for the scale test.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scale/hollow_node.h"

namespace chalkshed {

struct HollowSettings {
  uint32_t first_index = 0;  // index of this process's first node, unique across processes
  uint32_t count = 0;
  uint32_t regions = 1;
  uint32_t zones = 1;
  uint16_t port = 0;  // UDP and TCP port of every node; nodes have different loopback addresses
  Address platform;
  Address control;  // address of the HTTP control interface
};

// Serves GET /report, POST /expect?nodes=<count> and POST /kill?count=<count>.
class HollowProcess : public HttpHandler {
 public:
  HollowProcess(const HollowSettings& settings, EventDispatcher& dispatcher);

  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  void add_node(uint32_t index);
  // Runs periodically: starts the next node, and records when all membership views first contained
  // the expected number of members.
  void poll();
  bool settled() const;
  void expect(size_t nodes);
  void kill(size_t count);
  std::string report() const;

  HollowSettings settings_;
  EventDispatcher& dispatcher_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  uint32_t started_nodes_ = 0;
  size_t expected_members_ = 0;
  std::optional<double> settled_at_;  // seconds on the monotonic clock
  // Time at which the most recent node of this process applied a version, on the monotonic clock.
  std::map<ConfigurationVersion, double> applied_at_;
  std::map<ConfigurationVersion, size_t> nodes_applied_;
  HttpServer control_server_;
  TimerPtr poll_timer_;
};

}  // namespace chalkshed
