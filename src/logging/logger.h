// Structured logging: one event per line, with named fields.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace chalkshed {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  std::string value;
};

class Logger {
 public:
  virtual ~Logger() = default;
  // Whether lines of that level are written; lets callers avoid building unused fields.
  virtual bool enabled(LogLevel /*level*/) const { return true; }
  // @param event stable snake_case name of the event.
  virtual void write(LogLevel level, std::string_view event,
                     std::initializer_list<LogField> fields) = 0;
};

// Discards all events; for tests and the simulator.
class NullLogger : public Logger {
 public:
  bool enabled(LogLevel) const override { return false; }
  void write(LogLevel, std::string_view, std::initializer_list<LogField>) override {}
};

}  // namespace chalkshed
