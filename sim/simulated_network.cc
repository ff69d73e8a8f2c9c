#include "sim/simulated_network.h"

#include <algorithm>

namespace chalkshed {

SimulatedHost& SimulatedNetwork::add_host(std::string name, std::string zone, Address http,
                                          Address peer) {
  auto host = std::make_unique<SimulatedHost>();
  host->name = name;
  host->zone = std::move(zone);
  host->http_address = std::move(http);
  host->peer_address = std::move(peer);
  SimulatedHost& added = *host;
  by_address_[added.http_address] = &added;
  by_address_[added.peer_address] = &added;
  hosts_[std::move(name)] = std::move(host);
  return added;
}

SimulatedHost* SimulatedNetwork::find_host(const std::string& name) {
  const auto found = hosts_.find(name);
  return found == hosts_.end() ? nullptr : found->second.get();
}

SimulatedHost* SimulatedNetwork::find_host(const Address& address) {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

void SimulatedNetwork::start_process(SimulatedHost& host) {
  ++host.generation;
  host.dispatcher = std::make_unique<VirtualDispatcher>(clock_);
}

void SimulatedNetwork::end_process(SimulatedHost& host, CloseReason reason, bool silently) {
  ++host.generation;
  host.handler = nullptr;
  host.listening = false;
  host.engine = nullptr;
  host.receiver = nullptr;
  const auto connections = std::move(host.connections);
  host.connections.clear();
  for (const std::weak_ptr<SimulatedConnection>& weak : connections) {
    if (const auto connection = weak.lock()) {
      connection->on_process_ended(host, reason, silently);
    }
  }
}

void SimulatedNetwork::heal_one_way(const std::string& from, const std::string& to) {
  const auto found = cuts_.find({from, to});
  if (found != cuts_.end() && --found->second == 0) {
    cuts_.erase(found);
  }
}

Duration SimulatedNetwork::latency(const SimulatedHost& from, const SimulatedHost& to) const {
  if (from.zone.empty() || to.zone.empty()) {
    return knobs_.outside;
  }
  return from.zone == to.zone ? knobs_.within_zone : knobs_.between_zones;
}

bool SimulatedNetwork::link_up(const SimulatedHost& from, const SimulatedHost& to) const {
  return !cuts_.contains({from.name, to.name});
}

void SimulatedNetwork::send_datagram(const SimulatedHost& from, const Address& to,
                                     std::string_view datagram) {
  const SimulatedHost* receiver = find_host(to);
  if (receiver == nullptr || !link_up(from, *receiver) || random_.unit() < datagram_faults_.loss) {
    return;
  }
  Duration delay = latency(from, *receiver);
  if (random_.unit() < datagram_faults_.duplication) {
    const auto later = static_cast<int64_t>(
        random_.below(static_cast<uint64_t>(datagram_faults_.reordering_delay.count())));
    deliver_datagram(from.name, receiver->name, delay + Duration(later), datagram);
  }
  if (random_.unit() < datagram_faults_.reordering) {
    delay += Duration(static_cast<int64_t>(
        random_.below(static_cast<uint64_t>(datagram_faults_.reordering_delay.count()))));
  }
  deliver_datagram(from.name, receiver->name, delay, datagram);
}

void SimulatedNetwork::deliver_datagram(const std::string& from, const std::string& to,
                                        Duration delay, std::string_view datagram) {
  const Address sender = find_host(from)->peer_address;
  SimulatedHost* receiver = find_host(to);
  if (!receiver->dispatcher) {
    return;
  }
  receiver->dispatcher->schedule(delay, [receiver, sender, datagram = std::string(datagram)] {
    if (receiver->receiver) {
      receiver->receiver(sender, datagram);
    }
  });
}

std::shared_ptr<SimulatedConnection> SimulatedNetwork::connect(SimulatedHost& client,
                                                               SimulatedHost& server) {
  auto connection = std::make_shared<SimulatedConnection>(*this, client, server);
  for (SimulatedHost* host : {&client, &server}) {
    std::erase_if(host->connections, [](const auto& weak) { return weak.expired(); });
    host->connections.push_back(connection);
  }
  return connection;
}

SimulatedConnection::SimulatedConnection(SimulatedNetwork& network, SimulatedHost& client,
                                         SimulatedHost& server)
    : network_(network),
      client_{&client, client.generation, true, nullptr},
      server_{&server, server.generation, true, nullptr} {}

void SimulatedConnection::send(ConnectionSide from, std::function<void()> deliver) {
  End& sender = end(from);
  End& receiver = end(other(from));
  if (!sender.open || !sender.alive() || lost_) {
    return;
  }
  const Duration latency = network_.latency(*sender.host, *receiver.host);
  if (!network_.link_up(*sender.host, *receiver.host) ||
      !network_.link_up(*receiver.host, *sender.host)) {
    lost_ = true;
    schedule_closed(from, network_.knobs().retransmission_limit, CloseReason::kLost);
    return;
  }
  if (!receiver.alive()) {
    schedule_closed(from, 2 * latency, CloseReason::kReset);
    return;
  }
  receiver.host->dispatcher->schedule(
      latency, [self = shared_from_this(), side = other(from), deliver = std::move(deliver)] {
        if (self->end(side).open && self->end(side).alive()) {
          deliver();
        }
      });
}

void SimulatedConnection::set_on_closed(ConnectionSide side,
                                        std::function<void(CloseReason)> callback) {
  end(side).on_closed = std::move(callback);
}

void SimulatedConnection::close(ConnectionSide by) {
  End& closer = end(by);
  if (!closer.open) {
    return;
  }
  const bool can_notify = closer.alive();
  closer.open = false;
  closer.on_closed = nullptr;
  End& receiver = end(other(by));
  const bool reached = !lost_ && network_.link_up(*closer.host, *receiver.host);
  if (can_notify && reached) {
    schedule_closed(other(by), network_.latency(*closer.host, *receiver.host),
                    CloseReason::kClosed);
  }
}

void SimulatedConnection::on_process_ended(const SimulatedHost& host, CloseReason reason,
                                           bool silently) {
  const ConnectionSide side =
      client_.host == &host ? ConnectionSide::kClient : ConnectionSide::kServer;
  if (!end(side).open) {
    return;
  }
  end(side).open = false;
  end(side).on_closed = nullptr;
  const End& receiver = end(other(side));
  if (!silently && !lost_ && network_.link_up(host, *receiver.host)) {
    schedule_closed(other(side), network_.latency(host, *receiver.host), reason);
  }
}

void SimulatedConnection::schedule_closed(ConnectionSide side, Duration delay, CloseReason reason) {
  if (!end(side).alive()) {
    return;
  }
  end(side).host->dispatcher->schedule(
      delay, [self = shared_from_this(), side, reason] { self->notify_closed(side, reason); });
}

void SimulatedConnection::notify_closed(ConnectionSide side, CloseReason reason) {
  End& notified = end(side);
  if (!notified.open || !notified.alive()) {
    return;
  }
  notified.open = false;
  if (const auto callback = std::exchange(notified.on_closed, nullptr)) {
    callback(reason);
  }
}

}  // namespace chalkshed
