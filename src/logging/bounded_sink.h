// spdlog sink that writes to a file descriptor within a byte budget and never blocks on its reader.
// Reports the number of dropped lines as soon as lines can be written again.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstdint>

#include "src/logging/structured_logger.h"

namespace chalkshed {

class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  BoundedSink(int file_descriptor, const LogBudget& budget);
  // Number of lines dropped since the start.
  uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  bool within_budget(size_t bytes, std::chrono::system_clock::time_point now);
  bool write_line(const char* data, size_t size) const;

  const int file_descriptor_;
  const LogBudget budget_;
  double tokens_;
  std::chrono::system_clock::time_point refilled_{};
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace chalkshed
