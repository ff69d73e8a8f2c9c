// HTTP/1.1 client over libevent's buffered sockets. See docs/design/http_client.md for why it does
// not use evhttp's client.
#pragma once

#include "src/event/event_dispatcher.h"
#include "src/transport/http_client.h"

namespace chalkshed {

struct EventHttpClientKnobs {
  // Maximum number of idle connections per server and pool.
  size_t max_idle_connections = 256;
  // Shorter than the time for which servers keep idle connections, so that few reused ones are
  // stale.
  Duration idle_connection_lifetime = std::chrono::seconds(10);
  size_t max_header_bytes = 64 * 1024;
  // Maximum size of a body that fetch() collects.
  size_t max_fetched_bytes = 256 * 1024 * 1024;
};

class EventHttpClient : public HttpClient {
 public:
  explicit EventHttpClient(EventDispatcher& dispatcher, const EventHttpClientKnobs& knobs = {});
  // Abandons all calls without invoking their callbacks.
  ~EventHttpClient() override;
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  HttpCallPtr send(const Address& server, const HttpRequest& request,
                   const HttpCallOptions& options, HttpCallCallbacks& callbacks) override;
  void fetch(const Address& server, const HttpRequest& request, const HttpCallOptions& options,
             Callback<HttpResponse> callback) override;
  void set_on_unsolicited(std::function<void(const Address& server)> callback) override;

  // Number of open connections, in use or idle.
  size_t open_connections() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace chalkshed
