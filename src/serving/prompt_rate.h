// Estimates the prefill rate of a service's engines from the measured time to first token.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

// The estimate is the median of the most recent samples, because prompts with a prefix cache hit
// and prompts that were queued give outliers.
class PromptRate {
 public:
  // @param initial tokens per millisecond, used until there are enough samples.
  explicit PromptRate(double initial) : rate_(initial) {}
  // Records that the first token for a prompt of `tokens` tokens arrived after `took`. Short
  // prompts are ignored, because they say little about the rate.
  void add_sample(uint32_t tokens, Duration took);
  double tokens_per_millisecond() const { return rate_; }

 private:
  double rate_;
  std::vector<double> samples_;
  size_t next_ = 0;
};

}  // namespace chalkshed
