#include "src/serving/serving_gateway.h"

#include <algorithm>
#include <vector>

#include "chalkshed/request_digest.h"

namespace chalkshed {

ServingGateway::ServingGateway(ServingEnvironment& environment)
    : environment_(environment), draw_(environment.random) {}

void ServingGateway::handle(RouteTablePtr table, const Route& route, ServingRequest request,
                            ResponseWriterPtr writer) {
  request.digest = request_digest(request);
  if (quota_ != nullptr) {
    if (const std::optional<Error> refused = quota_->admit(request.tenant, request.id)) {
      writer->respond(environment_.protocol.refusal(request.id, *refused));
      count_end(route.name, "over_limit");
      return;
    }
  }
  const uint64_t id = next_id_++;
  const std::string tenant = request.tenant;
  const MonotonicTime received = environment_.time_source.monotonic_now();
  auto on_end = [this, id, received, route_name = route.name,
                 tenant = request.tenant](RelayEnd end) {
    if (quota_ != nullptr && !relays_.at(id).relay->may_have_run()) {
      quota_->give_back(tenant);
    }
    const std::string name(relay_end_name(end));
    count_end(route_name, name);
    environment_.metrics
        .histogram("chalkshed_serving_request_seconds", "Time to the end of the answer.",
                   {{"end", name}})
        .observe(std::chrono::duration<double>(environment_.time_source.monotonic_now() - received)
                     .count());
    remove_later(id);
  };
  auto relay =
      std::make_unique<RequestRelay>(environment_, std::move(table), route, draw_.draw(route),
                                     std::move(request), std::move(writer), std::move(on_end));
  RequestRelay& started = *relay;
  const double start = orders_[started.service()].enter(tenant);
  relays_.emplace(id, InProgress{std::move(relay), start});
  started.start(waiting_before(started.service(), started.priority()) > 0);
  if (!started.waiting()) {
    note_placed(relays_.at(id));
  }
  const size_t places = environment_.workers.free_slots(started.service());
  const size_t short_of = waiting();
  if (started.waiting() && short_of > places && on_short_of_places_) {
    on_short_of_places_(short_of - places);
  } else if (started.waiting()) {
    environment_.dispatcher.post(lifetime_.guard([this] { dispatch_waiting(); }));
  }
}

void ServingGateway::count_end(const std::string& route, const std::string& end) {
  environment_.metrics
      .counter("chalkshed_serving_requests_total", "Requests by route and how they ended.",
               {{"route", route}, {"end", end}})
      .add(1);
}

size_t ServingGateway::waiting_before(const std::string& service, uint32_t priority) const {
  return static_cast<size_t>(std::count_if(relays_.begin(), relays_.end(), [&](const auto& entry) {
    const RequestRelay& relay = *entry.second.relay;
    return relay.short_of_place() && relay.service() == service && relay.priority() <= priority;
  }));
}

void ServingGateway::note_placed(const InProgress& placed) {
  orders_[placed.relay->service()].serve(placed.start);
}

void ServingGateway::remove_later(uint64_t id) {
  environment_.dispatcher.post(lifetime_.guard([this, id] { relays_.erase(id); }));
}

size_t ServingGateway::waiting() const {
  return static_cast<size_t>(std::count_if(relays_.begin(), relays_.end(), [](const auto& entry) {
    return entry.second.relay->short_of_place();
  }));
}

void ServingGateway::dispatch_waiting() {
  if (placing_) {
    return;  // sending may itself free a place
  }
  placing_ = true;
  std::vector<const InProgress*> waiting;
  for (const auto& [id, entry] : relays_) {
    if (entry.relay->waiting()) {
      waiting.push_back(&entry);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const InProgress* a, const InProgress* b) {
    return a->relay->priority() != b->relay->priority()
               ? a->relay->priority() < b->relay->priority()
               : a->start < b->start;
  });
  for (const InProgress* entry : waiting) {
    if (entry->relay->try_place()) {
      note_placed(*entry);
    }
  }
  placing_ = false;
}

}  // namespace chalkshed
