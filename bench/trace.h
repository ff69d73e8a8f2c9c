// Seeded traces of the requests that callers send. The same trace is replayed in every run, with
// and without batch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/deployment.h"

namespace chalkshed::bench {

struct OnlineRequest {
  Duration send_at{0};  // from the start of the trace
  uint32_t node = 0;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool in_burst = false;
};

struct BatchSubmission {
  Duration send_at{0};
  std::vector<std::string> prompts;
};

struct Trace {
  Duration length{0};
  uint32_t shared_prefix_tokens = 0;  // of every batch prompt
  std::vector<OnlineRequest> online;  // ordered by send_at
  std::vector<BatchSubmission> batch_submissions;
};

struct TraceKnobs {
  Duration length = std::chrono::seconds(60);
  double long_question_fraction = 0.2;  // questions about one of a few shared documents
  uint32_t documents = 8;
  uint32_t document_tokens = 800;
  uint32_t bursts = 2;
  Duration burst_length = std::chrono::milliseconds(500);
  Duration submission_interval = std::chrono::seconds(9);
  uint32_t batch_templates = 4;
  uint32_t template_tokens = 400;
};

Trace make_trace(const Deployment& deployment, const TraceKnobs& knobs, uint64_t seed);

}  // namespace chalkshed::bench
