// Observes the sessions of other nodes to determine when their leases have expired.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/batch/batch_rows.h"
#include "src/core/time.h"

namespace chalkshed {

// A session's lease has expired once its row has been seen unchanged for the lease duration plus a
// margin on this node's clock; clocks of different nodes are never compared. The session must then
// be deleted, on condition that its version is unchanged, before its chunks may be claimed.
class SessionWatch {
 public:
  struct Expired {
    std::string session;
    RowVersion version = 0;
    Duration overdue{0};  // time since it is known to have expired
  };

  explicit SessionWatch(Duration margin) : margin_(margin) {}

  // Starts watching a session that owns a chunk.
  void watch(const std::string& session);
  // @return the watched or observed sessions that are not dead; pass them to observe() with the
  // rows of a scan that was sent after this call.
  std::set<std::string> watched() const;
  // @param queried result of watched() before the scan was sent.
  // @param rows all rows of the session table.
  // @return sessions to delete.
  std::vector<Expired> observe(const std::set<std::string>& queried, const std::vector<Row>& rows,
                               MonotonicTime now);
  // Records that the session's row has been deleted; it is never recreated.
  void mark_dead(const std::string& session);
  bool is_dead(const std::string& session) const { return dead_.contains(session); }
  // Removes all dead sessions except the given ones.
  void retain(const std::set<std::string>& sessions);

 private:
  struct Observation {
    RowVersion version = 0;
    MonotonicTime first_seen{};
  };

  Duration margin_;
  std::map<std::string, Observation> observations_;
  std::set<std::string> dead_;
};

}  // namespace chalkshed
