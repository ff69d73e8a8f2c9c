#include "src/membership/state_sync.h"

#include <algorithm>
#include <utility>

namespace chalkshed {
namespace {

constexpr size_t kMaxQueuedPages = 1024;
// A view that keeps changing is synced after this many times `sync_delay`.
constexpr int kMaxDelayFactor = 3;

// Splits members and entries into datagrams of the permitted size.
class PageBuilder {
 public:
  explicit PageBuilder(const NodeId& sender) : header_bytes_(encoded_header_bound(sender, "")) {}

  void add(MemberUpdate update) {
    reserve(encoded_size_bound(update));
    pages_.back().updates.push_back(std::move(update));
  }
  void add(GossipEntry entry) {
    reserve(encoded_size_bound(entry));
    pages_.back().entries.push_back(std::move(entry));
  }
  std::vector<Datagram> take() { return std::move(pages_); }

 private:
  void reserve(size_t bytes) {
    if (pages_.empty() || used_ + bytes > DatagramTransport::kMaxDatagramBytes) {
      const auto number = static_cast<uint32_t>(pages_.size());
      Datagram& page = pages_.emplace_back();
      page.kind = DatagramKind::kSyncPage;
      page.sequence = number;
      used_ = header_bytes_;
    }
    used_ += bytes;
  }

  std::vector<Datagram> pages_;
  size_t header_bytes_;
  size_t used_ = 0;
};

}  // namespace

StateSync::StateSync(const MemberTable& table, const GossipStore& store, DatagramSender& sender,
                     RandomGenerator& random, const MembershipKnobs& knobs)
    : table_(table), store_(store), sender_(sender), random_(random), knobs_(knobs) {}

void StateSync::on_view_digest(const Address& from, uint64_t digest, MonotonicTime now) {
  const bool equal = digest == sender_.view_digest();
  if (!difference_) {
    if (equal) {
      return;
    }
    difference_ = Difference{now, from, 0, 0};
  }
  if (equal) {
    ++difference_->equal;
  } else {
    ++difference_->differing;
    difference_->peer = from;
  }
}

void StateSync::request(const Address& from, MonotonicTime now) {
  last_sync_ = now;
  Datagram request = with_buckets(DatagramKind::kSyncRequest);
  request.updates.push_back({table_.self()});
  sender_.send_plain(from, std::move(request));
}

void StateSync::on_revived(const Address& member, MonotonicTime now) {
  const bool chosen = random_.below(table_.live_count()) < knobs_.healing_syncs;
  if (chosen && now - last_sync_ >= knobs_.sync_interval) {
    request(member, now);
  }
}

void StateSync::on_request(const Address& from, const Datagram& request, bool caught_up) {
  if (!request.member_buckets || !request.entry_buckets || pages_queued_for(from)) {
    return;
  }
  std::vector<Datagram> pages = pages_for(request);
  Datagram response = with_buckets(DatagramKind::kSyncResponse);
  response.caught_up = caught_up;
  response.pages = static_cast<uint32_t>(pages.size());
  sender_.send_plain(from, std::move(response));
  queue_pages(from, std::move(pages));
  send_pages();
}

void StateSync::on_response(const Address& from, const Datagram& response) {
  if (!response.member_buckets || !response.entry_buckets || pages_queued_for(from)) {
    return;
  }
  queue_pages(from, pages_for(response));
}

Datagram StateSync::with_buckets(DatagramKind kind) const {
  Datagram datagram;
  datagram.kind = kind;
  datagram.member_buckets = table_.buckets();
  datagram.entry_buckets = store_.buckets();
  return datagram;
}

std::vector<Datagram> StateSync::pages_for(const Datagram& theirs) const {
  PageBuilder builder(table_.self().id);
  // Entries first, because a newly started node waits for them.
  for (GossipEntry& entry : store_.differing(*theirs.entry_buckets)) {
    builder.add(std::move(entry));
  }
  for (Member& member : table_.differing(*theirs.member_buckets)) {
    builder.add(MemberUpdate{std::move(member)});
  }
  return builder.take();
}

void StateSync::queue_pages(const Address& to, std::vector<Datagram> pages) {
  for (Datagram& page : pages) {
    if (pages_.size() < kMaxQueuedPages) {
      pages_.push_back({to, std::move(page)});
    }
  }
}

bool StateSync::pages_queued_for(const Address& to) const {
  return std::any_of(pages_.begin(), pages_.end(), [&](const Page& page) { return page.to == to; });
}

void StateSync::tick(MonotonicTime now) {
  send_pages();
  if (!due(now)) {
    return;
  }
  // The only node that differs sees no equal digests and always syncs; nodes that have just
  // compared digests with it rarely do.
  const uint32_t seen = difference_->differing + difference_->equal;
  const bool chosen = random_.below(seen) < difference_->differing;
  const Address peer = difference_->peer;
  difference_.reset();
  if (chosen) {
    request(peer, now);
  }
}

bool StateSync::due(MonotonicTime now) const {
  if (!difference_ || now - last_sync_ < knobs_.sync_interval) {
    return false;
  }
  const Duration lasted = now - difference_->since;
  const bool quiet = now - view_changed_at_ >= knobs_.sync_delay;
  return (quiet && lasted >= knobs_.sync_delay) || lasted >= kMaxDelayFactor * knobs_.sync_delay;
}

void StateSync::send_pages() {
  for (uint32_t sent = 0; sent < knobs_.pages_per_tick && !pages_.empty(); ++sent) {
    Page page = std::move(pages_.front());
    pages_.pop_front();
    sender_.send_plain(page.to, std::move(page.datagram));
  }
}

}  // namespace chalkshed
