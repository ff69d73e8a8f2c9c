// Tracks whether a newly started node has received the state that the other nodes have.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "src/core/address.h"
#include "src/core/time.h"
#include "src/membership/datagram.h"

namespace chalkshed {

// A newly started node may lack drain marks and must not act as if there were none. It has caught
// up once all pages of one sync have arrived, or when no node has responded before the timeout.
class CatchUp {
 public:
  explicit CatchUp(Duration timeout) : timeout_(timeout) {}

  bool done() const { return done_; }
  // The machine list has arrived.
  void on_candidates(size_t count, MonotonicTime now);
  void on_response(const Address& from, const Datagram& response, MonotonicTime now);
  // @param page number of the page in its sync.
  void on_page(const Address& from, uint32_t page);
  void tick(MonotonicTime now);

 private:
  struct Transfer {
    Address from;
    std::set<uint32_t> missing_pages;  // datagrams may be duplicated, so pages are numbered
  };

  Duration timeout_;
  bool done_ = false;
  std::optional<MonotonicTime> give_up_at_;
  std::optional<Transfer> transfer_;
};

}  // namespace chalkshed
