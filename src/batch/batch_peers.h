// Notifications between the batch roles of the nodes. They only reduce latency: every node also
// polls the table, which holds the same information.
#pragma once

#include <functional>
#include <string>

#include "src/batch/batch_rows.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

class BatchPeers {
 public:
  struct Events {
    std::function<void(const JobId&)> on_cancelled;
    std::function<void(const OpenJobRow&, RowVersion)> on_accepted;
  };

  BatchPeers(const NodeIdentity& identity, NodeDependencies& dependencies,
             const MembershipView& membership, Events events);

  // Notifies the node that owns a session that a job is cancelled.
  void notify_cancelled(const std::string& session, const JobId& job);
  // Notifies other nodes, at most as many as the job has chunks, that a job was accepted.
  void notify_accepted(const OpenJobRow& job, RowVersion version);

 private:
  void on_cancel_call(const std::string& body);
  void on_open_call(const std::string& body);

  const NodeIdentity& identity_;
  NodeDependencies& dependencies_;
  const MembershipView& membership_;
  Events events_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
