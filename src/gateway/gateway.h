// The callers' API for online requests: completions, models, and pass-through to plain services.
#pragma once

#include <cstdint>
#include <map>

#include "src/configuration/configuration.h"
#include "src/core/lifetime.h"
#include "src/gateway/active_request.h"
#include "src/gateway/gateway_environment.h"
#include "src/gateway/request_admission.h"
#include "src/once/claim_registry.h"
#include "src/openai/completion.h"

namespace chalkshed {

class Gateway : public HttpHandler {
 public:
  Gateway(const NodeIdentity& identity, NodeDependencies& dependencies,
          ConfigurationSource& configuration, PolicyEvaluator& policies, Router& router,
          TenantAdmission& admission, const GatewayKnobs& knobs = {});

  // Serves /v1/completions, /v1/chat/completions, /v1/models[/...] and /services/<name>/...
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

  // Number of requests without a final answer and of outcomes that are not stored yet. A planned
  // stop waits until it is zero.
  size_t requests_in_progress() const;

 private:
  // A request that has passed the checks common to all paths.
  struct Admitted {
    ConfigurationPtr configuration;
    CallerOptions options;
    RequestContext context;
  };

  // Errors are Ran::kNo. On success, ownership of the writer was taken.
  std::optional<Error> try_handle(HttpRequest& request, const std::string& request_id,
                                  ResponseWriterPtr& writer);
  Expected<Admitted> admit(const HttpRequest& request, const std::string& request_id);
  std::optional<Error> handle_completion(HttpRequest& request, Admitted admitted,
                                         ResponseWriterPtr& writer);
  std::optional<Error> handle_plain_service(HttpRequest& request, Admitted admitted,
                                            ResponseWriterPtr& writer);
  std::optional<Error> handle_models(const HttpRequest& request, const Admitted& admitted,
                                     ResponseWriterPtr& writer);

  using RunFactory = std::function<ActiveRequestPtr(ResponseWriterPtr, DoneCallback)>;
  // Runs a request to its end. @param claim the claim to acquire first, for a request that must run
  // at most once.
  void run(const RequestContext& context, std::optional<ClaimRequest> claim, RunFactory make_run,
           ResponseWriterPtr& writer);
  DoneCallback when_done(uint64_t id, const RequestContext& context);
  void record(const RequestContext& context, const RequestOutcome& outcome);
  void remove_later(uint64_t id);

  ConfigurationSource& configuration_;
  PolicyEvaluator& policies_;
  TenantAdmission& admission_;
  GatewayEnvironment environment_;
  ClaimRegistry claims_;
  std::map<uint64_t, ActiveRequestPtr> active_;
  uint64_t next_active_id_ = 0;
  Lifetime lifetime_;
};

}  // namespace chalkshed
