// How requests are written to workers and how their answers are read, and how errors are told to
// callers: the part of serving that depends on a wire format. Decides nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

// One send of a request to one worker.
struct WorkerSend {
  const ServingRequest* request = nullptr;
  std::string incarnation;            // only this start of the worker may run the request
  std::optional<Duration> time_left;  // the worker stops working after it
  std::optional<uint64_t> resume_after;
};

// What a worker says of its load beside an answer.
struct WorkerLoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

// What the head of a worker's answer means.
struct WorkerVerdict {
  bool not_run = false;            // the worker promises that it did not run the request
  bool other_incarnation = false;  // another worker has the address now
  bool authentic = false;          // carries the worker's proof that the answer is its own
  bool other_request = false;      // belongs to another request
  bool encoded = false;            // the body is not the bytes that were asked for
  bool leaving = false;            // the worker closes the connection because it will stop
  std::optional<WorkerLoadReport> load;
};

class ServingProtocol {
 public:
  virtual ~ServingProtocol() = default;
  virtual HttpRequest encode(const WorkerSend& send) const = 0;
  virtual WorkerVerdict judge(const ServingRequest& request, int status,
                              const HttpHeaders& headers) const = 0;
  // The headers of a worker's answer that go to the caller.
  virtual HttpHeaders headers_to_caller(const ServingRequest& request,
                                        const HttpHeaders& headers) const = 0;
  virtual HttpResponse refusal(const std::string& request_id, const Error& error) const = 0;
};

}  // namespace chalkshed
