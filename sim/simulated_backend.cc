#include "sim/simulated_backend.h"

#include <utility>

#include "src/core/digest.h"

namespace chalkshed {

std::string expected_backend_answer(std::string_view body) {
  return "answer " + content_digest(body);
}

SimulatedBackend::SimulatedBackend(SimulatedNetwork& network, SimulatedHost& host,
                                   HistoryRecorder& recorder, uint64_t incarnation)
    : network_(network), host_(host), recorder_(recorder), incarnation_(incarnation) {
  host.handler = this;
  host.listening = true;
}

SimulatedBackend::~SimulatedBackend() {
  for (const auto& [attempt, request] : requests_) {
    recorder_.record(RunEnded{host_.name, attempt, exit_outcome_, 0});
  }
}

std::string SimulatedBackend::sender_name(const Address& peer) {
  const SimulatedHost* sender = network_.find_host(peer);
  return sender != nullptr ? sender->name : "";
}

void SimulatedBackend::handle(HttpRequest request, ResponseWriterPtr writer) {
  const std::string attempt =
      host_.name + "-" + std::to_string(incarnation_) + "-" + std::to_string(next_run_++);
  recorder_.record(
      RunArrived{host_.name, attempt, request.body, false, 0, sender_name(request.peer)});
  requests_[attempt] = {std::move(request.body), std::move(writer)};
  host_.dispatcher->schedule(service_time_, [this, attempt] { answer(attempt); });
}

void SimulatedBackend::answer(const std::string& attempt) {
  Request request = std::move(requests_.extract(attempt).mapped());
  recorder_.record(RunEnded{host_.name, attempt, RunOutcome::kFinished, 0});
  HttpResponse response;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.body = expected_backend_answer(request.body);
  request.writer->respond(response);
}

}  // namespace chalkshed
