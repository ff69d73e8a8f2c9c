// spdlog sink that writes to a file descriptor without ever waiting for its reader, within a budget
// of bytes. Tells how many lines were left out as soon as there is room again.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstdint>

#include "src/logging/structured_logger.h"

namespace chalkshed {

class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  BoundedSink(int file_descriptor, const LogBudget& budget);
  // Lines that were left out since the start.
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
  uint64_t told_ = 0;
};

}  // namespace chalkshed
