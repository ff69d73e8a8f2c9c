// Server-sent events as they arrive in pieces: hands on whole events only, so that an answer that
// breaks can go on elsewhere behind the last whole one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chalkshed {

// Cuts a byte stream at the ends of events (blank lines).
class EventSplitter {
 public:
  // @return the bytes of all events that have become whole; valid until the next call.
  std::string_view add(std::string_view bytes);
  // Bytes of an event that has begun but not ended.
  bool inside_event() const { return taken_ < buffer_.size(); }

 private:
  std::string buffer_;
  size_t taken_ = 0;  // bytes of buffer_ that were returned
};

struct StreamEvent {
  std::optional<uint64_t> id;
  std::string data;        // its data lines, joined by line feeds
  std::string_view bytes;  // the whole event, its blank line included
};

// Takes the first event off `events`, which hold whole events only.
// @return the event, or nothing when `events` is empty.
std::optional<StreamEvent> take_event(std::string_view& events);

}  // namespace chalkshed
