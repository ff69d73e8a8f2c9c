// The wire format of serving: encodes requests to workers, interprets the heads of their answers,
// and encodes error responses to callers. Holds no policy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "chalkshed/surplus_answers.h"
#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

// One send of a request to one worker.
struct WorkerSend {
  const ServingRequest* request = nullptr;
  std::string incarnation;            // only this incarnation of the worker may run the request
  std::optional<Duration> time_left;  // the worker cancels the request after it
  std::optional<uint64_t> resume_after;
};

// The load that a worker reports in the headers of an answer.
struct WorkerLoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work currently takes there, 1.0 meaning as usual; nothing if the worker does not tell.
  std::optional<double> slowdown = std::nullopt;
};

// The interpretation of the head of a worker's answer.
struct WorkerVerdict {
  bool not_run = false;            // the worker states that it did not run the request
  bool other_incarnation = false;  // another worker has the address now
  // The request was not run, perhaps because of a condition that its caller set: this says nothing
  // of the worker.
  bool unmet_condition = false;
  bool authentic = false;  // carries the worker's proof of origin
  answer_naming names = answer_naming::kNone;
  std::string named;     // the request that it names
  bool encoded = false;  // the body has a content encoding that was not requested
  bool leaving = false;  // the worker closes the connection because it is draining
  std::optional<WorkerLoadReport> load;
};

class ServingProtocol {
 public:
  virtual ~ServingProtocol() = default;
  virtual HttpRequest encode(const WorkerSend& send) const = 0;
  virtual WorkerVerdict judge(const ServingRequest& request, int status,
                              const HttpHeaders& headers) const = 0;
  // @return the headers of a worker's answer that are forwarded to the caller.
  virtual HttpHeaders headers_to_caller(const ServingRequest& request,
                                        const HttpHeaders& headers) const = 0;
  virtual HttpResponse refusal(const std::string& request_id, const Error& error) const = 0;
};

}  // namespace chalkshed
