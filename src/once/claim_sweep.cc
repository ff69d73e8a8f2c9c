#include "src/once/claim_sweep.h"

#include <algorithm>
#include <utility>

#include "src/core/digest.h"
#include "src/membership/rendezvous.h"

namespace chalkshed {

ClaimSweep::ClaimSweep(const NodeIdentity& identity, NodeDependencies& dependencies,
                       const MembershipView& members, const ClaimRetentionKnobs& knobs)
    : node_id_(identity.id),
      time_source_(dependencies.time_source),
      store_(dependencies.table_store),
      logger_(dependencies.logger),
      members_(members),
      knobs_(knobs),
      removed_(dependencies.metrics.counter("chalkshed_claims_removed_total",
                                            "Claims removed because of their age.", {})),
      unreadable_(dependencies.metrics.counter("chalkshed_claims_unreadable_total",
                                               "Rows of the claims that could not be read.", {})),
      // Nodes start at different buckets, so that they don't sweep at the same times.
      bucket_(static_cast<uint32_t>(content_hash(identity.id) % kClaimBuckets)),
      bucket_timer_(dependencies.dispatcher.create_timer([this] { next_bucket(); })),
      page_timer_(dependencies.dispatcher.create_timer([this] { scan_page(); })) {}

void ClaimSweep::start() { bucket_timer_->enable(knobs_.sweep_interval / kClaimBuckets); }

void ClaimSweep::next_bucket() {
  bucket_timer_->enable(knobs_.sweep_interval / kClaimBuckets);
  bucket_ = (bucket_ + 1) % kClaimBuckets;
  if (!owns(bucket_)) {
    return;
  }
  bucket_timer_->disable();  // until the bucket's last page is finished
  after_key_.clear();
  scan_page();
}

bool ClaimSweep::owns(uint32_t bucket) const {
  return rendezvous_owner("claims/" + claim_bucket_prefix(bucket), members_.members()) == node_id_;
}

void ClaimSweep::scan_page() {
  ScanRequest request;
  request.table = kClaimsTable;
  request.prefix = claim_bucket_prefix(bucket_);
  request.after_key = after_key_;
  request.limit = knobs_.page_rows;
  store_.scan(std::move(request), lifetime_.guard([this](const Expected<ScanPage>& page) {
    if (page) {
      process_page(*page);
    } else {
      delay_after_failure(page.error());
    }
  }));
}

void ClaimSweep::process_page(const ScanPage& page) {
  more_pages_ = page.more && !page.rows.empty();
  page_end_ = page.rows.empty() ? after_key_ : page.rows.back().key;
  std::vector<RowCondition> expired_rows;
  for (const Row& row : page.rows) {
    if (expired(row)) {
      expired_rows.push_back({{kClaimsTable, row.key}, row.version});
    }
  }
  remove(std::move(expired_rows));
}

bool ClaimSweep::expired(const Row& row) {
  const Expected<ClaimRecord> record = decode_claim_record(row.value);
  if (!record) {
    unreadable_.add(1);
    return false;
  }
  const bool unfinished = record->state == ClaimState::kClaimed;
  const bool kept_longer = unfinished && knobs_.safeguards.unfinished_kept_longer;
  const Duration retention = kept_longer ? knobs_.unfinished_retention : knobs_.retention;
  const Duration age =
      time_source_.wall_now().time_since_epoch() - std::chrono::seconds(record->claimed_at_seconds);
  return age > retention + knobs_.clock_margin;
}

void ClaimSweep::remove(std::vector<RowCondition> rows) {
  if (rows.empty()) {
    return page_done();
  }
  Transaction transaction;
  if (knobs_.safeguards.conditional_removal) {
    transaction.conditions = rows;
  }
  for (const RowCondition& row : rows) {
    transaction.writes.push_back({row.key, std::nullopt});
  }
  store_.commit(
      std::move(transaction),
      lifetime_.guard([this, rows = std::move(rows)](const Expected<CommitResult>& result) mutable {
        handle_removal(rows, result);
      }));
}

void ClaimSweep::handle_removal(const std::vector<RowCondition>& rows,
                                const Expected<CommitResult>& result) {
  if (!result) {
    return delay_after_failure(result.error());  // then the page is scanned again in any case
  }
  if (result->committed) {
    removed_.add(static_cast<double>(rows.size()));
    return page_done();
  }
  std::vector<RowCondition> unchanged;
  std::copy_if(rows.begin(), rows.end(), std::back_inserter(unchanged),
               [&](const RowCondition& row) {
                 const std::vector<RowKey>& failed = result->failed_conditions;
                 return std::find(failed.begin(), failed.end(), row.key) == failed.end();
               });
  if (unchanged.size() == rows.size()) {
    return page_done();  // the store returned no failed condition, so the changed rows are unknown
  }
  remove(std::move(unchanged));
}

void ClaimSweep::page_done() {
  after_key_ = page_end_;
  if (more_pages_) {
    page_timer_->enable(knobs_.page_interval);
  } else {
    bucket_timer_->enable(knobs_.sweep_interval / kClaimBuckets);
  }
}

void ClaimSweep::delay_after_failure(const Error& error) {
  logger_.write(LogLevel::kWarning, "claim_sweep_paused", {{"message", error.message}});
  const Duration asked = error.retry_after.value_or(Duration{0});
  page_timer_->enable(std::max<Duration>(knobs_.failure_delay, asked));
}

}  // namespace chalkshed
