#include "src/membership/rumour_queue.h"

#include <vector>

namespace chalkshed {

void RumourQueue::add(const std::string& key, uint32_t counted) {
  remove(key);
  const Position position{counted, next_age_rank_--};
  order_.emplace(position, key);
  positions_.emplace(key, position);
}

void RumourQueue::remove(const std::string& key) {
  const auto found = positions_.find(key);
  if (found == positions_.end()) {
    return;
  }
  order_.erase(found->second);
  positions_.erase(found);
}

void RumourQueue::count_sent(const std::string& key, uint32_t transmit_limit) {
  const auto found = positions_.find(key);
  if (found == positions_.end()) {
    return;
  }
  Position& position = found->second;
  order_.erase(position);
  ++position.sent;
  if (position.sent >= transmit_limit) {
    positions_.erase(found);
    return;
  }
  order_.emplace(position, key);
}

void RumourQueue::offer_each(uint32_t transmit_limit,
                             const std::function<Offer(const std::string&)>& offer) {
  std::vector<std::string> taken;
  for (const auto& [position, key] : order_) {
    const Offer result = offer(key);
    if (result == Offer::kStop) {
      break;
    }
    if (result == Offer::kTaken) {
      taken.push_back(key);
    }
  }
  for (const std::string& key : taken) {
    count_sent(key, transmit_limit);
  }
}

}  // namespace chalkshed
