#include "src/logging/structured_logger.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "src/core/utf8.h"
#include "src/logging/bounded_sink.h"

namespace chalkshed {
namespace {

spdlog::level::level_enum spdlog_level(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

// Appends `text` in quotes, with JSON escapes.
void append_quoted(std::string& line, std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  line += '"';
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') {
      line += '\\';
      line += letter;
    } else if (static_cast<unsigned char>(letter) < kFirstPrintable) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned char>(letter));
      line += escape.data();
    } else {
      line += letter;
    }
  }
  line += '"';
}

bool needs_quotes(std::string_view text) {
  constexpr unsigned char kSpace = 0x20;
  return text.empty() || std::any_of(text.begin(), text.end(), [](unsigned char letter) {
           return letter <= kSpace || letter == '"' || letter == '=' || letter == '\\';
         });
}

void append_pair(std::string& line, LogLineFormat format, std::string_view name,
                 std::string_view value) {
  if (format == LogLineFormat::kJson) {
    line += line.empty() ? "" : ",";
    append_quoted(line, name);
    line += ':';
    append_quoted(line, value);
    return;
  }
  line += line.empty() ? "" : " ";
  line.append(name).append("=");
  if (needs_quotes(value)) {
    append_quoted(line, value);
  } else {
    line += value;
  }
}

}  // namespace

class StructuredLogger::Implementation {
 public:
  Implementation(LogLevel level, LogLineFormat format, LogStream stream, const LogBudget& budget,
                 const std::string& node)
      : format_(format),
        logger_("chalkshed",
                std::make_shared<BoundedSink>(
                    stream == LogStream::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO, budget)) {
    std::string source;
    if (!node.empty()) {
      source = format == LogLineFormat::kJson ? R"("node":")" + node + "\"," : "node=" + node + " ";
    }
    const std::string pattern =
        format == LogLineFormat::kJson
            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",)" + source + "%v}"
            : "time=%Y-%m-%dT%H:%M:%S.%fZ level=%l " + source + "%v";
    logger_.set_pattern(pattern, spdlog::pattern_time_type::utc);
    logger_.set_level(spdlog_level(level));
  }

  bool enabled(LogLevel level) const { return logger_.should_log(spdlog_level(level)); }

  void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
    const spdlog::level::level_enum target = spdlog_level(level);
    if (logger_.should_log(target)) {
      logger_.log(target, spdlog::string_view_t(format_log_event(format_, event, fields)));
    }
  }

 private:
  LogLineFormat format_;
  spdlog::logger logger_;
};

StructuredLogger::StructuredLogger(LogLevel level, LogLineFormat format, LogStream stream,
                                   const LogBudget& budget, const std::string& node)
    : implementation_(std::make_unique<Implementation>(level, format, stream, budget, node)) {}

StructuredLogger::~StructuredLogger() = default;

bool StructuredLogger::enabled(LogLevel level) const { return implementation_->enabled(level); }

void StructuredLogger::write(LogLevel level, std::string_view event,
                             std::initializer_list<LogField> fields) {
  implementation_->write(level, event, fields);
}

std::string format_log_event(LogLineFormat format, std::string_view event,
                             std::initializer_list<LogField> fields) {
  std::string line;
  append_pair(line, format, "event", event);
  for (const LogField& field : fields) {
    append_pair(line, format, field.name, field.value);
  }
  // Store rows and requests may contain any bytes, but log readers expect UTF-8.
  const bool ascii = std::none_of(line.begin(), line.end(), [](char letter) { return letter < 0; });
  return ascii ? line : with_valid_utf8(line);
}

}  // namespace chalkshed
