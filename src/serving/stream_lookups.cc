#include "src/serving/stream_lookups.h"

#include "chalkshed/resumption_outcome.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

// The services to which a route leads, separated by commas.
std::string services_text(const Route& route) {
  std::string text;
  for (const WeightedService& candidate : route.services) {
    text += (text.empty() ? "" : ",") + candidate.service;
  }
  return text;
}

}  // namespace

StreamLookups::StreamLookups(ServingEnvironment& environment, OnKnown on_known, OnEnded on_ended)
    : environment_(environment), on_known_(std::move(on_known)), on_ended_(std::move(on_ended)) {}

bool StreamLookups::takes_up_stream(const Route& route, const ServingRequest& request) {
  return route.kind == RouteKind::kStreaming && request.resume_after.has_value();
}

void StreamLookups::add(ReceivedRequest received) {
  const ServingRequest& request = received.request;
  if (request.resumes == request.id && !request.id.empty()) {
    received.writer->respond(environment_.protocol.refusal(
        request.id, not_run(ErrorKind::kInvalidRequest,
                            "the request names itself as the stream's "
                            "first attempt",
                            "name the attempt that brought the first event")));
    on_ended_(request, *received.route, "rejected");
    return;
  }
  const uint64_t id = next_id_++;
  Pending& added = pending_[id];
  added.received = std::move(received);
  added.since = environment_.time_source.monotonic_now();
  added.received.writer->set_on_closed(lifetime_.guard([this, id] {
    const auto left = pending_.extract(id);
    on_ended_(left.mapped().received.request, *left.mapped().received.route, "caller_gone");
  }));
  environment_.origins->find(
      added.received.request, *added.received.route,
      lifetime_.guard([this, id](const stream_origin& origin) { decide(id, origin); }));
}

const std::string* StreamLookups::service_of(const Route& route, software_id software) const {
  for (const WeightedService& candidate : route.services) {
    if (environment_.workers.serves(candidate.service, software)) {
      return &candidate.service;
    }
  }
  return nullptr;
}

void StreamLookups::decide(uint64_t id, const stream_origin& origin) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;  // the caller has left
  }
  const bool known = origin.source != origin_source::kUnknown;
  const std::string* service =
      known ? service_of(*found->second.received.route, origin.software) : nullptr;
  if (known && service == nullptr && !std::exchange(found->second.views_read, true)) {
    decide_with_new_views(id, origin);
    return;
  }
  Pending pending = std::move(found->second);
  pending_.erase(found);
  pending.received.writer->set_on_closed(nullptr);
  if (service == nullptr) {
    refuse(pending, origin);
    return;
  }
  const resumption_outcome outcome = resumption_outcome::kSameVersion;
  count_resumption(environment_.metrics, resumed_work::kCaller, outcome);
  log(pending, origin, resumption_outcome_name(outcome));
  std::optional<Duration>& limit = pending.received.request.time_limit;
  if (limit) {
    const Duration elapsed = environment_.time_source.monotonic_now() - pending.since;
    limit = std::max(*limit - elapsed, Duration(std::chrono::milliseconds(1)));
  }
  on_known_(std::move(pending.received), *service, origin);
}

void StreamLookups::decide_with_new_views(uint64_t id, const stream_origin& origin) {
  environment_.origins->confirm_views(
      lifetime_.guard([this, id, origin](bool /*confirmed*/) { decide(id, origin); }));
}

void StreamLookups::refuse(const Pending& pending, const stream_origin& origin) {
  const bool known = origin.source != origin_source::kUnknown;
  const resumption_outcome outcome =
      known ? resumption_outcome::kNoWorker : resumption_outcome::kOriginUnknown;
  count_resumption(environment_.metrics, resumed_work::kCaller, outcome);
  log(pending, origin, resumption_outcome_name(outcome));
  const ServingRequest& request = pending.received.request;
  Error error = not_run(ErrorKind::kUnavailable,
                        known ? "no worker of the software version that began the stream serves"
                              : "the software version that began the stream is not known here",
                        "retry at another node, or request the answer from its beginning");
  error.retry_after = environment_.knobs.retry_after;
  pending.received.writer->respond(environment_.protocol.refusal(request.id, error));
  on_ended_(request, *pending.received.route, "not_resumed");
}

void StreamLookups::log(const Pending& pending, const stream_origin& origin,
                        std::string_view outcome) const {
  const ServingRequest& request = pending.received.request;
  environment_.logger.write(
      LogLevel::kInfo, "stream_taken_up",
      {{"request", request.id},
       {"first_attempt", request.resumes},
       {"route", pending.received.route->name},
       {"resume_after", std::to_string(*request.resume_after)},
       {"software", software_text(origin.software)},
       {"origin", std::string(origin_source_name(origin.source))},
       {"services", services_text(*pending.received.route)},
       {"versions", std::string(version_span_name(origin.basis.versions))},
       {"route_led_there", std::string(route_span_name(origin.basis.route))},
       {"view_confirmed", origin.basis.confirmed ? "yes" : "no"},
       {"view_age_ms", milliseconds_text(origin.basis.view_age)},
       {"peers_asked", std::to_string(origin.basis.asked)},
       {"peers_answered", std::to_string(origin.basis.answered)},
       {"outcome", std::string(outcome)},
       {"took_ms", milliseconds_text(environment_.time_source.monotonic_now() - pending.since)}});
}

}  // namespace chalkshed
