#include "emulator/backend_handler.h"

#include <nlohmann/json.hpp>

namespace chalkshed {

using nlohmann::json;

BackendHandler::BackendHandler(BackendSettings settings, const TimeSource& time_source,
                               Dispatcher& dispatcher, RunRecorder recorder)
    : settings_(std::move(settings)),
      recorder_(std::move(recorder)),
      calls_(time_source, dispatcher) {}

std::string BackendHandler::body(const HttpRequest& request) {
  json answer;
  if (request.path == "/load") {
    answer = {{"in_progress", in_progress_}, {"leaving", leaving_}};
  } else {
    answer = {{"backend", settings_.name}, {"serial", ++served_},    {"method", request.method},
              {"path", request.path},      {"query", request.query}, {"body", request.body}};
  }
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

void BackendHandler::handle(HttpRequest request, ResponseWriterPtr writer) {
  ++in_progress_;
  const bool is_work = request.path != "/load";
  const std::string attempt = std::to_string(++received_);
  if (is_work) {
    recorder_.arrived(attempt, request.body, false, 0);
  }
  calls_.add(settings_.latency, [this, attempt, is_work, request = std::move(request),
                                 writer = std::shared_ptr<ResponseWriter>(std::move(writer))] {
    --in_progress_;
    if (is_work) {
      recorder_.ended(attempt, RunOutcome::kFinished, 0);
    }
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"X-Backend-Load", std::to_string(in_progress_)});
    if (leaving_) {
      response.headers.push_back({"X-Backend-Leaving", "1"});
    }
    response.body = body(request);
    writer->respond(response);
  });
}

}  // namespace chalkshed
