// Simulated process of a plain back end: answers each request after a short service time with a
// text that depends only on the request, and records the execution.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "sim/history_recorder.h"
#include "sim/simulated_network.h"

namespace chalkshed {

// @return the response body that every back end sends for a request with that body.
std::string expected_backend_answer(std::string_view body);

class SimulatedBackend : public HttpHandler {
 public:
  SimulatedBackend(SimulatedNetwork& network, SimulatedHost& host, HistoryRecorder& recorder,
                   uint64_t incarnation);
  ~SimulatedBackend() override;
  SimulatedBackend(const SimulatedBackend&) = delete;
  SimulatedBackend& operator=(const SimulatedBackend&) = delete;
  void handle(HttpRequest request, ResponseWriterPtr writer) override;
  size_t requests() const { return requests_.size(); }
  void set_exit_outcome(RunOutcome outcome) { exit_outcome_ = outcome; }
  void set_service_time(Duration time) { service_time_ = time; }

 private:
  struct Request {
    std::string body;
    ResponseWriterPtr writer;
  };
  void answer(const std::string& attempt);
  std::string sender_name(const Address& peer);

  SimulatedNetwork& network_;
  SimulatedHost& host_;
  HistoryRecorder& recorder_;
  const uint64_t incarnation_;
  Duration service_time_ = std::chrono::milliseconds(2);
  std::map<std::string, Request> requests_;  // by attempt
  uint64_t next_run_ = 0;
  RunOutcome exit_outcome_ = RunOutcome::kLost;
};

}  // namespace chalkshed
