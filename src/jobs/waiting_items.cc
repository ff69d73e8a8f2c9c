#include "chalkshed/waiting_items.h"

#include <utility>

#include "src/jobs/item_duration.h"

namespace chalkshed {

waiting_items::entry::entry(waiting_items& index, std::unique_ptr<node> item)
    : index_(&index), item_(std::move(item)) {}

waiting_items::entry& waiting_items::entry::operator=(entry&& other) noexcept {
  if (this != &other) {
    if (item_) {
      index_->remove(*item_);
    }
    index_ = other.index_;
    item_ = std::move(other.item_);
  }
  return *this;
}

waiting_items::entry::~entry() {
  if (item_) {
    index_->remove(*item_);
  }
}

waiting_items::entry waiting_items::add(const item_ref& item, waiting_place place) {
  auto added = std::make_unique<node>(node{item, std::move(place), next_number_++, false});
  delayed_.insert(added.get());
  ++size_;
  return {*this, std::move(added)};
}

void waiting_items::remove(node& item) {
  --size_;
  if (!item.ready) {
    delayed_.erase(&item);
    return;
  }
  const auto found = groups_.find(item.place.group);
  found->second.erase(&item);
  if (found->second.empty()) {
    groups_.erase(found);
  }
}

void waiting_items::advance(MonotonicTime now) {
  while (!delayed_.empty() && (*delayed_.begin())->place.not_before <= now) {
    node& item = **delayed_.begin();
    delayed_.erase(delayed_.begin());
    item.ready = true;
    groups_[item.place.group].insert(&item);
  }
}

const waiting_items::node& waiting_items::first_of(const group& items, Duration late_before) {
  const auto timely = items.lower_bound(late_before);
  return timely != items.end() ? **timely : **items.lower_bound((*items.rbegin())->place.due);
}

std::optional<waiting_items::choice> waiting_items::first(Duration late_before,
                                                          const std::set<std::string>& full) const {
  const node* first = nullptr;
  for (const auto& [name, items] : groups_) {
    if (full.contains(name)) {
      continue;
    }
    const node& candidate = first_of(items, late_before);
    if (first == nullptr ||
        starts_before(candidate.place.due - late_before, first->place.due - late_before)) {
      first = &candidate;
    }
  }
  return first == nullptr ? std::nullopt : std::optional(choice{first->item, &first->place});
}

}  // namespace chalkshed
