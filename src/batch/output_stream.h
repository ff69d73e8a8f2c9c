// Streams a job's output to one caller.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/batch/batch_store.h"
#include "src/batch/job_reader.h"
#include "src/core/http_message.h"

namespace chalkshed {

struct OutputRequest {
  JobReport report;
  uint64_t after = 0;           // output lines to skip, in item order
  uint64_t limit = UINT64_MAX;  // lines to send at most
};

// Streams the result lines in item order, one slice per event loop iteration, with backpressure
// from the caller. While the job is running, only the lines before the first unfinished chunk are
// sent. If a result cannot be read, the response is aborted so that the caller notices the
// truncation.
class OutputStream {
 public:
  // @param done called when the response has ended or the caller has disconnected; may destroy the
  // stream.
  OutputStream(NodeDependencies& dependencies, BatchStore& store, const BatchKnobs& knobs,
               OutputRequest request, ResponseWriterPtr writer, std::function<void()> done);

  void start();

 private:
  struct Source {
    std::string object;
    uint64_t skip = 0;   // leading lines that are not sent
    uint64_t lines = 0;  // lines to send
  };

  void on_chunks(Expected<std::vector<Row>> rows);
  void plan(const std::vector<Row>& rows);
  void next_source();
  void on_object(Expected<std::shared_ptr<const std::string>> content);
  void write_slice();
  void end();

  NodeDependencies& dependencies_;
  BatchStore& store_;
  const BatchKnobs& knobs_;
  OutputRequest request_;
  ResponseWriterPtr writer_;
  std::function<void()> done_;
  std::deque<Source> sources_;
  bool complete_ = false;  // the planned sources cover all remaining lines of the job
  uint64_t next_after_ = 0;
  bool closed_ = false;  // the caller has disconnected
  std::shared_ptr<const std::string> content_;
  size_t position_ = 0;
  uint64_t lines_left_ = 0;  // of the current source
  uint32_t failures_ = 0;
  TimerPtr timer_;
  std::function<void()> pending_step_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
