#include "src/membership/catch_up.h"

#include <algorithm>

namespace chalkshed {
namespace {

// Bounds the memory that a corrupt response can make the node allocate.
constexpr uint32_t kMaxPages = 4096;

}  // namespace

void CatchUp::on_candidates(size_t count, MonotonicTime now) {
  if (count == 0) {
    done_ = true;
  }
  if (!give_up_at_) {
    give_up_at_ = now + timeout_;
  }
}

void CatchUp::on_response(const Address& from, const Datagram& response, MonotonicTime now) {
  // A node that is still catching up itself may lack the same entries.
  if (done_ || !response.caught_up) {
    return;
  }
  transfer_ = Transfer{from, {}};
  give_up_at_ = now + timeout_;
  const uint32_t pages = std::min(response.pages, kMaxPages);
  for (uint32_t page = 0; page < pages; ++page) {
    transfer_->missing_pages.insert(page);
  }
  done_ = pages == 0;
}

void CatchUp::on_page(const Address& from, uint32_t page) {
  if (done_ || !transfer_ || transfer_->from != from) {
    return;
  }
  transfer_->missing_pages.erase(page);
  done_ = transfer_->missing_pages.empty();
}

void CatchUp::tick(MonotonicTime now) {
  if (give_up_at_ && now >= *give_up_at_) {
    done_ = true;
  }
}

}  // namespace chalkshed
