#include "src/serving/event_stream.h"

#include <algorithm>
#include <charconv>

namespace chalkshed {
namespace {

// @return the offset past the blank line that ends the last complete event in `text`, searching
// back to `from`; 0 if no event ends there.
size_t end_of_last_event(std::string_view text, size_t from) {
  size_t end = 0;
  for (size_t line_feed = text.rfind('\n');
       line_feed != std::string_view::npos && line_feed >= from;
       line_feed = line_feed == 0 ? std::string_view::npos : text.rfind('\n', line_feed - 1)) {
    const size_t before = line_feed > 0 && text[line_feed - 1] == '\r' ? line_feed - 1 : line_feed;
    if (before > 0 && text[before - 1] == '\n') {
      end = line_feed + 1;
      break;
    }
  }
  return end;
}

std::string_view take_line(std::string_view& text) {
  const size_t line_feed = text.find('\n');
  std::string_view line = text.substr(0, line_feed);
  text.remove_prefix(line_feed == std::string_view::npos ? text.size() : line_feed + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

void read_field(std::string_view line, StreamEvent& event, bool& has_data) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    if (parsed.ec == std::errc() && parsed.ptr == value.data() + value.size()) {
      event.id = id;
    }
  } else if (name == "data") {
    if (std::exchange(has_data, true)) {
      event.data += '\n';
    }
    event.data += value;
  }
}

// Whether the event holds nothing but comments and blank lines.
bool is_empty(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = take_line(event);
    if (!line.empty() && line.front() != ':') {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string_view EventSplitter::add(std::string_view bytes) {
  buffer_.erase(0, std::exchange(taken_, 0));
  // The blank line may be split over two calls: "\n" and perhaps "\r" may already be buffered.
  constexpr size_t kMaxTerminator = 3;
  const size_t from = buffer_.size() > kMaxTerminator ? buffer_.size() - kMaxTerminator : 0;
  buffer_.append(bytes);
  taken_ = end_of_last_event(buffer_, from);
  return std::string_view(buffer_).substr(0, taken_);
}

bool may_have_empty_events(std::string_view events) {
  bool begins = true;  // an event begins with the next line
  while (!events.empty()) {
    const std::string_view line = take_line(events);
    if (begins && (line.empty() || line.front() == ':')) {
      return true;
    }
    begins = line.empty();
  }
  return false;
}

std::string without_empty_events(std::string_view events) {
  std::string kept;
  while (const std::optional<StreamEvent> event = take_event(events)) {
    if (!is_empty(event->bytes)) {
      kept += event->bytes;
    }
  }
  return kept;
}

std::optional<StreamEvent> take_event(std::string_view& events) {
  if (events.empty()) {
    return std::nullopt;
  }
  StreamEvent event;
  const std::string_view all = events;
  bool has_data = false;
  while (!events.empty()) {
    const std::string_view line = take_line(events);
    if (line.empty()) {
      break;
    }
    read_field(line, event, has_data);
  }
  event.bytes = all.substr(0, all.size() - events.size());
  return event;
}

}  // namespace chalkshed
