#include "emulator/engine_handler.h"

#include <nlohmann/json.hpp>

#include "src/adapters/engine_codec.h"
#include "src/adapters/error_codec.h"

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;

HttpResponse json_response(std::string body) {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

Error invalid(std::string message) {
  return not_run(ErrorKind::kInvalidRequest, std::move(message),
                 "use the format in docs/operators/emulator.md");
}

Expected<EngineOrder> decode_order(std::string_view body) {
  try {
    const json object = json::parse(body);
    EngineOrder order;
    order.fence = object.at("fence").get<uint64_t>();
    order.model = object.value("model", "");
    order.version = object.value("version", "");
    const std::string kind = object.at("kind").get<std::string>();
    const std::string role = object.value("role", "mixed");
    order.role = role == "online"  ? EngineRole::kOnlineOnly
                 : role == "batch" ? EngineRole::kBatchOnly
                                   : EngineRole::kMixed;
    const std::map<std::string, EngineOrderKind> kinds = {
        {"load_model", EngineOrderKind::kLoadModel},
        {"unload_model", EngineOrderKind::kUnloadModel},
        {"change_role", EngineOrderKind::kChangeRole},
        {"leave", EngineOrderKind::kLeave},
        {"stay", EngineOrderKind::kStay}};
    const auto found = kinds.find(kind);
    if (found == kinds.end()) {
      return tl::unexpected(invalid("unknown order " + kind));
    }
    order.kind = found->second;
    return order;
  } catch (const json::exception& exception) {
    return tl::unexpected(invalid(std::string("malformed order: ") + exception.what()));
  }
}

}  // namespace

// Streams the events of one request to its connection.
class EngineHandler::Stream : public GenerateCallbacks {
 public:
  Stream(EngineHandler& handler, std::string attempt_id, ResponseWriterPtr writer)
      : handler_(handler), attempt_id_(std::move(attempt_id)), writer_(std::move(writer)) {}

  void on_chunk(const GenerateChunk& chunk) override {
    start();
    writer_->write(encode_chunk_line(chunk));
  }
  // on_complete() and on_error() schedule the destruction of this object.
  void on_complete(const GenerateResult& result) override {
    start();
    writer_->write(encode_done_line(result));
    writer_->finish();
    handler_.record_end(attempt_id_, RunOutcome::kFinished);
    handler_.end_stream(attempt_id_);
  }
  void on_error(const Error& /*error*/) override {
    writer_->abort();
    handler_.record_end(attempt_id_, RunOutcome::kLost);
    handler_.end_stream(attempt_id_);
  }

 private:
  void start() {
    if (!started_) {
      started_ = true;
      writer_->start(kStatusOk, {{"Content-Type", "application/x-ndjson"}});
    }
  }

  EngineHandler& handler_;
  std::string attempt_id_;
  ResponseWriterPtr writer_;
  bool started_ = false;
};

EngineHandler::EngineHandler(EngineModel& engine, Dispatcher& dispatcher, RunRecorder recorder)
    : engine_(engine), dispatcher_(dispatcher), recorder_(std::move(recorder)) {
  engine_.set_admission_observer([this](const std::string& attempt_id) {
    recorder_.admitted(attempt_id, engine_.load().step_number);
  });
}

EngineHandler::~EngineHandler() {
  for (const auto& [attempt_id, stream] : streams_) {
    engine_.cancel(attempt_id);
  }
}

void EngineHandler::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (engine_.frozen()) {
    held_requests_.emplace_back(std::move(request), std::move(writer));
    return;
  }
  static const std::map<std::string, Route> kRoutes = {
      {"POST /generate", &EngineHandler::generate},
      {"POST /cancel", &EngineHandler::cancel},
      {"GET /load", &EngineHandler::load},
      {"GET /cache_events", &EngineHandler::cache_events},
      {"POST /orders", &EngineHandler::orders},
      {"GET /counters", &EngineHandler::counters}};
  const auto route = kRoutes.find(request.method + " " + request.path);
  if (route == kRoutes.end()) {
    writer->respond(encode_error(not_run(ErrorKind::kNotFound, "no such path: " + request.path,
                                         "see docs/operators/emulator.md")));
    return;
  }
  (this->*route->second)(request, std::move(writer));
}

