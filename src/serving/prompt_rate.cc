#include "src/serving/prompt_rate.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr uint32_t kMinTokens = 1500;
constexpr size_t kMinSamples = 5;
constexpr size_t kMaxSamples = 21;
constexpr double kMinRate = 1.0;
constexpr double kMaxRate = 5000.0;

}  // namespace

void PromptRate::add_sample(uint32_t tokens, Duration took) {
  const double milliseconds = std::chrono::duration<double, std::milli>(took).count();
  if (tokens < kMinTokens || milliseconds <= 0) {
    return;
  }
  const double sample = std::clamp(tokens / milliseconds, kMinRate, kMaxRate);
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(sample);
  } else {
    samples_[next_++ % kMaxSamples] = sample;
  }
  if (samples_.size() >= kMinSamples) {
    std::vector<double> sorted = samples_;
    const auto middle = sorted.begin() + static_cast<ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    rate_ = *middle;
  }
}

}  // namespace chalkshed
