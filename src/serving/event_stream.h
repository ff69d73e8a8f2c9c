// Incremental parser of server-sent events. Only complete events are forwarded, so that an
// interrupted stream can be resumed on another worker after the last complete event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalkshed {

// Splits a byte stream at event boundaries (blank lines).
class EventSplitter {
 public:
  // @return the bytes of all events completed by `bytes`; valid until the next call.
  std::string_view add(std::string_view bytes);
  // Whether the buffer holds an incomplete event.
  bool inside_event() const { return incomplete_bytes() > 0; }
  size_t incomplete_bytes() const { return buffer_.size() - taken_; }

 private:
  std::string buffer_;
  size_t taken_ = 0;  // bytes of buffer_ already returned to the caller
};

struct StreamEvent {
  std::optional<uint64_t> id;
  std::string data;        // the data lines, joined by line feeds
  std::string_view bytes;  // the whole event, including the blank line
};

// Whether any of the events, which are complete, may hold nothing but comments and blank lines,
// which say nothing of the answer. Never misses one.
bool may_have_empty_events(std::string_view events);
// @return the events but for those that hold nothing else.
std::string without_empty_events(std::string_view events);

// Removes the first event from `events`, which holds complete events only.
// @return the event, or nothing if `events` is empty.
std::optional<StreamEvent> take_event(std::string_view& events);

}  // namespace chalkshed
