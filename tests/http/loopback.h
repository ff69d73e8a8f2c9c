// Helpers shared by the loopback tests of the HTTP server and client.
#pragma once

#include <functional>
#include <string>

#include "src/event/event_dispatcher.h"
#include "src/transport/http_client.h"

namespace chalkshed {

// Runs the event loop until `condition` holds. @return false if it does not hold within 10 seconds.
inline bool run_until(EventDispatcher& dispatcher, const std::function<bool()>& condition) {
  bool expired = false;
  const TimerPtr guard = dispatcher.create_timer([&] { expired = true; });
  guard->enable(std::chrono::seconds(10));
  while (!condition() && !expired) {
    dispatcher.run_once(true);
  }
  return condition();
}

// Records the events of one call.
struct RecordedCall : public HttpCallCallbacks {
  void on_headers(int received, const HttpHeaders& /*headers*/) override { status = received; }
  void on_body(std::string_view data) override {
    body.append(data);
    if (on_data) {
      on_data();
    }
  }
  void on_end() override { ended = true; }
  void on_error(const Error& received) override { error = received; }
  bool done() const { return ended || error.has_value(); }

  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<Error> error;
  std::function<void()> on_data;
};

// A handler that calls a function.
class FunctionHandler : public HttpHandler {
 public:
  explicit FunctionHandler(std::function<void(HttpRequest, ResponseWriterPtr)> function)
      : function_(std::move(function)) {}
  void handle(HttpRequest request, ResponseWriterPtr writer) override {
    function_(std::move(request), std::move(writer));
  }

 private:
  std::function<void(HttpRequest, ResponseWriterPtr)> function_;
};

inline HttpRequest get(std::string path) {
  HttpRequest request;
  request.method = "GET";
  request.path = std::move(path);
  return request;
}

}  // namespace chalkshed
