// Client process: sends requests to nodes over the simulated network, parses the responses as a
// client library would, and records both.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/history_recorder.h"
#include "sim/simulated_http.h"

namespace chalkshed {

struct CallerRequest {
  CallBegan began;  // `call` is set by SimulatedCaller::send()
  HttpRequest http;
  Duration timeout = std::chrono::seconds(20);  // the caller abandons the call after this time
};

// The response as the caller parsed it.
struct CallerAnswer {
  CallEnded ended;
  int status = 0;    // 0: no response headers were received
  std::string body;  // as received
};

class SimulatedCaller {
 public:
  using Done = std::function<void(const CallerAnswer&)>;

  SimulatedCaller(SimulatedNetwork& network, SimulatedHost& host, HistoryRecorder& recorder);
  ~SimulatedCaller();
  SimulatedCaller(const SimulatedCaller&) = delete;
  SimulatedCaller& operator=(const SimulatedCaller&) = delete;

  // @param done called when the response has ended or the call timed out.
  void send(CallerRequest request, Done done);
  Dispatcher& dispatcher() { return *host_.dispatcher; }
  size_t calls_in_progress() const { return calls_.size(); }

 private:
  class Call;
  void end(const std::string& name);

  SimulatedNetwork& network_;
  SimulatedHost& host_;
  HistoryRecorder& recorder_;
  SimulatedHttpClient client_;
  std::map<std::string, std::unique_ptr<Call>> calls_;
  uint64_t next_call_ = 0;
};

}  // namespace chalkshed
