#include "src/gateway/gateway.h"

#include "src/gateway/forwarded_headers.h"
#include "src/gateway/model_request.h"
#include "src/gateway/once_request.h"
#include "src/gateway/pass_through_request.h"

namespace chalkshed {
namespace {

constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kServicesPrefix = "/services/";

bool is_completion_path(std::string_view path) {
  return path == kTextCompletionPath || path == kChatCompletionPath;
}

bool is_models_path(std::string_view path) {
  return path == kModelsPath || path.starts_with(std::string(kModelsPath) + "/");
}

// Methods that a proxy may retry according to RFC 9110, section 9.2.2.
bool is_idempotent_method(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" ||
         method == "OPTIONS";
}

std::optional<Error> require_method(const HttpRequest& request, std::string_view method) {
  if (request.method == method) {
    return std::nullopt;
  }
  return not_run(ErrorKind::kInvalidRequest,
                 request.path + " does not support the method " + request.method,
                 "use " + std::string(method));
}

Error unknown_path(const std::string& path) {
  return not_run(ErrorKind::kNotFound, "no resource at '" + path + "'",
                 "use /v1/chat/completions, /v1/completions, /v1/models, /v1/batches or "
                 "/services/<name>/...");
}

// The service name of /services/<name>/..., and the rest of the path, which is at least "/".
struct ServicePath {
  std::string service;
  std::string rest;
};

ServicePath split_service_path(std::string_view path) {
  path.remove_prefix(kServicesPrefix.size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return {std::string(path), "/"};
  }
  return {std::string(path.substr(0, slash)), std::string(path.substr(slash))};
}

// Reading and copying larger bodies would block the event loop, and thereby the requests of other
// callers.
std::optional<Error> check_body_size(const std::string& body, size_t limit) {
  if (body.size() <= limit) {
    return std::nullopt;
  }
  return not_run(ErrorKind::kTooLarge,
                 "the body of " + std::to_string(body.size()) + " bytes exceeds the limit",
                 "send at most " + std::to_string(limit) + " bytes");
}

// The claim to acquire before the request runs, for requests that must run at most once.
std::optional<ClaimRequest> make_claim_request(const HttpRequest& request,
                                               const RequestContext& context,
                                               const CallerOptions& options) {
  if (!options.not_repeatable) {
    return std::nullopt;
  }
  return ClaimRequest{context.tenant, *options.idempotency_key, request_digest(request)};
}

std::vector<std::string> list_models(const Configuration& configuration) {
  std::set<std::string> models;
  for (const auto& [name, service] : configuration.services) {
    if (service.kind == ServiceKind::kModel) {
      models.insert(service.models.begin(), service.models.end());
    }
  }
  return {models.begin(), models.end()};
}

}  // namespace

Gateway::Gateway(const NodeIdentity& identity, NodeDependencies& dependencies,
                 ConfigurationSource& configuration, PolicyEvaluator& policies, Router& router,
                 TenantAdmission& admission, const GatewayKnobs& knobs)
    : configuration_(configuration),
      policies_(policies),
      admission_(admission),
      environment_{dependencies.time_source,
                   dependencies.dispatcher,
                   dependencies.engine_client,
                   dependencies.backend_client,
                   router,
                   dependencies.logger,
                   dependencies.metrics,
                   knobs,
                   UniqueIds(identity)},
      claims_(identity, dependencies, knobs.claims) {}

size_t Gateway::requests_in_progress() const { return active_.size() + claims_.pending_outcomes(); }

void Gateway::handle(HttpRequest request, ResponseWriterPtr writer) {
  const std::string request_id = choose_request_id(request.headers, environment_.unique_ids.next());
  const std::optional<Error> error = try_handle(request, request_id, writer);
  if (!error) {
    return;
  }
  RequestContext context;
  context.request_id = request_id;
  context.received = environment_.time_source.monotonic_now();
  AnswerWriter answer(std::move(writer), request_id, environment_.knobs);
  answer.refuse(*error);
  record(context, {RequestEnd::kFailed, Ran::kNo, *error});
}

std::optional<Error> Gateway::try_handle(HttpRequest& request, const std::string& request_id,
                                         ResponseWriterPtr& writer) {
  const bool plain_service = request.path.starts_with(kServicesPrefix);
  const bool models = is_models_path(request.path);
  if (!plain_service && !models && !is_completion_path(request.path)) {
    return unknown_path(request.path);
  }
  Expected<Admitted> admitted = admit(request, request_id);
  if (!admitted) {
    return admitted.error();
  }
  if (plain_service) {
    return handle_plain_service(request, std::move(*admitted), writer);
  }
  if (models) {
    return handle_models(request, *admitted, writer);
  }
  return handle_completion(request, std::move(*admitted), writer);
}

Expected<Gateway::Admitted> Gateway::admit(const HttpRequest& request,
                                           const std::string& request_id) {
  Admitted admitted;
  admitted.configuration = configuration_.current();
  if (!admitted.configuration) {
    return tl::unexpected(not_run(ErrorKind::kUnavailable, "this node has no configuration yet",
                                  "retry, or use another node"));
  }
  Expected<std::string> tenant = admit_caller(request, *admitted.configuration, admission_);
  if (!tenant) {
    return tl::unexpected(tenant.error());
  }
  Expected<CallerOptions> options = read_caller_options(request.headers, environment_.knobs);
  if (!options) {
    return tl::unexpected(options.error());
  }
  admitted.options = std::move(*options);
  admitted.context.request_id = request_id;
  admitted.context.tenant = std::move(*tenant);
  admitted.context.received = environment_.time_source.monotonic_now();
  return admitted;
}

std::optional<Error> Gateway::handle_completion(HttpRequest& request, Admitted admitted,
                                                ResponseWriterPtr& writer) {
  if (std::optional<Error> error = require_method(request, "POST")) {
    return error;
  }
  if (auto error = check_body_size(request.body, environment_.knobs.max_completion_body_bytes)) {
    return error;
  }
  Expected<CompletionRequest> completion = parse_completion_request(request.path, request.body);
  if (!completion) {
    return completion.error();
  }
  const auto service = find_service_of_model(*admitted.configuration, completion->model);
  if (!service) {
    return service.error();
  }
  RequestAttributes attributes;
  attributes.service = (*service)->name;
  attributes.tenant = admitted.context.tenant;
  attributes.model = completion->model;
  attributes.path = request.path;
  attributes.prompt_tokens = completion->prompt_tokens;
  attributes.max_tokens = completion->max_tokens;
  attributes.streamed = completion->stream;
  attributes.deadline = admitted.options.deadline;
  attributes.urgency_hint = admitted.options.urgency_hint;
  admitted.context.service = (*service)->name;
  admitted.context.repeatable = !admitted.options.not_repeatable;
  if (auto error =
          apply_policy(policies_, attributes, **service, environment_.knobs, admitted.context)) {
    return error;
  }
  auto make_run = [this, context = admitted.context, completion = std::move(*completion)](
                      ResponseWriterPtr run_writer, DoneCallback done) mutable -> ActiveRequestPtr {
    return std::make_unique<ModelRequest>(environment_, context, std::move(completion),
                                          std::move(run_writer), std::move(done));
  };
  run(admitted.context, make_claim_request(request, admitted.context, admitted.options),
      std::move(make_run), writer);
  return std::nullopt;
}

std::optional<Error> Gateway::handle_plain_service(HttpRequest& request, Admitted admitted,
                                                   ResponseWriterPtr& writer) {
  ServicePath path = split_service_path(request.path);
  const auto service = find_plain_service(*admitted.configuration, path.service);
  if (!service) {
    return service.error();
  }
  RequestAttributes attributes;
  attributes.service = path.service;
  attributes.tenant = admitted.context.tenant;
  attributes.path = request.path;
  attributes.deadline = admitted.options.deadline;
  attributes.urgency_hint = admitted.options.urgency_hint;
  admitted.context.service = path.service;
  admitted.context.repeatable =
      !admitted.options.not_repeatable && is_idempotent_method(request.method);
  if (auto error =
          apply_policy(policies_, attributes, **service, environment_.knobs, admitted.context)) {
    return error;
  }
  if (auto error = check_body_size(request.body, environment_.knobs.max_plain_body_bytes)) {
    return error;
  }
  std::optional<ClaimRequest> claim =
      make_claim_request(request, admitted.context, admitted.options);
  HttpRequest forwarded = std::move(request);
  forwarded.path = std::move(path.rest);
  auto make_run = [this, context = admitted.context, forwarded = std::move(forwarded)](
                      ResponseWriterPtr run_writer, DoneCallback done) mutable -> ActiveRequestPtr {
    return std::make_unique<PassThroughRequest>(environment_, context, std::move(forwarded),
                                                std::move(run_writer), std::move(done));
  };
  run(admitted.context, std::move(claim), std::move(make_run), writer);
  return std::nullopt;
}

std::optional<Error> Gateway::handle_models(const HttpRequest& request, const Admitted& admitted,
                                            ResponseWriterPtr& writer) {
  if (std::optional<Error> error = require_method(request, "GET")) {
    return error;
  }
  // Models have no creation date here, but the API requires a number.
  constexpr int64_t kCreated = 0;
  HttpResponse response = {200, {{"Content-Type", "application/json"}}, ""};
  if (request.path == kModelsPath) {
    response.body = format_models(list_models(*admitted.configuration), kCreated);
  } else {
    const std::string model = request.path.substr(kModelsPath.size() + 1);
    const auto service = find_service_of_model(*admitted.configuration, model);
    if (!service) {
      return service.error();
    }
    response.body = format_model(model, kCreated);
  }
  AnswerWriter answer(std::move(writer), admitted.context.request_id, environment_.knobs);
  answer.respond(std::move(response));
  return std::nullopt;
}

void Gateway::run(const RequestContext& context, std::optional<ClaimRequest> claim,
                  RunFactory make_run, ResponseWriterPtr& writer) {
  const uint64_t id = next_active_id_++;
  DoneCallback done = when_done(id, context);
  ActiveRequestPtr active;
  if (claim) {
    active = std::make_unique<OnceRequest>(environment_, claims_, context, std::move(*claim),
                                           std::move(make_run), std::move(writer), std::move(done));
  } else {
    active = make_run(std::move(writer), std::move(done));
  }
  ActiveRequest& started = *active;
  active_.emplace(id, std::move(active));
  started.start();
}

DoneCallback Gateway::when_done(uint64_t id, const RequestContext& context) {
  return [this, id, context](const RequestOutcome& outcome) {
    record(context, outcome);
    remove_later(id);
  };
}

void Gateway::record(const RequestContext& context, const RequestOutcome& outcome) {
  const Duration took = environment_.time_source.monotonic_now() - context.received;
  const std::string end(request_end_name(outcome.end));
  const std::string kind(outcome.error ? error_kind_name(outcome.error->kind) : "");
  environment_.metrics
      .counter("chalkshed_online_requests_total", "Online requests by how they ended.",
               {{"service", context.service}, {"end", end}, {"error", kind}})
      .add(1);
  environment_.metrics
      .histogram("chalkshed_online_request_seconds", "Time to the end of the answer.",
                 {{"service", context.service}})
      .observe(std::chrono::duration<double>(took).count());
  environment_.logger.write(outcome.error ? LogLevel::kWarning : LogLevel::kInfo,
                            "online_request_ended",
                            {{"request_id", context.request_id},
                             {"tenant", context.tenant},
                             {"service", context.service},
                             {"end", end},
                             {"error", kind},
                             {"message", outcome.error ? outcome.error->message : ""},
                             {"ran", std::string(ran_name(outcome.ran))},
                             {"took_us", std::to_string(took.count())}});
}

void Gateway::remove_later(uint64_t id) {
  // The request is still on the call stack.
  environment_.dispatcher.post(lifetime_.guard([this, id] { active_.erase(id); }));
}

}  // namespace chalkshed
