// HTTP between simulated processes: a client with kept-alive connections that may be stale, and a
// response writer.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "sim/simulated_network.h"
#include "src/transport/http_client.h"

namespace chalkshed {

// Error message that tells a caller that the server exited in a planned stop.
inline constexpr std::string_view kServerExitedMessage = "the server's process exited";

// The client of one process; destroyed with it.
class SimulatedHttpClient : public HttpClient {
 public:
  SimulatedHttpClient(SimulatedNetwork& network, SimulatedHost& host);
  ~SimulatedHttpClient() override;

  HttpCallPtr send(const Address& server, const HttpRequest& request,
                   const HttpCallOptions& options, HttpCallCallbacks& callbacks) override;
  void fetch(const Address& server, const HttpRequest& request, const HttpCallOptions& options,
             Callback<HttpResponse> callback) override;

 private:
  class Call;
  class Fetch;
  struct PoolKey {
    std::string pool;
    Address server;
    auto operator<=>(const PoolKey&) const = default;
  };

  SimulatedNetwork& network_;
  SimulatedHost& host_;
  // Idle connections: the generation of the process that each one leads to.
  std::map<PoolKey, uint64_t> kept_alive_;
  std::map<uint64_t, std::unique_ptr<Fetch>> fetches_;
  uint64_t next_fetch_ = 0;
};

}  // namespace chalkshed
