#include "src/logging/bounded_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace chalkshed {
namespace {

// A pipe that polls as writable accepts this many bytes without blocking (POSIX: PIPE_BUF).
constexpr size_t kWritableBytes = 4096;

}  // namespace

BoundedSink::BoundedSink(int file_descriptor, const LogBudget& budget)
    : file_descriptor_(file_descriptor),
      budget_(budget),
      tokens_(static_cast<double>(budget.burst_bytes)) {}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (!within_budget(line.size(), message.time)) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_) {
    const std::string notice =
        "{\"event\":\"log_lines_dropped\",\"total\":\"" + std::to_string(dropped_) + "\"}\n";
    if (!write_line(notice.data(), notice.size())) {
      ++dropped_;
      return;
    }
    reported_ = dropped_;
  }
  if (!write_line(line.data(), line.size())) {
    ++dropped_;
  }
}

bool BoundedSink::within_budget(size_t bytes, std::chrono::system_clock::time_point now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  // The wall clock may jump; a jump adds at most burst_bytes.
  tokens_ =
      std::clamp(tokens_ + std::max(elapsed, 0.0) * static_cast<double>(budget_.bytes_per_second),
                 0.0, static_cast<double>(budget_.burst_bytes));
  if (tokens_ < static_cast<double>(bytes)) {
    return false;
  }
  tokens_ -= static_cast<double>(bytes);
  return true;
}

bool BoundedSink::write_line(const char* data, size_t size) const {
  pollfd ready{file_descriptor_, POLLOUT, 0};
  if (size > kWritableBytes || poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return write(file_descriptor_, data, size) == static_cast<ssize_t>(size);
}

}  // namespace chalkshed
