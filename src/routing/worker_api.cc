#include "src/routing/worker_api.h"

#include <nlohmann/json.hpp>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr std::string_view kWorkersPath = "/admin/workers";
constexpr std::string_view kDrainSuffix = "/drain";
constexpr std::string_view kRestoreSuffix = "/restore";

double milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

nlohmann::json describe_load(const EngineLoad& load, Duration age) {
  return {{"running_online", load.running_online},
          {"running_batch", load.running_batch},
          {"waiting_online", load.waiting_online},
          {"waiting_batch", load.waiting_batch},
          {"pending_prompt_tokens", load.pending_prompt_tokens},
          {"kv_blocks_used", load.kv_blocks_used},
          {"kv_blocks_total", load.kv_blocks_total},
          {"age_ms", milliseconds(age)}};
}

nlohmann::json describe_window(const BatchWindow& window, uint32_t in_flight) {
  return {{"held", window.held},
          {"sequences", window.limits.sequences},
          {"prompt_tokens", window.limits.prompt_tokens},
          {"in_flight", in_flight}};
}

nlohmann::json describe(const Worker& worker, MonotonicTime now) {
  nlohmann::json fields = {
      {"id", worker.id},
      {"service", worker.service},
      {"address", to_string(worker.address)},
      {"zone", worker.zone},
      {"incarnation", worker.incarnation},
      {"state", worker.leaving() ? "leaving" : "live"},
      {"why", leaving_source_name(worker.leaving_source)},
      {"in_flight", worker.load.own_in_flight()},
      {"ejected", worker.health.ejected(now)},
      {"ejections", worker.health.ejections()},
      {"window", describe_window(worker.window, worker.load.own_batch())},
  };
  if (worker.load.latest()) {
    fields["load"] = describe_load(*worker.load.latest(), worker.load.age(now));
  }
  return fields;
}

HttpResponse json_response(const nlohmann::json& body) {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

// @return the worker id in "/admin/workers/{id}<suffix>", or an empty string.
std::string parse_worker_id(std::string_view path, std::string_view suffix) {
  if (!path.starts_with(kWorkersPath) || !path.ends_with(suffix)) {
    return "";
  }
  path.remove_prefix(kWorkersPath.size());
  if (path.size() <= suffix.size() + 1 || path.front() != '/') {
    return "";
  }
  path.remove_prefix(1);
  path.remove_suffix(suffix.size());
  return std::string(path);
}

}  // namespace

void WorkerApi::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method == "GET" && request.path == kWorkersPath) {
    writer->respond(list());
    return;
  }
  if (request.method == "POST") {
    if (const std::string id = parse_worker_id(request.path, kDrainSuffix); !id.empty()) {
      writer->respond(order(id, true));
      return;
    }
    if (const std::string id = parse_worker_id(request.path, kRestoreSuffix); !id.empty()) {
      writer->respond(order(id, false));
      return;
    }
  }
  writer->respond(error_response(
      not_run(ErrorKind::kNotFound, "no " + request.method + " " + request.path,
              "use GET /admin/workers or POST /admin/workers/{id}/drain or /restore")));
}

HttpResponse WorkerApi::list() const {
  nlohmann::json workers = nlohmann::json::array();
  for (const auto& [id, worker] : router_.directory().all()) {
    workers.push_back(describe(*worker, router_.now()));
  }
  return json_response({{"workers", std::move(workers)}});
}

HttpResponse WorkerApi::order(const std::string& worker, bool drain) {
  const bool known = drain ? router_.drain(worker) : router_.restore(worker);
  if (!known) {
    return error_response(not_run(ErrorKind::kNotFound, "worker " + worker + " is unknown",
                                  "use an id from GET /admin/workers"));
  }
  return json_response(describe(*router_.directory().find(worker), router_.now()));
}

}  // namespace chalkshed
