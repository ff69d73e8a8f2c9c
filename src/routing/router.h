// Selection of workers for online requests, and slots for batch work.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/address.h"
#include "src/core/error.h"
#include "src/engine/engine_client.h"
#include "src/policy/policy.h"

namespace chalkshed {

using WorkerId = std::string;

struct RouteRequest {
  std::string service;
  std::string tenant;
  std::string prompt;  // only its prefix digests are used, for affinity
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  Urgency urgency = Urgency::kNormal;
  Duration time_left{0};           // until the request's deadline
  std::vector<WorkerId> excluded;  // workers that already failed this request
};

// An online request assigned to a worker. It counts as in flight until the object is destroyed. The
// owner reports load, latency and failures to the router through it.
class RoutedRequest {
 public:
  virtual ~RoutedRequest() = default;
  virtual const WorkerId& worker() const = 0;
  virtual const Address& address() const = 0;
  virtual void report_load(const EngineLoad& load) = 0;
  virtual void report_first_token() = 0;
  virtual void report_success() = 0;
  virtual void report_failure(const Error& error) = 0;
};
using RoutedRequestPtr = std::unique_ptr<RoutedRequest>;

class Router {
 public:
  virtual ~Router() = default;
  // Errors, all Ran::kNo: kUnknownService, kUnavailable (no worker), kOverloaded (cannot meet the
  // deadline; retry_after is set).
  virtual Expected<RoutedRequestPtr> route(const RouteRequest& request) = 0;
  // Takes one retry from the service's budget. @return false if it is exhausted.
  virtual bool take_retry(const std::string& service) = 0;
};

// Capacity for one batch sequence on a worker. The destructor releases the slot.
class BatchSlot {
 public:
  virtual ~BatchSlot() = default;
  virtual const WorkerId& worker() const = 0;
  virtual const Address& address() const = 0;
  virtual void report_load(const EngineLoad& load) = 0;
  virtual void report_first_token() = 0;
  virtual void report_success() = 0;
  virtual void report_failure(const Error& error) = 0;
  // Called at most once, when the window shrinks and the sequence must stop at once.
  virtual void set_on_revoked(std::function<void()> callback) = 0;
};
using BatchSlotPtr = std::unique_ptr<BatchSlot>;

// Batch capacity of the workers that this node holds.
class BatchSlots {
 public:
  virtual ~BatchSlots() = default;
  // @return a slot for a prompt of that size, or null if no window has room for it.
  virtual BatchSlotPtr try_acquire(const std::string& service, uint32_t prompt_tokens) = 0;
  // @return the number of sequences that could start on the service now, which bounds how much work
  // to claim.
  virtual uint32_t available(const std::string& service) const = 0;
  // Called whenever capacity may have become available.
  virtual void subscribe(std::function<void()> callback) = 0;
};

}  // namespace chalkshed
