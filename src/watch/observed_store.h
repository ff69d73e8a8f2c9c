// A decorator of the store: updates the store clock from its answers, counts the calls, and rejects
// answers that belong to other calls, and range reads that are older than the newest version known
// when they were requested.
#pragma once

#include "chalkshed/log_limit.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/platform/watched_store.h"
#include "src/watch/store_clock.h"

namespace chalkshed {

enum class StaleReads { kAccept, kRefuse };

class ObservedStore : public WatchedStore {
 public:
  // All references must outlive the store.
  ObservedStore(WatchedStore& inner, StoreClock& clock, Logger& logger, MetricsRegistry& metrics,
                StaleReads stale_reads)
      : inner_(inner),
        clock_(clock),
        logger_(logger),
        metrics_(metrics),
        stale_reads_(stale_reads) {}

  // Errors in addition to the store's own: kStoreUnavailable for a stale answer, or one to another
  // call; kOutcomeUnknown for a transaction that got the answer to another call.
  void read_range(RangeRead range, Callback<RangePage> callback) override;
  void read_changes(std::string table, StoreVersion since, Duration wait,
                    Callback<TableChanges> callback) override;
  void read_changes_anew(std::string table, StoreVersion since,
                         Callback<TableChanges> callback) override;
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override;

 private:
  void count(const char* call, bool succeeded);
  // @return what checks the answer to a read of changes before it calls `callback`.
  Callback<TableChanges> check_changes(std::string table, StoreVersion since,
                                       Callback<TableChanges> callback);
  // Records an answer that is not the one to its call.
  void note_wrong_answer(const char* call, StoreVersion version);

  WatchedStore& inner_;
  StoreClock& clock_;
  Logger& logger_;
  MetricsRegistry& metrics_;
  StaleReads stale_reads_;
  log_limit wrong_answers_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
