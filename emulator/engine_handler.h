// Serves one EngineModel over HTTP in the formats of docs/operators/platform_adapters.md, and
// also POST /orders, GET /cache_events and GET /counters.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "emulator/engine_model.h"
#include "emulator/run_log.h"
#include "src/core/http_message.h"
#include "src/core/lifetime.h"

namespace chalkshed {

class EngineHandler : public HttpHandler {
 public:
  EngineHandler(EngineModel& engine, Dispatcher& dispatcher, RunRecorder recorder = {});
  ~EngineHandler() override;
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

  // Kills the engine and aborts all its connections.
  void kill();
  // While frozen, requests are accepted but not answered.
  void set_frozen(bool frozen);

 private:
  class Stream;
  using Route = void (EngineHandler::*)(const HttpRequest&, ResponseWriterPtr);

  void generate(const HttpRequest& request, ResponseWriterPtr writer);
  void cancel(const HttpRequest& request, ResponseWriterPtr writer);
  void load(const HttpRequest& request, ResponseWriterPtr writer);
  void cache_events(const HttpRequest& request, ResponseWriterPtr writer);
  void orders(const HttpRequest& request, ResponseWriterPtr writer);
  void counters(const HttpRequest& request, ResponseWriterPtr writer);
  void record_end(const std::string& attempt_id, RunOutcome outcome);
  void end_stream(const std::string& attempt_id);

  EngineModel& engine_;
  Dispatcher& dispatcher_;
  RunRecorder recorder_;
  std::map<std::string, std::unique_ptr<Stream>> streams_;
  std::deque<std::pair<HttpRequest, ResponseWriterPtr>> held_requests_;  // received while frozen
  Lifetime lifetime_;
};

}  // namespace chalkshed
