// The queue of rumours to be gossiped, with the number of transmissions of each.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace chalkshed {

// Result of offering a rumour for transmission.
enum class Offer {
  kTaken,    // will be sent
  kSkipped,  // does not fit; a later one may fit
  kStop,     // no further one fits
};

// Holds only keys; the content is looked up on transmission, so that the newest version is sent.
// The rumours with the fewest transmissions go first, and among those the newest.
class RumourQueue {
 public:
  // Adds a rumour or, if it is already queued, resets its count.
  // @param counted initial number of transmissions; a rumour of lower priority starts above 0.
  void add(const std::string& key, uint32_t counted = 0);
  void remove(const std::string& key);

  // Offers the rumours in order until `offer` stops or all were offered. Each accepted rumour
  // counts as sent once more and is dropped at its `transmit_limit`-th transmission.
  void offer_each(uint32_t transmit_limit, const std::function<Offer(const std::string&)>& offer);

  bool empty() const { return order_.empty(); }
  size_t size() const { return order_.size(); }

 private:
  struct Position {
    uint32_t sent = 0;
    uint64_t age_rank = 0;  // lower for newer rumours

    auto operator<=>(const Position&) const = default;
  };

  void count_sent(const std::string& key, uint32_t transmit_limit);

  std::map<Position, std::string> order_;
  std::map<std::string, Position> positions_;
  uint64_t next_age_rank_ = UINT64_MAX;
};

}  // namespace chalkshed
