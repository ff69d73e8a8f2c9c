#include "src/watch/observed_store.h"

namespace chalkshed {

void ObservedStore::count(const char* call, bool succeeded) {
  if (!succeeded) {
    clock_.note_failed_call();
  }
  metrics_
      .counter("chalkshed_store_calls_total", "Calls to the platform's store.",
               {{"call", call}, {"result", succeeded ? "answered" : "failed"}})
      .add(1);
}

void ObservedStore::read_range(RangeRead range, Callback<RangePage> callback) {
  inner_.read_range(
      std::move(range), lifetime_.guard([this, known = clock_.newest(), asked = clock_.local_now(),
                                         callback = std::move(callback)](Expected<RangePage> page) {
        clock_.note_call_since(asked);
        count("read_range", page.has_value());
        if (page && page->stamp.version < known && stale_reads_ == StaleReads::kRefuse) {
          callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                          "the store's answer is older than data read before",
                                          "retry after a moment")));
          return;
        }
        if (page) {
          clock_.observe(page->stamp);
        }
        callback(std::move(page));
      }));
}

void ObservedStore::read_changes(std::string table, StoreVersion since, Duration wait,
                                 Callback<TableChanges> callback) {
  inner_.read_changes(
      std::move(table), since, wait,
      lifetime_.guard([this, callback = std::move(callback)](Expected<TableChanges> changes) {
        count("read_changes", changes.has_value());
        if (changes) {
          clock_.observe(changes->stamp);
        }
        callback(std::move(changes));
      }));
}

void ObservedStore::commit(StoreTransaction transaction, Callback<StoreCommit> callback) {
  inner_.commit(std::move(transaction),
                lifetime_.guard([this, asked = clock_.local_now(),
                                 callback = std::move(callback)](Expected<StoreCommit> commit) {
                  clock_.note_call_since(asked);
                  count("commit", commit.has_value());
                  if (commit) {
                    clock_.observe(commit->stamp);
                  }
                  callback(std::move(commit));
                }));
}

}  // namespace chalkshed
