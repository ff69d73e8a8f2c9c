#include "emulator/memory_watched_store.h"

#include <algorithm>
#include <set>

#include "src/core/call_after.h"

namespace chalkshed {
namespace {

// Same values as the daemon's store client.
constexpr Duration kTimeout = std::chrono::milliseconds(2000);
constexpr Duration kFollowSlack = std::chrono::milliseconds(1000);

Error unavailable() {
  return not_run(ErrorKind::kStoreUnavailable, "the store is down", "send the call again");
}

// Approximate size of the rows on the wire, where values are encoded in base64.
uint64_t bytes_of(const std::vector<StoredRow>& rows) {
  constexpr uint64_t kBytesOfRow = 80;
  uint64_t bytes = 0;
  for (const StoredRow& row : rows) {
    bytes += kBytesOfRow + row.key.key.size() + row.value.size() * 4 / 3;
  }
  return bytes;
}

// All keys of a transaction are in one partition.
const StoredRowKey& first_key_of(const StoreTransaction& transaction) {
  static const StoredRowKey kNone;
  return !transaction.writes.empty()       ? transaction.writes.front().key
         : !transaction.conditions.empty() ? transaction.conditions.front().key
                                           : kNone;
}

bool exceeds_limits(const StoreTransaction& transaction) {
  size_t bytes = 0;
  for (const StoreWrite& write : transaction.writes) {
    bytes += write.value ? write.value->size() : 0;
  }
  return transaction.conditions.size() + transaction.writes.size() > kMostTransactionEntries ||
         bytes > kMostTransactionBytes;
}

}  // namespace

RangePage VersionedRows::read(const RangeRead& range, StoreVersion version) const {
  std::map<StoredRowKey, StoredRow> earlier_rows;
  if (version != version_) {
    for (const Change& change : history_) {
      if (change.version <= version) {
        earlier_rows[change.row.key] = change.row;
      }
    }
    std::erase_if(earlier_rows, [](const auto& entry) { return entry.second.removed; });
  }
  const std::map<StoredRowKey, StoredRow>& rows = version == version_ ? rows_ : earlier_rows;
  RangePage page;
  page.stamp.version = version;
  for (auto row = rows.lower_bound({range.table, range.partition, range.first_key});
       row != rows.end(); ++row) {
    const StoredRowKey& key = row->first;
    if (key.table != range.table || key.partition != range.partition ||
        (!range.end_key.empty() && key.key >= range.end_key)) {
      break;
    }
    if (page.rows.size() == range.limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(row->second);
  }
  return page;
}

Expected<std::vector<StoredRow>> VersionedRows::changes(const std::string& table,
                                                        StoreVersion since) const {
  if (since < history_begins_) {
    return tl::unexpected(not_run(ErrorKind::kNotFound, "the history is no longer available",
                                  "list the table again"));
  }
  std::vector<StoredRow> rows;
  auto change =
      std::upper_bound(history_.begin(), history_.end(), since,
                       [](StoreVersion version, const Change& at) { return version < at.version; });
  for (; change != history_.end(); ++change) {
    if (change->row.key.table == table) {
      rows.push_back(change->row);
    }
  }
  return rows;
}

bool VersionedRows::has_changes(const std::string& table, StoreVersion since) const {
  const auto changed = changed_.find(table);
  return since < history_begins_ || (changed != changed_.end() && changed->second > since);
}

StoreCommit VersionedRows::commit(const StoreTransaction& transaction) {
  StoreCommit result;
  bool holds = true;
  for (const StoreCondition& condition : transaction.conditions) {
    const auto found = rows_.find(condition.key);
    StoredRow current;
    current.key = condition.key;
    if (found != rows_.end()) {
      current = found->second;
    }
    holds = holds && current.version == condition.version;
    result.current.push_back(std::move(current));
  }
  if (holds) {
    result.committed = true;
    result.current.clear();
    ++version_;
    for (const StoreWrite& write : transaction.writes) {
      const StoredRow row{write.key, write.value.value_or(""), version_, !write.value};
      history_.push_back({version_, row});
      changed_[write.key.table] = version_;
      if (write.value) {
        rows_[write.key] = row;
      } else {
        rows_.erase(write.key);
      }
    }
  }
  result.stamp.version = version_;
  return result;
}

void SharedStore::wake_followers() {
  for (const std::function<void()>& wake : followers_) {
    wake();
  }
}

MemoryWatchedStore::MemoryWatchedStore(SharedStore& shared, TimeSource& time_source,
                                       Dispatcher& dispatcher, Duration delay)
    : shared_(shared), time_source_(time_source), dispatcher_(dispatcher), delay_(delay) {
  shared_.add_follower(lifetime_.guard([this] { wake(); }));
}

StoreStamp MemoryWatchedStore::stamp() const {
  return {shared_.rows.version(), time_source_.monotonic_now().time_since_epoch()};
}

Duration MemoryWatchedStore::queueing_delay() {
  return shared_.queue.bounded() ? shared_.queue.add_call(time_source_.monotonic_now())
                                 : Duration(0);
}

template <typename Value>
void MemoryWatchedStore::refuse(Callback<Value> callback) {
  ++shared_.calls;
  call_after(dispatcher_, delay_, lifetime_.guard([callback = std::move(callback)] {
    // Same delay as the daemon's store client.
    Error error = not_run(ErrorKind::kStoreUnavailable, "the store answered with status 429",
                          "retry the call after a moment");
    error.retry_after = std::chrono::milliseconds(300);
    callback(tl::unexpected(error));
  }));
}

void MemoryWatchedStore::send(uint64_t bytes, std::function<void()> callback) {
  const Duration sending = shared_.limited.send(bytes, time_source_.monotonic_now());
  if (sending <= Duration(0)) {
    callback();
    return;
  }
  call_after(dispatcher_, sending, lifetime_.guard(std::move(callback)));
}

template <typename Value>
void MemoryWatchedStore::time_out(Callback<Value> callback, std::function<Expected<Value>()> answer,
                                  ErrorKind no_response_kind, Duration queued) {
  call_after(dispatcher_, queued, lifetime_.guard([answer = std::move(answer)] { answer(); }));
  call_after(dispatcher_, kTimeout,
             lifetime_.guard([no_response_kind, callback = std::move(callback)] {
               callback(tl::unexpected(maybe_run(
                   no_response_kind, "the store did not respond in time", "send the call again")));
             }));
}

template <typename Value>
void MemoryWatchedStore::answer_later(Callback<Value> callback,
                                      std::function<Expected<Value>()> answer,
                                      ErrorKind no_response_kind) {
  ++shared_.calls;
  const bool silent = partitioned_ || shared_.trouble.silent;
  const Duration delay = delay_ + (silent ? Duration(0) : queueing_delay());
  if (delay > kTimeout) {
    time_out<Value>(std::move(callback), std::move(answer), no_response_kind, delay);
    return;
  }
  call_after(dispatcher_, silent ? kTimeout : delay,
             lifetime_.guard([this, silent, no_response_kind, callback = std::move(callback),
                              answer = std::move(answer)] {
               if (silent) {
                 callback(tl::unexpected(maybe_run(no_response_kind, "the store does not respond",
                                                   "send the call again")));
               } else if (shared_.trouble.down) {
                 callback(tl::unexpected(unavailable()));
               } else {
                 callback(answer());
               }
             }));
}

void MemoryWatchedStore::read_range(RangeRead range, Callback<RangePage> callback) {
  if (!partitioned_ &&
      !shared_.limited.admit_read("read_range " + range.table, time_source_.monotonic_now())) {
    refuse(std::move(callback));
    return;
  }
  callback = [this, callback = std::move(callback)](const Expected<RangePage>& page) {
    send(page ? bytes_of(page->rows) : 0, [callback, page] { callback(page); });
  };
  answer_later<RangePage>(
      std::move(callback),
      [this, range = std::move(range)]() -> Expected<RangePage> {
        const StoreVersion as_of = shared_.trouble.read_as_of;
        RangePage page = shared_.rows.read(range, as_of == 0 ? shared_.rows.version() : as_of);
        page.stamp.steady_clock = stamp().steady_clock;
        return page;
      },
      ErrorKind::kStoreUnavailable);
}

void MemoryWatchedStore::read_changes(std::string table, StoreVersion since, Duration wait,
                                      Callback<TableChanges> callback) {
  if (!partitioned_ &&
      !shared_.limited.admit_read("read_changes " + table, time_source_.monotonic_now())) {
    refuse(std::move(callback));
    return;
  }
  ++shared_.calls;
  auto follower =
      std::make_shared<Follower>(Follower{std::move(table), since, std::move(callback)});
  const Duration queueing = partitioned_ ? Duration(0) : queueing_delay();
  if (queueing == Duration(0)) {
    hold(follower, wait);
  } else {
    call_after(dispatcher_, queueing,
               lifetime_.guard([this, follower, wait] { hold(follower, wait); }));
  }
  if (shared_.queue.bounded()) {
    time_out_after(follower, wait + kFollowSlack);
  }
}

void MemoryWatchedStore::hold(const FollowerPtr& follower, Duration wait) {
  followers_.push_back(follower);
  call_after(dispatcher_, delay_, lifetime_.guard([this] { wake(); }));
  call_after(dispatcher_, wait, lifetime_.guard([this, follower] {
    if (!follower->answered) {
      answer(follower);
    }
  }));
}

void MemoryWatchedStore::time_out_after(const FollowerPtr& follower, Duration wait) {
  call_after(dispatcher_, wait, lifetime_.guard([this, follower] {
    if (std::exchange(follower->timed_out, true)) {
      return;
    }
    std::erase(followers_, follower);
    follower->callback(tl::unexpected(unavailable()));
  }));
}

void MemoryWatchedStore::wake() {
  if (partitioned_ || shared_.trouble.hold_changes || shared_.trouble.down ||
      shared_.trouble.silent) {
    return;
  }
  const std::vector<FollowerPtr> followers = followers_;
  for (const FollowerPtr& follower : followers) {
    if (!follower->answered && shared_.rows.has_changes(follower->table, follower->since)) {
      answer(follower);
    }
  }
}

void MemoryWatchedStore::answer(const FollowerPtr& follower) {
  follower->answered = true;
  std::erase(followers_, follower);
  call_after(dispatcher_, delay_ + queueing_delay(), lifetime_.guard([this, follower] {
    if (std::exchange(follower->timed_out, true)) {
      return;
    }
    if (partitioned_ || shared_.trouble.silent || shared_.trouble.down) {
      follower->callback(tl::unexpected(unavailable()));
      return;
    }
    const auto rows = shared_.rows.changes(follower->table, follower->since);
    if (!rows) {
      follower->callback(tl::unexpected(rows.error()));
      return;
    }
    if (shared_.trouble.hold_changes) {
      follower->callback(TableChanges{{}, {follower->since, stamp().steady_clock}});
      return;
    }
    shared_.rows_followed[follower->table] += rows->size();
    send(bytes_of(*rows),
         [follower, changes = TableChanges{*rows, stamp()}] { follower->callback(changes); });
  }));
}

void MemoryWatchedStore::commit(StoreTransaction transaction, Callback<StoreCommit> callback) {
  const StoredRowKey& first = first_key_of(transaction);
  if (!partitioned_ &&
      !shared_.limited.admit_write("commit " + first.table, first.table + "/" + first.partition,
                                   time_source_.monotonic_now())) {
    refuse(std::move(callback));
    return;
  }
  if (transaction.own_connection) {
    ++shared_.own_connections[first.table];
  }
  const bool lost = shared_.trouble.lose_commits && !partitioned_;
  if (lost) {
    ++shared_.calls;
    call_after(dispatcher_, std::max(shared_.trouble.late_commits, delay_),
               [&shared = shared_, transaction = std::move(transaction)] {
                 shared.rows.commit(transaction);
                 shared.wake_followers();
               });
    call_after(dispatcher_, kTimeout, lifetime_.guard([callback = std::move(callback)] {
      callback(tl::unexpected(
          maybe_run(ErrorKind::kOutcomeUnknown, "the response was lost", "read back")));
    }));
    return;
  }
  answer_later<StoreCommit>(
      std::move(callback),
      [this, transaction = std::move(transaction)]() -> Expected<StoreCommit> {
        if (exceeds_limits(transaction)) {
          ++shared_.refused_transactions;
          return tl::unexpected(not_run(ErrorKind::kInvalidRequest,
                                        "the transaction exceeds the limit on entries or bytes",
                                        "split the transaction"));
        }
        StoreCommit result = shared_.rows.commit(transaction);
        result.stamp.steady_clock = stamp().steady_clock;
        if (result.committed) {
          shared_.wake_followers();
        }
        return result;
      },
      ErrorKind::kOutcomeUnknown);
}

void MemoryWatchedStore::put(std::string name, std::shared_ptr<const std::string> content,
                             Callback<std::monostate> callback) {
  if (!partitioned_ &&
      !shared_.limited.admit_write("object_put", "object/" + name, time_source_.monotonic_now())) {
    refuse(std::move(callback));
    return;
  }
  answer_later<std::monostate>(
      std::move(callback),
      [this, name = std::move(name), content = std::move(content)]() -> Expected<std::monostate> {
        shared_.objects[name] = content;
        return std::monostate{};
      },
      ErrorKind::kOutcomeUnknown);
}

void MemoryWatchedStore::get(std::string name,
                             Callback<std::shared_ptr<const std::string>> callback) {
  if (!partitioned_ && !shared_.limited.admit_read("object_get", time_source_.monotonic_now())) {
    refuse(std::move(callback));
    return;
  }
  answer_later<std::shared_ptr<const std::string>>(
      std::move(callback),
      [this, name = std::move(name)]() -> Expected<std::shared_ptr<const std::string>> {
        const auto found = shared_.objects.find(name);
        if (found == shared_.objects.end()) {
          return tl::unexpected(
              not_run(ErrorKind::kNotFound, "no object " + name, "check its name"));
        }
        return found->second;
      },
      ErrorKind::kStoreUnavailable);
}

void MemoryWatchedStore::remove(std::string name, Callback<std::monostate> callback) {
  answer_later<std::monostate>(
      std::move(callback),
      [this, name = std::move(name)]() -> Expected<std::monostate> {
        shared_.objects.erase(name);
        return std::monostate{};
      },
      ErrorKind::kOutcomeUnknown);
}

}  // namespace chalkshed
