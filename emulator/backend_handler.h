// A plain back end. After a configurable latency it responds to every request with its own name and
// the received request, and reports its load in a header.
#pragma once

#include <string>

#include "emulator/delayed_calls.h"
#include "emulator/run_log.h"
#include "src/core/http_message.h"

namespace chalkshed {

struct BackendSettings {
  std::string name;
  Duration latency = std::chrono::milliseconds(2);
};

class BackendHandler : public HttpHandler {
 public:
  BackendHandler(BackendSettings settings, const TimeSource& time_source, Dispatcher& dispatcher,
                 RunRecorder recorder = {});
  void handle(HttpRequest request, ResponseWriterPtr writer) override;
  void set_latency(Duration latency) { settings_.latency = latency; }
  void set_leaving(bool leaving) { leaving_ = leaving; }

 private:
  std::string body(const HttpRequest& request);

  BackendSettings settings_;
  bool leaving_ = false;
  RunRecorder recorder_;
  uint64_t received_ = 0;
  uint64_t served_ = 0;
  uint64_t in_progress_ = 0;
  DelayedCalls calls_;
};

}  // namespace chalkshed
