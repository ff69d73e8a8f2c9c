#include "src/watch/observed_store.h"

#include <memory>

#include "src/watch/store_answers.h"

namespace chalkshed {
namespace {

Error read_of_another_call() {
  return not_run(ErrorKind::kStoreUnavailable, "the store's answer belongs to another call",
                 "retry after a moment");
}

}  // namespace

void ObservedStore::count(const char* call, bool succeeded) {
  if (!succeeded) {
    clock_.note_failed_call();
  }
  metrics_
      .counter("chalkshed_store_calls_total", "Calls to the platform's store.",
               {{"call", call}, {"result", succeeded ? "answered" : "failed"}})
      .add(1);
}

void ObservedStore::note_wrong_answer(const char* call, StoreVersion version) {
  inner_.renew_connections();
  metrics_
      .counter("chalkshed_store_wrong_answers_total",
               "Answers of the store that belong to another call.", {{"call", call}})
      .add(1);
  if (const auto events = wrong_answers_.admit(clock_.local_now())) {
    logger_.write(LogLevel::kWarning, "store_wrong_answer",
                  {{"call", call},
                   {"version", std::to_string(version)},
                   {"known_version", std::to_string(clock_.answered())},
                   {"count", std::to_string(*events)}});
  }
}

void ObservedStore::read_range(RangeRead range, Callback<RangePage> callback) {
  RangeRead sent = range;
  inner_.read_range(
      std::move(sent), lifetime_.guard([this, range = std::move(range), known = clock_.newest(),
                                        asked = clock_.local_now(),
                                        callback = std::move(callback)](Expected<RangePage> page) {
        clock_.note_call_since(asked);
        const bool wrong = page && !can_answer(range, *page);
        count("read_range", page.has_value() && !wrong);
        if (wrong) {
          note_wrong_answer("read_range", page->stamp.version);
          callback(tl::unexpected(read_of_another_call()));
          return;
        }
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
  inner_.read_changes(table, since, wait, check_changes(table, since, std::move(callback)));
}

void ObservedStore::read_changes_anew(std::string table, StoreVersion since,
                                      Callback<TableChanges> callback) {
  inner_.read_changes_anew(table, since, check_changes(table, since, std::move(callback)));
}

Callback<TableChanges> ObservedStore::check_changes(std::string table, StoreVersion since,
                                                    Callback<TableChanges> callback) {
  return lifetime_.guard([this, table = std::move(table), since,
                          callback = std::move(callback)](Expected<TableChanges> changes) {
    const bool wrong = changes && !can_answer(table, since, *changes);
    count("read_changes", changes.has_value() && !wrong);
    if (wrong) {
      note_wrong_answer("read_changes", changes->stamp.version);
      callback(tl::unexpected(read_of_another_call()));
      return;
    }
    if (changes) {
      clock_.observe(changes->stamp);
    }
    callback(std::move(changes));
  });
}

void ObservedStore::commit(StoreTransaction transaction, Callback<StoreCommit> callback) {
  // Without the values, which are large and play no part in the answer.
  StoreTransaction keys{transaction.conditions, {}};
  for (const StoreWrite& write : transaction.writes) {
    keys.writes.push_back({write.key, std::nullopt});
  }
  inner_.commit(std::move(transaction),
                lifetime_.guard([this, keys = std::move(keys), known = clock_.answered(),
                                 asked = clock_.local_now(),
                                 callback = std::move(callback)](Expected<StoreCommit> commit) {
                  clock_.note_call_since(asked);
                  const bool wrong = commit && !can_answer(keys, *commit, known);
                  count("commit", commit.has_value() && !wrong);
                  if (wrong) {
                    note_wrong_answer("commit", commit->stamp.version);
                    callback(tl::unexpected(maybe_run(
                        ErrorKind::kOutcomeUnknown, "the store's answer belongs to another call",
                        "read back, or send the same conditional change again")));
                    return;
                  }
                  if (commit) {
                    clock_.observe(commit->stamp);
                  }
                  callback(std::move(commit));
                }));
}

}  // namespace chalkshed
