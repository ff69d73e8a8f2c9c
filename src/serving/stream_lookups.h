// Requests that take up a stream of an earlier attempt, while the software version that began the
// stream is being looked up. It takes some milliseconds; while the store does not answer, a second
// at most.
#pragma once

#include <functional>
#include <map>

#include "chalkshed/stream_origins.h"
#include "src/core/lifetime.h"
#include "src/http/http_server.h"
#include "src/serving/route_table.h"
#include "src/serving/serving_environment.h"

namespace chalkshed {

// A caller's request as it was received.
struct ReceivedRequest {
  RouteTablePtr table;  // keeps `route` alive
  const Route* route = nullptr;
  ServingRequest request;
  ResponseWriterPtr writer;
};

class StreamLookups {
 public:
  // Called with a request whose stream may go on, the service that began it, and its origin.
  using OnKnown =
      std::function<void(ReceivedRequest, const std::string& service, const stream_origin& origin)>;
  // Called with a request that was answered here, or whose caller has left, and how it ended.
  using OnEnded = std::function<void(const ServingRequest&, const Route&, const std::string& end)>;

  StreamLookups(ServingEnvironment& environment, OnKnown on_known, OnEnded on_ended);

  // @return whether the request takes up a stream.
  static bool takes_up_stream(const Route& route, const ServingRequest& request);
  void add(ReceivedRequest received);
  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    ReceivedRequest received;
    MonotonicTime since{};
    bool views_read = false;  // since the attempt came
  };
  void decide(uint64_t id, const stream_origin& origin);
  // The workers of the stream's version may have been listed since this node's last read.
  void decide_with_new_views(uint64_t id, const stream_origin& origin);
  void refuse(const Pending& pending, const stream_origin& origin);
  // @return the service of the route whose workers run the software, or null.
  const std::string* service_of(const Route& route, software_id software) const;
  void log(const Pending& pending, const stream_origin& origin, std::string_view outcome) const;

  ServingEnvironment& environment_;
  OnKnown on_known_;
  OnEnded on_ended_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_id_ = 0;
  Lifetime lifetime_;
};

}  // namespace chalkshed
