// Accepts callers' requests: selects the service by the weights of the route, and owns the relays
// of the requests in progress. Requests that wait for a worker slot are served by priority, then
// fairly among tenants, then by arrival.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chalkshed/fair_order.h"
#include "chalkshed/shared_admission.h"
#include "chalkshed/tenant_quota.h"
#include "src/core/lifetime.h"
#include "src/serving/request_relay.h"
#include "src/serving/service_draw.h"
#include "src/serving/stream_lookups.h"

namespace chalkshed {

class ServingGateway : public WaitingOrder {
 public:
  explicit ServingGateway(ServingEnvironment& environment);

  // @param route an online route of `table`.
  void handle(RouteTablePtr table, const Route& route, ServingRequest request,
              ResponseWriterPtr writer);
  // @param quota admits or rejects the requests of limited tenants; outlives the gateway.
  void set_quota(request_quota* quota) { quota_ = quota; }
  // @param admission decides on requests for overloaded services, together with the other nodes;
  // outlives the gateway. Without it, a request that has waited for long is sent to a full worker.
  void set_admission(shared_admission* admission);
  size_t requests_in_progress() const { return relays_.size() + lookups_.size(); }
  // Whether any online request waits for a slot.
  bool any_waiting() const;
  // Number of online requests that wait for a slot of the service; batch work then takes none
  // there.
  size_t waiting(const std::string& service) const;
  // Called with the number of missing slots when more requests wait for a service than it has free.
  void set_on_slot_shortage(std::function<void(const std::string& service, size_t)> callback) {
    on_slot_shortage_ = std::move(callback);
  }
  // Called when a slot may have become free.
  void dispatch_waiting();

 private:
  struct InProgress {
    std::unique_ptr<RequestRelay> relay;
    double start = 0;  // virtual start time, see fair_order
  };

  // Begins the relay of a request that was admitted.
  // @param origin of the stream that the request goes on with; kUnknown: it begins one.
  void begin(ReceivedRequest received, const std::string& service, const stream_origin& origin,
             const shared_verdict& admitted);
  // Refuses a stream that may be taken up if this node's views are too old to begin it.
  // @return whether it was refused.
  bool refuse_if_lapsed(const Route& route, const ServingRequest& request, ResponseWriter& writer);
  // Ends a request that no worker has run.
  void end_unsent(const ServingRequest& request, const Route& route, const std::string& end);
  // Decides on the request; answers it if it is refused.
  // @return the decision, or nothing if the request was refused.
  std::optional<shared_verdict> admit(const Route& route, const std::string& service,
                                      const ServingRequest& request, ResponseWriter& writer);
  // Whether a late request for the service may take a slot.
  bool has_room(const std::string& service) const;
  static bool ranks_before(const InProgress& a, const InProgress& b);
  bool is_next(const RequestRelay& relay) const override;
  void dispatch_soon() override;
  void remove_later(uint64_t id);
  void note_dispatched(const InProgress& dispatched);
  void count_end(const std::string& route, const std::string& end);
  // Waiting requests of the request's service that are sent before it.
  size_t count_waiting_ahead(const RequestRelay& arrived) const;

  ServingEnvironment& environment_;
  request_quota* quota_ = nullptr;
  shared_admission* admission_ = nullptr;
  ServiceDraw draw_;
  std::map<uint64_t, InProgress> relays_;     // in order of arrival
  std::map<std::string, fair_order> queues_;  // by service
  uint64_t next_id_ = 0;
  bool dispatching_ = false;
  StreamLookups lookups_;
  std::function<void(const std::string&, size_t)> on_slot_shortage_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
