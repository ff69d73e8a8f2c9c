// Client interface of the model engines. Implemented over HTTP and by the simulator.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/address.h"
#include "src/core/error.h"

namespace chalkshed {

// Order in which an engine admits and keeps sequences; online preempts batch.
enum class EnginePriority { kOnline, kBatch };

// Load of one engine at one time. Engines attach it to every response and stream event, and also
// report it separately, with a delay.
struct EngineLoad {
  uint32_t running_online = 0;  // sequences in the running set
  uint32_t running_batch = 0;
  uint32_t waiting_online = 0;  // not yet admitted
  uint32_t waiting_batch = 0;
  uint32_t pending_prompt_tokens = 0;        // still to be prefilled, all priorities
  uint32_t pending_batch_prompt_tokens = 0;  // the batch part of these
  uint32_t kv_blocks_used = 0;
  uint32_t kv_blocks_total = 0;
  uint64_t step_number = 0;  // increases with each engine step; orders reports of one incarnation
  Duration last_step_time{0};
  uint64_t incarnation = 0;
  bool leaving = false;  // the engine announces that it will stop
};

struct GenerateRequest {
  std::string attempt_id;  // unique for each attempt; also identifies the request to cancel
  std::string model;
  std::string prompt;
  uint32_t max_tokens = 0;
  EnginePriority priority = EnginePriority::kOnline;
  // Resumption: the tokens that an earlier attempt already generated. The engine continues after
  // them; the first token that it sends has the index resumed_tokens.size().
  std::vector<std::string> resumed_tokens;
  // Opens a new connection instead of reusing an idle one, so that a failure to connect proves
  // that the request did not run.
  bool fresh_connection = false;
  Duration connect_timeout = std::chrono::seconds(1);
  // The stream fails if there is no event for this long.
  Duration idle_timeout = std::chrono::seconds(10);
  // The engine ends the request by itself this long after receiving it, even if its caller is
  // paused or disconnected. Bounds the work of an owner whose lease has expired.
  std::optional<Duration> time_limit;
};

struct GenerateChunk {
  uint32_t first_index = 0;         // index of tokens[0] in the whole completion
  std::vector<std::string> tokens;  // text pieces, one per token
  EngineLoad load;
};

enum class FinishReason { kStop, kLength };

struct GenerateResult {
  FinishReason finish_reason = FinishReason::kStop;
  uint32_t prompt_tokens = 0;
  uint32_t cached_prompt_tokens = 0;
  uint32_t completion_tokens = 0;  // including resumed tokens
  EngineLoad load;
};

// Receives the events of one stream, in order, on the dispatcher; exactly one of on_complete and
// on_error comes last. A stream that ends without the engine's end mark is an error, never a
// completion.
class GenerateCallbacks {
 public:
  virtual ~GenerateCallbacks() = default;
  virtual void on_chunk(const GenerateChunk& chunk) = 0;
  virtual void on_complete(const GenerateResult& result) = 0;
  // Error kinds: kUnavailable (not run: could not connect), kOverloaded (not run: rejected by
  // the engine), kDraining (not run), kUnknownModel (not run), kUpstreamFailed (may have run).
  virtual void on_error(const Error& error) = 0;
};

// A stream in progress. Destroying it cancels the request on the engine and closes its connection;
// no callback runs afterwards. It may be destroyed inside a callback.
class GenerateStream {
 public:
  virtual ~GenerateStream() = default;
};
using GenerateStreamPtr = std::unique_ptr<GenerateStream>;

class EngineClient {
 public:
  virtual ~EngineClient() = default;
  // @param callbacks must outlive the returned stream; not called inside this call.
  virtual GenerateStreamPtr generate(const Address& worker, GenerateRequest request,
                                     GenerateCallbacks& callbacks) = 0;
  // Requests the load of the engine. Errors: kUnavailable, kUpstreamFailed.
  virtual void fetch_load(const Address& worker, Callback<EngineLoad> callback) = 0;
};

}  // namespace chalkshed
