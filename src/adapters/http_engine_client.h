// HTTP client of the engines: POST /generate streams lines, GET /load returns the delayed load.
// Closing the connection cancels a request. See docs/operators/platform_adapters.md.
#pragma once

#include "src/engine/engine_client.h"
#include "src/transport/http_client.h"

namespace chalkshed {

struct HttpEngineClientKnobs {
  // Limit for one stream line; a longer one fails the stream.
  size_t max_line_bytes = 1024 * 1024;
  Duration load_timeout = std::chrono::seconds(1);
};

class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(HttpClient& client, HttpEngineClientKnobs knobs = {})
      : client_(client), knobs_(knobs) {}
  GenerateStreamPtr generate(const Address& worker, GenerateRequest request,
                             GenerateCallbacks& callbacks) override;
  void fetch_load(const Address& worker, Callback<EngineLoad> callback) override;

 private:
  HttpClient& client_;
  HttpEngineClientKnobs knobs_;
};

}  // namespace chalkshed
