// Timed calls of a load generator over real sockets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/core/time.h"
#include "src/event/event_dispatcher.h"
#include "src/http/event_http_client.h"

namespace chalkshed::bench {

struct CallOutcome {
  bool succeeded = false;
  Duration first_byte{0};  // of the body, from the intended send time
  Duration total{0};
  std::string tail;  // the body's last bytes
};

// Sends calls and reports their outcomes. Latency is measured from the intended send time.
class LiveCalls {
 public:
  using Done = std::function<void(const CallOutcome&)>;

  LiveCalls(EventDispatcher& dispatcher, const TimeSource& time_source);
  ~LiveCalls();
  LiveCalls(const LiveCalls&) = delete;
  LiveCalls& operator=(const LiveCalls&) = delete;

  void send(const Address& server, const HttpRequest& request, MonotonicTime intended, Done done);
  // Sends a call and runs the event loop until it has ended.
  CallOutcome send_and_wait(const Address& server, const HttpRequest& request);
  void run_until(const std::function<bool()>& condition);
  MonotonicTime now() const { return time_source_.monotonic_now(); }
  EventDispatcher& dispatcher() { return dispatcher_; }
  size_t in_progress() const { return calls_.size(); }

 private:
  class Call;
  void end(uint64_t number);

  EventDispatcher& dispatcher_;
  const TimeSource& time_source_;
  EventHttpClient client_;
  uint64_t next_ = 0;
  std::map<uint64_t, std::unique_ptr<Call>> calls_;
};

}  // namespace chalkshed::bench
