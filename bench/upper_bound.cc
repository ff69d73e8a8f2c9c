#include "bench/upper_bound.h"

#include <algorithm>

#include "bench/virtual_node.h"
#include "emulator/answer_model.h"

namespace chalkshed::bench {
namespace {

double microseconds(Duration duration) { return static_cast<double>(duration.count()); }

// Engine time per token when every step is full.
double token_cost(const EngineSettings& engine) {
  return microseconds(engine.step_base) / engine.max_running_sequences +
         microseconds(engine.step_per_sequence);
}

double answer_tokens(const std::string& prompt) {
  return natural_answer_length(answer_seed(kModelName, prompt));
}

double unshared_tokens(const Trace& trace, const std::string& prompt) {
  return static_cast<double>(count_prompt_tokens(prompt)) - trace.shared_prefix_tokens;
}

}  // namespace

BatchWork batch_work(const Trace& trace) {
  double items = 0;
  double tokens = 0;
  double prompt_tokens = 0;
  for (const BatchSubmission& submission : trace.batch_submissions) {
    for (const std::string& prompt : submission.prompts) {
      ++items;
      tokens += answer_tokens(prompt);
      prompt_tokens += unshared_tokens(trace, prompt);
    }
  }
  return {tokens / items, prompt_tokens / tokens};
}

double capacity_bound(const Deployment& deployment, const Trace& trace,
                      const RunRecord& online_only, const EngineSettings& engine) {
  const double per_token = token_cost(engine);
  const double per_prompt_token = microseconds(engine.step_per_prompt_token);
  const double length = microseconds(trace.length);
  const double online_share =
      (static_cast<double>(online_only.engines.online_tokens) * per_token +
       static_cast<double>(online_only.engines.online_prompt_tokens) * per_prompt_token) /
      (length * deployment.workers);
  const double free_rate = deployment.workers * (1.0 - online_share);

  double items = 0;
  double backlog_cost = 0;
  double backlog_items = 0;
  for (size_t index = 0; index < trace.batch_submissions.size(); ++index) {
    const BatchSubmission& submission = trace.batch_submissions[index];
    for (const std::string& prompt : submission.prompts) {
      backlog_cost +=
          answer_tokens(prompt) * per_token + unshared_tokens(trace, prompt) * per_prompt_token;
    }
    backlog_items += static_cast<double>(submission.prompts.size());
    const Duration next = index + 1 < trace.batch_submissions.size()
                              ? trace.batch_submissions[index + 1].send_at
                              : trace.length;
    const double capacity = microseconds(next - submission.send_at) * free_rate;
    const double done = std::min(1.0, capacity / backlog_cost);
    items += done * backlog_items;
    backlog_items *= 1 - done;
    backlog_cost *= 1 - done;
  }
  return items;
}

}  // namespace chalkshed::bench
