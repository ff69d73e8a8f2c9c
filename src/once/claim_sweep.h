// Removes claims that are too old for resends, slowly in the background.
//
// Rows are divided into kClaimBuckets buckets by the hash of their key. Each node cycles through
// the buckets and sweeps those that it owns. If two nodes both consider themselves the owner, this
// only causes redundant work, because a row is removed only if it is unchanged since it was
// examined.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"
#include "src/once/claim_record.h"
#include "src/once/claim_retention_knobs.h"

namespace chalkshed {

class ClaimSweep {
 public:
  ClaimSweep(const NodeIdentity& identity, NodeDependencies& dependencies,
             const MembershipView& members, const ClaimRetentionKnobs& knobs);

  void start();

 private:
  void next_bucket();
  bool owns(uint32_t bucket) const;
  void scan_page();
  void process_page(const ScanPage& page);
  bool expired(const Row& row);
  // Removes these rows; rows that have changed since are left for the next sweep.
  void remove(std::vector<RowCondition> rows);
  void handle_removal(const std::vector<RowCondition>& rows, const Expected<CommitResult>& result);
  void page_done();
  void delay_after_failure(const Error& error);

  const std::string node_id_;
  TimeSource& time_source_;
  TableStore& store_;
  Logger& logger_;
  const MembershipView& members_;
  const ClaimRetentionKnobs knobs_;
  Counter& removed_;
  Counter& unreadable_;
  uint32_t bucket_;
  bool more_pages_ = false;  // the page in progress is not the bucket's last
  std::string after_key_;    // last key of the finished pages
  std::string page_end_;     // last key of the page in progress
  TimerPtr bucket_timer_;
  TimerPtr page_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
