#include "src/serving/event_stream.h"

#include <algorithm>
#include <charconv>

namespace chalkshed {
namespace {

// Behind the blank line that ends the last event in `text`, searched from `from`; 0 when none ends.
size_t end_of_last_event(std::string_view text, size_t from) {
  size_t end = 0;
  for (size_t feed = text.rfind('\n'); feed != std::string_view::npos && feed >= from;
       feed = feed == 0 ? std::string_view::npos : text.rfind('\n', feed - 1)) {
    const size_t before = feed > 0 && text[feed - 1] == '\r' ? feed - 1 : feed;
    if (before > 0 && text[before - 1] == '\n') {
      end = feed + 1;
      break;
    }
  }
  return end;
}

std::string_view take_line(std::string_view& text) {
  const size_t feed = text.find('\n');
  std::string_view line = text.substr(0, feed);
  text.remove_prefix(feed == std::string_view::npos ? text.size() : feed + 1);
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

}  // namespace

std::string_view EventSplitter::add(std::string_view bytes) {
  buffer_.erase(0, std::exchange(taken_, 0));
  // An end may begin with what was held before: "\n" and perhaps "\r".
  constexpr size_t kLongestEnd = 3;
  const size_t from = buffer_.size() > kLongestEnd ? buffer_.size() - kLongestEnd : 0;
  buffer_.append(bytes);
  taken_ = end_of_last_event(buffer_, from);
  return std::string_view(buffer_).substr(0, taken_);
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
