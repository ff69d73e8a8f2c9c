// Logger that writes one line per event, as key=value or JSON. Its volume is limited, and it never
// blocks: a line that cannot be written immediately is dropped and counted.
#pragma once

#include <memory>

#include "src/logging/logger.h"

namespace chalkshed {

enum class LogLineFormat { kKeyValue, kJson };
enum class LogStream { kStandardOutput, kStandardError };

struct LogBudget {
  size_t bytes_per_second = 128 * 1024;
  size_t burst_bytes = 1024 * 1024;
};

class StructuredLogger : public Logger {
 public:
  // @param node included in every line unless empty, to distinguish the lines of several nodes.
  StructuredLogger(LogLevel level, LogLineFormat format,
                   LogStream stream = LogStream::kStandardError, const LogBudget& budget = {},
                   const std::string& node = "");
  ~StructuredLogger() override;
  StructuredLogger(const StructuredLogger&) = delete;
  StructuredLogger& operator=(const StructuredLogger&) = delete;

  bool enabled(LogLevel level) const override;
  void write(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// @return the part of a line after time and level: event and fields, without line breaks.
std::string format_log_event(LogLineFormat format, std::string_view event,
                             std::initializer_list<LogField> fields);

}  // namespace chalkshed
