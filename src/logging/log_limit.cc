#include "chalkshed/log_limit.h"

#include <utility>

namespace chalkshed {

std::optional<uint64_t> log_limit::admit(MonotonicTime now) {
  ++events_;
  if (written_ && now - *written_ < interval_) {
    return std::nullopt;
  }
  written_ = now;
  return std::exchange(events_, 0);
}

}  // namespace chalkshed
