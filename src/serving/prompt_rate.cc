#include "src/serving/prompt_rate.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr uint32_t kLeastTokens = 1500;
constexpr size_t kLeastSamples = 5;
constexpr size_t kMostSamples = 21;
constexpr double kSlowest = 1.0;
constexpr double kFastest = 5000.0;

}  // namespace

void PromptRate::add_sample(uint32_t tokens, Duration took) {
  const double milliseconds = std::chrono::duration<double, std::milli>(took).count();
  if (tokens < kLeastTokens || milliseconds <= 0) {
    return;
  }
  const double sample = std::clamp(tokens / milliseconds, kSlowest, kFastest);
  if (samples_.size() < kMostSamples) {
    samples_.push_back(sample);
  } else {
    samples_[next_++ % kMostSamples] = sample;
  }
  if (samples_.size() >= kLeastSamples) {
    std::vector<double> sorted = samples_;
    const auto middle = sorted.begin() + static_cast<ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    rate_ = *middle;
  }
}

}  // namespace chalkshed