void EngineHandler::generate(const HttpRequest& request, ResponseWriterPtr writer) {
  Expected<GenerateRequest> generate = decode_generate_request(request.body);
  if (!generate) {
    writer->respond(encode_error(generate.error()));
    return;
  }
  const std::string attempt_id = generate->attempt_id;
  if (streams_.contains(attempt_id)) {
    writer->respond(encode_error(
        maybe_run(ErrorKind::kConflict, "attempt " + attempt_id + " is already running",
                  "give every attempt its own id"),
        attempt_id));
    return;
  }
  ResponseWriter& connection = *writer;
  recorder_.arrived(attempt_id, generate->prompt, generate->priority == EnginePriority::kBatch,
                    engine_.load().step_number);
  auto stream = std::make_unique<Stream>(*this, attempt_id, std::move(writer));
  const std::optional<Error> refusal = engine_.submit(std::move(*generate), *stream);
  if (refusal) {
    record_end(attempt_id, RunOutcome::kRefused);
    connection.respond(encode_error(*refusal, attempt_id));
    return;
  }
  connection.set_on_closed(lifetime_.guard([this, attempt_id] {
    engine_.cancel(attempt_id);
    record_end(attempt_id, RunOutcome::kCancelled);
    // Deferred to a later loop iteration, because this runs in the writer's own callback.
    dispatcher_.post(lifetime_.guard([this, attempt_id] { streams_.erase(attempt_id); }));
  }));
  streams_.emplace(attempt_id, std::move(stream));
}

void EngineHandler::record_end(const std::string& attempt_id, RunOutcome outcome) {
  recorder_.ended(attempt_id, outcome, engine_.load().step_number);
}

void EngineHandler::end_stream(const std::string& attempt_id) {
  // Called by the stream itself, so its destruction is deferred to a later loop iteration.
  auto stream = streams_.extract(attempt_id);
  dispatcher_.post([ended = std::shared_ptr<Stream>(std::move(stream.mapped()))] {});
}

void EngineHandler::cancel(const HttpRequest& request, ResponseWriterPtr writer) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("attempt_id") || !body["attempt_id"].is_string()) {
    writer->respond(encode_error(invalid("attempt_id is missing")));
    return;
  }
  const auto attempt_id = body["attempt_id"].get<std::string>();
  engine_.cancel(attempt_id);
  record_end(attempt_id, RunOutcome::kCancelled);
  streams_.erase(attempt_id);  // aborts its connection
  writer->respond(json_response("{}"));
}

void EngineHandler::load(const HttpRequest& /*request*/, ResponseWriterPtr writer) {
  writer->respond(json_response(encode_load(engine_.reported_load())));
}

void EngineHandler::cache_events(const HttpRequest& request, ResponseWriterPtr writer) {
  constexpr std::string_view kAfter = "after=";
  uint64_t after = 0;
  if (request.query.starts_with(kAfter)) {
    after = std::strtoull(request.query.c_str() + kAfter.size(), nullptr, 10);
  }
  json events = json::array();
  for (const CacheEvent& event : engine_.cache_events(after)) {
    events.push_back({{"sequence", event.sequence},
                      {"block", event.block_hash},
                      {"change", event.added ? "added" : "removed"}});
  }
  writer->respond(json_response(json{{"events", std::move(events)}}.dump()));
}

void EngineHandler::orders(const HttpRequest& request, ResponseWriterPtr writer) {
  const Expected<EngineOrder> order = decode_order(request.body);
  const std::optional<Error> error =
      order ? engine_.apply_order(*order) : std::optional<Error>(order.error());
  writer->respond(error ? encode_error(*error) : json_response("{}"));
}

void EngineHandler::counters(const HttpRequest& /*request*/, ResponseWriterPtr writer) {
  const EngineCounters& counters = engine_.counters();
  const json body = {{"steps", counters.steps},
                     {"busy_seconds", std::chrono::duration<double>(counters.busy).count()},
                     {"online_tokens", counters.online_tokens},
                     {"batch_tokens", counters.batch_tokens},
                     {"online_prompt_tokens", counters.online_prompt_tokens},
                     {"batch_prompt_tokens", counters.batch_prompt_tokens},
                     {"finished_batch_sequences", counters.finished_batch_sequences},
                     {"cancelled_sequences", counters.cancelled_sequences},
                     {"preemptions", counters.preemptions},
                     {"refused_sequences", counters.refused_sequences}};
  writer->respond(json_response(body.dump()));
}

void EngineHandler::kill() {
  held_requests_.clear();
  engine_.kill();
}

void EngineHandler::set_frozen(bool frozen) {
  engine_.set_frozen(frozen);
  if (frozen) {
    return;
  }
  auto held = std::exchange(held_requests_, {});
  for (auto& [request, writer] : held) {
    handle(std::move(request), std::move(writer));
  }
}

}  // namespace chalkshed
