// How fast the engines of a service read prompts, measured from the time to first tokens.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

// Keeps the median of the last samples: a prompt that was kept already, or one that had to wait,
// gives a sample far from the truth.
class PromptRate {
 public:
  // @param initial tokens a millisecond, until there are enough samples.
  explicit PromptRate(double initial) : rate_(initial) {}
  // A prompt of `tokens` brought its first token after `took`. Short prompts tell nothing.
  void add_sample(uint32_t tokens, Duration took);
  double tokens_per_millisecond() const { return rate_; }

 private:
  double rate_;
  std::vector<double> samples_;
  size_t next_ = 0;
};

}  // namespace chalkshed
