// Lease of this node's batch role. Chunk rows name the session as their owner, so one renewal
// extends the ownership of all chunks of the node.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/batch/batch_store.h"

namespace chalkshed {

// A session is a row that its node rewrites periodically. Another node that has seen the row
// unchanged for the lease duration plus a margin may delete it; every later renewal then fails and
// other nodes may claim the chunks. Validity is measured on the monotonic clock from before the
// renewal was sent. An expired lease becomes valid again when a renewal succeeds, since this proves
// that the row has not been deleted.
class SessionLease {
 public:
  struct Events {
    std::function<void()> on_valid;  // newly acquired, or valid again after it had expired
    std::function<void()>
        on_lapsed;  // side effects must stop; the chunks may still be owned by this session
    std::function<void()> on_lost;  // this session no longer owns the chunks
  };

  SessionLease(const NodeIdentity& identity, NodeDependencies& dependencies, BatchStore& store,
               const BatchKnobs& knobs, Events events);

  // Opens a session unless one exists.
  void open();
  // @return whether this node has a session whose lease has not expired by its own clock.
  bool valid() const;
  // @return the remaining validity of the lease; 0 when it is not valid.
  Duration time_left() const;
  // @return the session id; empty without a session.
  const std::string& session() const { return session_; }
  // Closes the session by deleting its row. Its chunks must have been released.
  void close(std::function<void()> done);

 private:
  void create();
  void renew();
  void resolve(MonotonicTime sent_at, const std::string& nonce);
  void accept(MonotonicTime sent_at, RowVersion version);
  void lose();
  void retry_later();
  void on_expiry();
  std::string encode_row(const std::string& nonce) const;
  std::string next_nonce();

  const NodeIdentity& identity_;
  NodeDependencies& dependencies_;
  BatchStore& store_;
  const BatchKnobs& knobs_;
  Events events_;
  std::string session_;
  RowVersion version_ = 0;  // 0 until the row is known to exist
  MonotonicTime valid_until_{};
  bool opening_ = false;
  bool announced_valid_ = false;
  uint64_t nonces_ = 0;
  uint32_t failures_ = 0;
  TimerPtr renewal_timer_;
  TimerPtr expiry_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
