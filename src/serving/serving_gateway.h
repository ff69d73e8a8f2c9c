// Takes callers' requests: finds the route, draws the service, and keeps the relays of the requests
// in progress. Those that wait for a place at a worker get it by priority, then tenants in turn,
// then by arrival.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chalkshed/fair_order.h"
#include "chalkshed/tenant_quota.h"
#include "src/core/lifetime.h"
#include "src/serving/request_relay.h"
#include "src/serving/service_draw.h"

namespace chalkshed {

class ServingGateway {
 public:
  explicit ServingGateway(ServingEnvironment& environment);

  // @param route of `table`, for online work.
  void handle(RouteTablePtr table, const Route& route, ServingRequest request,
              ResponseWriterPtr writer);
  // @param quota decides about the requests of limited tenants; outlives the gateway.
  void set_quota(request_quota* quota) { quota_ = quota; }
  size_t requests_in_progress() const { return relays_.size(); }
  // Whether any online request waits for a place: batch then takes none.
  bool any_waiting() const { return waiting() > 0; }
  size_t waiting() const;
  // Called when requests wait for more places than are free; told how many more.
  void set_on_slot_shortage(std::function<void(size_t)> callback) {
    on_short_of_places_ = std::move(callback);
  }
  // A place may have become free.
  void dispatch_waiting();

 private:
  struct InProgress {
    std::unique_ptr<RequestRelay> relay;
    double start = 0;  // by fair_order
  };

  void remove_later(uint64_t id);
  void note_placed(const InProgress& placed);
  void count_end(const std::string& route, const std::string& end);
  // Requests of the service, at least as urgent, that wait.
  size_t waiting_before(const std::string& service, uint32_t priority) const;

  ServingEnvironment& environment_;
  request_quota* quota_ = nullptr;
  ServiceDraw draw_;
  std::map<uint64_t, InProgress> relays_;     // in order of arrival
  std::map<std::string, fair_order> orders_;  // by service
  uint64_t next_id_ = 0;
  bool placing_ = false;
  std::function<void(size_t)> on_short_of_places_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
