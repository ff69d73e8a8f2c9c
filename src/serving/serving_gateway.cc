#include "src/serving/serving_gateway.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "chalkshed/request_digest.h"

namespace chalkshed {

ServingGateway::ServingGateway(ServingEnvironment& environment)
    : environment_(environment),
      draw_(environment.random),
      lookups_(
          environment,
          // Shared admission does not hold it back: its caller has already been served in part.
          [this](ReceivedRequest received, const std::string& service,
                 const stream_origin& origin) {
            begin(std::move(received), service, origin, shared_verdict{});
          },
          [this](const ServingRequest& request, const Route& route, const std::string& end) {
            end_unsent(request, route, end);
          }) {}

void ServingGateway::handle(RouteTablePtr table, const Route& route, ServingRequest request,
                            ResponseWriterPtr writer) {
  set_digests(request);
  if (quota_ != nullptr) {
    if (const std::optional<Error> refused = quota_->admit(request.tenant, request.id)) {
      writer->respond(environment_.protocol.refusal(request.id, *refused));
      count_end(route.name, "over_limit");
      return;
    }
  }
  if (environment_.origins != nullptr && StreamLookups::takes_up_stream(route, request)) {
    lookups_.add({std::move(table), &route, std::move(request), std::move(writer)});
    return;
  }
  if (refuse_if_lapsed(route, request, *writer)) {
    return;
  }
  const std::string service = draw_.draw(route);
  const auto admitted = admit(route, service, request, *writer);
  if (admitted) {
    begin({std::move(table), &route, std::move(request), std::move(writer)}, service, {},
          *admitted);
  }
}

bool ServingGateway::refuse_if_lapsed(const Route& route, const ServingRequest& request,
                                      ResponseWriter& writer) {
  const bool resumable = route.kind == RouteKind::kStreaming && route.resumable;
  if (!resumable || environment_.origins == nullptr || environment_.origins->may_begin()) {
    return false;
  }
  Error error = not_run(ErrorKind::kUnavailable,
                        "this node has been cut off from the store for too long to begin streams",
                        "send the request to another node");
  error.retry_after = environment_.knobs.retry_after;
  writer.respond(environment_.protocol.refusal(request.id, error));
  end_unsent(request, route, "view_lapsed");
  return true;
}

void ServingGateway::end_unsent(const ServingRequest& request, const Route& route,
                                const std::string& end) {
  if (quota_ != nullptr) {
    quota_->give_back(request.tenant);
  }
  count_end(route.name, end);
}

void ServingGateway::begin(ReceivedRequest received, const std::string& service,
                           const stream_origin& origin, const shared_verdict& admitted) {
  const Route& route = *received.route;
  const ServingRequest& request = received.request;
  const uint64_t id = next_id_++;
  const std::string tenant = request.tenant;
  const MonotonicTime begun = environment_.time_source.monotonic_now();
  auto on_end = [this, id, begun, route_name = route.name, tenant = request.tenant](RelayEnd end) {
    if (quota_ != nullptr && !relays_.at(id).relay->may_have_run()) {
      quota_->give_back(tenant);
    }
    const std::string name(relay_end_name(end));
    count_end(route_name, name);
    environment_.metrics
        .histogram("chalkshed_serving_request_seconds", "Time to the end of the answer.",
                   {{"end", name}})
        .observe(std::chrono::duration<double>(environment_.time_source.monotonic_now() - begun)
                     .count());
    remove_later(id);
  };
  auto relay = std::make_unique<RequestRelay>(environment_, std::move(received.table), route,
                                              service, std::move(received.request),
                                              std::move(received.writer), std::move(on_end));
  relay->set_origin(origin);
  if (admission_ != nullptr) {
    relay->set_order(this, admitted.late);
  }
  RequestRelay& started = *relay;
  const double start = queues_[started.service()].enter(tenant);
  relays_.emplace(id, InProgress{std::move(relay), start});
  const bool held = started.late() && !has_room(service);
  started.start(held || count_waiting_ahead(started) > 0);
  if (admission_ != nullptr && started.waits_for_slot() && !started.late()) {
    admission_->note_waiting();
  }
  if (!started.waiting()) {
    note_dispatched(relays_.at(id));
  }
  const size_t slots = environment_.workers.free_slots(started.service());
  const size_t short_of = waiting(started.service());
  if (started.waiting() && !held && short_of > slots && on_slot_shortage_) {
    on_slot_shortage_(started.service(), short_of - slots);
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

void ServingGateway::set_admission(shared_admission* admission) {
  admission_ = admission;
  admission_->set_waiting([this](const shared_admission::visit_waiting& visit) {
    for (const auto& [id, entry] : relays_) {
      const RequestRelay& relay = *entry.relay;
      if (relay.waits_for_slot() && !relay.late()) {
        visit({relay.service(), relay.tenant(), relay.priority()});
      }
    }
  });
}

std::optional<shared_verdict> ServingGateway::admit(const Route& route, const std::string& service,
                                                    const ServingRequest& request,
                                                    ResponseWriter& writer) {
  if (admission_ == nullptr) {
    return shared_verdict{};
  }
  admission_request wanted;
  wanted.id = request.id;
  wanted.service = service;
  wanted.tenant = request.tenant;
  wanted.priority = request.priority.value_or(route.priority);
  wanted.digest = request.digest;
  wanted.target = route.target;
  for (const auto& [id, entry] : relays_) {
    const bool late = entry.relay->waits_for_slot() && entry.relay->late();
    wanted.late += late ? 1 : 0;
    wanted.late_of_tenant += late && entry.relay->tenant() == request.tenant ? 1 : 0;
  }
  shared_verdict verdict = admission_->admit(wanted);
  if (!verdict.refused) {
    return verdict;
  }
  if (quota_ != nullptr) {
    quota_->give_back(request.tenant);
  }
  writer.respond(environment_.protocol.refusal(request.id, *verdict.refused));
  count_end(route.name, "overloaded");
  return std::nullopt;
}

// Free slots of an overloaded service are those that other nodes' requests are about to take.
bool ServingGateway::has_room(const std::string& service) const {
  constexpr uint32_t kLeastShare = 32;
  const OnlineSlots slots = environment_.workers.online_slots(service);
  return !admission_->overloaded(service) || slots.free > slots.all / kLeastShare;
}

bool ServingGateway::ranks_before(const InProgress& a, const InProgress& b) {
  const auto rank = [](const InProgress& entry) {
    return std::make_tuple(entry.relay->late(), entry.relay->priority(),
                           entry.relay->goes_on() ? 0 : 1, entry.start);
  };
  return rank(a) < rank(b);
}

bool ServingGateway::is_next(const RequestRelay& relay) const {
  if (relay.late() && !has_room(relay.service())) {
    return false;
  }
  const auto own = std::find_if(relays_.begin(), relays_.end(), [&relay](const auto& entry) {
    return entry.second.relay.get() == &relay;
  });
  return own != relays_.end() &&
         std::none_of(relays_.begin(), relays_.end(), [&](const auto& entry) {
           const RequestRelay& other = *entry.second.relay;
           return other.waits_for_slot() && other.service() == relay.service() &&
                  ranks_before(entry.second, own->second);
         });
}

void ServingGateway::dispatch_soon() {
  environment_.dispatcher.post(lifetime_.guard([this] { dispatch_waiting(); }));
}

size_t ServingGateway::count_waiting_ahead(const RequestRelay& arrived) const {
  return static_cast<size_t>(std::count_if(relays_.begin(), relays_.end(), [&](const auto& entry) {
    const RequestRelay& relay = *entry.second.relay;
    return relay.waits_for_slot() && relay.service() == arrived.service() &&
           relay.priority() <= arrived.priority() && (arrived.late() || !relay.late());
  }));
}

void ServingGateway::note_dispatched(const InProgress& dispatched) {
  queues_[dispatched.relay->service()].serve(dispatched.start);
}

void ServingGateway::remove_later(uint64_t id) {
  environment_.dispatcher.post(lifetime_.guard([this, id] { relays_.erase(id); }));
}

bool ServingGateway::any_waiting() const {
  return std::any_of(relays_.begin(), relays_.end(),
                     [](const auto& entry) { return entry.second.relay->waits_for_slot(); });
}

size_t ServingGateway::waiting(const std::string& service) const {
  return static_cast<size_t>(std::count_if(relays_.begin(), relays_.end(), [&](const auto& entry) {
    const RequestRelay& relay = *entry.second.relay;
    return relay.waits_for_slot() && relay.service() == service;
  }));
}

void ServingGateway::dispatch_waiting() {
  if (dispatching_) {
    return;  // sending a request may itself free a slot
  }
  dispatching_ = true;
  std::vector<const InProgress*> waiting;
  for (const auto& [id, entry] : relays_) {
    if (entry.relay->waiting()) {
      waiting.push_back(&entry);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const InProgress* a, const InProgress* b) { return ranks_before(*a, *b); });
  std::map<std::string, bool> rooms;
  for (const InProgress* entry : waiting) {
    bool held = false;
    if (entry->relay->late()) {
      const std::string& service = entry->relay->service();
      auto room = rooms.find(service);
      if (room == rooms.end()) {
        room = rooms.emplace(service, has_room(service)).first;
      }
      held = !room->second;
    }
    if (!held && entry->relay->try_dispatch()) {
      note_dispatched(*entry);
    }
  }
  dispatching_ = false;
}

}  // namespace chalkshed
