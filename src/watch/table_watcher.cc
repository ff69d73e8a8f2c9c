#include "src/watch/table_watcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chalkshed {

TableWatcher::TableWatcher(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store,
                           Logger& logger, std::string table, std::vector<std::string> partitions,
                           TableObserver& observer, const TableWatcherKnobs& knobs)
    : time_source_(time_source),
      store_(store),
      logger_(logger),
      table_(std::move(table)),
      partitions_(std::move(partitions)),
      observer_(observer),
      knobs_(knobs),
      pace_(knobs.pace),
      retry_timer_(dispatcher.create_timer([this] {
        const std::function<void()> action = std::move(retry_action_);
        action();
      })),
      hint_timer_(dispatcher.create_timer([this] { check_hint(); })) {}

void TableWatcher::start() {
  on_large_ = nullptr;
  list();
}

void TableWatcher::start_unless_large(std::function<void()> on_large) {
  on_large_ = std::move(on_large);
  list();
}

void TableWatcher::list() {
  may_have_missed_ = true;
  listing_.clear();
  partition_versions_.clear();
  list_version_ = 0;
  list_asked_ = time_source_.monotonic_now();
  list_partition(0, "");
}

void TableWatcher::list_partition(size_t index, const std::string& from) {
  if (index == partitions_.size()) {
    finish_list();
    return;
  }
  RangeRead range;
  range.table = table_;
  range.partition = partitions_[index];
  range.first_key = from;
  // One call still lists a table with the workers of about a hundred nodes. For a larger table this
  // first page costs a thousand nodes 60 MB.
  constexpr uint32_t kRowsOfSmallTable = 250;
  range.limit = on_large_ ? kRowsOfSmallTable : range.limit;
  store_.read_range(std::move(range),
                    lifetime_.guard([this, index, from](const Expected<RangePage>& page) {
                      if (!page) {
                        // Resumes at this page: if it restarted each time, a list of 50 pages might
                        // never end at a store that refuses one call in ten.
                        retry(page.error(), [this, index, from] { list_partition(index, from); });
                        return;
                      }
                      handle_page(index, *page);
                    }));
}

void TableWatcher::handle_page(size_t index, const RangePage& page) {
  note_answer();
  for (const StoredRow& row : page.rows) {
    listing_[row.key] = row.version;
    notify(row);
  }
  if (page.more && on_large_) {
    std::exchange(on_large_, nullptr)();
    return;
  }
  const std::string& partition = partitions_[index];
  const auto [entry, is_new] = partition_versions_.try_emplace(partition, page.stamp.version);
  entry->second = std::min(entry->second, page.stamp.version);
  if (page.more && page.rows.size() > 1) {
    // The last row is returned again as the first of the next page.
    list_partition(index, page.rows.back().key.key);
    return;
  }
  list_partition(index + 1, "");
}

void TableWatcher::finish_list() {
  StoreVersion version = 0;
  for (const auto& [partition, partition_version] : partition_versions_) {
    version = version == 0 ? partition_version : std::min(version, partition_version);
  }
  // Known rows that are not in the list were removed, unless they are newer than the list.
  std::vector<StoredRow> absent;
  for (const auto& [key, known] : known_) {
    const auto listed_at = partition_versions_.find(key.partition);
    if (!known.removed && !listing_.contains(key) && listed_at != partition_versions_.end() &&
        known.version <= listed_at->second) {
      absent.push_back({key, "", listed_at->second, true});
    }
  }
  for (const StoredRow& row : absent) {
    notify(row);
  }
  if (listed_) {
    observer_.on_unseen_rows();  // since the history that was lost
  }
  on_large_ = nullptr;
  const bool stale = version < followed_;
  if (!stale) {
    note_as_of(list_asked_);
  }
  followed_ = version;
  complete_since_ = version;
  listing_.clear();
  if (!std::exchange(listed_, true) || stale || !absent.empty()) {
    logger_.write(LogLevel::kInfo, "table_listed",
                  {{"table", table_},
                   {"version", std::to_string(version)},
                   {"rows", std::to_string(known_.size())},
                   {"gone", std::to_string(absent.size())},
                   {"older_than_known", stale ? "yes" : "no"}});
  }
  observer_.on_listed();
  follow();
}

void TableWatcher::follow() {
  const uint64_t call = ++follow_calls_;
  following_ = true;
  batching_ = false;
  follow_asked_ = time_source_.monotonic_now();
  follow_wait_ = pace_.from_peers ? Duration(0) : pace_.max_wait;
  store_.read_changes(table_, followed_, follow_wait_,
                      lifetime_.guard([this, call](const Expected<TableChanges>& changes) {
                        if (call == follow_calls_) {
                          handle_changes(changes);
                        }
                      }));
}

void TableWatcher::follow_later(bool changed) {
  if (pace_.batch_delay <= Duration(0) || (!changed && !pace_.from_peers)) {
    follow();
    return;
  }
  batching_ = true;
  retry_action_ = [this] { follow(); };
  retry_timer_->enable(pace_.batch_delay);
}

void TableWatcher::poll_now() {
  // Minimum interval between two requests; the store answers within about 10 ms. It grows with the
  // table: all nodes of a fleet poll the table of nodes while many of them are being announced, and
  // together they would take most of the store's read rate.
  constexpr Duration kMinBatchDelay = std::chrono::milliseconds(100);
  constexpr Duration kDelayPerRow = std::chrono::milliseconds(1);
  const Duration least =
      std::max(kMinBatchDelay, kDelayPerRow * static_cast<int64_t>(known_.size()));
  if (batching_ && time_source_.monotonic_now() - last_heard_ >= least) {
    retry_timer_->disable();
    follow();
  }
}

void TableWatcher::set_pace(const WatchPace& pace) {
  const bool was_from_peers = std::exchange(pace_, pace).from_peers;
  if (batching_ && was_from_peers && !pace.from_peers) {
    retry_timer_->disable();
    follow();
  }
}

void TableWatcher::refresh() {
  if (following_) {
    may_have_missed_ = true;  // the answer to the earlier call is ignored
    follow();
  }
}

void TableWatcher::note_newer(StoreVersion version) {
  newest_hint_ = std::max(newest_hint_, version);
  if (newest_hint_ > newest_row_ && !hint_timer_->enabled()) {
    hint_timer_->enable(hint_delay());
  }
}

Duration TableWatcher::hint_delay() const {
  return pace_.from_peers ? knobs_.peer_batch_delay : knobs_.hint_timeout;
}

void TableWatcher::check_hint() {
  const bool batching = !following_ && failures_ == 0;
  if (!behind() || (batching && !pace_.from_peers)) {
    return;
  }
  hint_timer_->enable(hint_delay());
  if (pace_.from_peers && failures_ == 0) {
    if (on_missed_) {
      on_missed_(newest_hint_);
    }
    return;  // the store is polled at its regular interval
  }
  // The first time, possibly only the answer was lost.
  if ((failures_ > 0 || ++misses_ > 1) && on_missed_) {
    on_missed_(newest_hint_);
  }
  if (!following_) {
    return;  // the store has just refused; a retry is scheduled
  }
  logger_.write(LogLevel::kInfo, "change_missed",
                {{"table", table_},
                 {"known", std::to_string(newest_row_)},
                 {"peers_know", std::to_string(newest_hint_)}});
  may_have_missed_ = true;
  follow();
}

void TableWatcher::handle_changes(const Expected<TableChanges>& changes) {
  following_ = false;
  if (!changes && changes.error().kind == ErrorKind::kNotFound) {
    note_answer();
    logger_.write(LogLevel::kWarning, "table_history_lost",
                  {{"table", table_}, {"version", std::to_string(followed_)}});
    list();
    return;
  }
  if (!changes) {
    retry(changes.error(), [this] { follow(); });
    return;
  }
  note_answer();
  apply_changes(*changes, follow_asked_);
  if (changes->rows.empty()) {
    unchanged_until_ =
        std::max(unchanged_until_, std::min(last_heard_, follow_asked_ + follow_wait_));
  }
  may_have_missed_ = false;
  follow_later(!changes->rows.empty());
}

// The answer of the pending poll, which may have the version before, comes later or never.
void TableWatcher::apply(const TableChanges& changes, MonotonicTime asked) {
  if (listed_) {
    const bool missed_before = std::exchange(may_have_missed_, true);
    apply_changes(changes, asked);
    may_have_missed_ = missed_before;
  }
}

void TableWatcher::apply_changes(const TableChanges& changes, MonotonicTime asked) {
  last_heard_ = time_source_.monotonic_now();
  note_as_of(asked);
  for (const StoredRow& row : changes.rows) {
    notify(row);
  }
  followed_ = std::max(followed_, changes.stamp.version);
}

void TableWatcher::note_as_of(MonotonicTime time) {
  as_of_ = std::max(as_of_, time);
  unchanged_until_ = std::max(unchanged_until_, time);
}

void TableWatcher::index(const std::pair<const StoredRowKey, Known>& entry, StoreVersion before,
                         StoreVersion now) {
  const auto [first, last] = by_version_.equal_range(before);
  const auto old =
      std::find_if(first, last, [&](const auto& indexed) { return indexed.second == &entry; });
  if (old != last) {
    by_version_.erase(old);
  }
  by_version_.emplace(now, &entry);
}

void TableWatcher::notify(const StoredRow& row) {
  newest_row_ = std::max(newest_row_, row.version);
  auto& entry = *known_.try_emplace(row.key).first;
  Known& known = entry.second;
  if (row.version <= known.version) {
    return;
  }
  const bool unseen = row.removed && known.version == 0;
  const bool nothing_new = row.removed && (known.removed || unseen);
  if (knobs_.keep_values) {
    index(entry, known.version, row.version);
  }
  known = {row.version, row.removed, knobs_.keep_values ? row.value : std::string()};
  if (unseen) {
    observer_.on_unseen_rows();
  } else if (!nothing_new) {
    observer_.on_row(row);
  }
}

size_t TableWatcher::page_rows(StoreVersion since) const {
  if (!listed_) {
    return 0;
  }
  return since < complete_since_ ? by_version_.size()
                                 : static_cast<size_t>(std::distance(by_version_.upper_bound(since),
                                                                     by_version_.end()));
}

std::optional<table_page> TableWatcher::page_after(StoreVersion since) const {
  if (!listed_) {
    return std::nullopt;
  }
  table_page page;
  page.since = since;
  page.through = followed_;
  page.age = age();
  page.whole = since < complete_since_;
  const auto first = page.whole ? by_version_.begin() : by_version_.upper_bound(since);
  for (auto entry = first; entry != by_version_.end(); ++entry) {
    const auto& [key, known] = *entry->second;
    if (!known.removed || !page.whole) {
      page.rows.push_back({key, known.value, known.version, known.removed});
    }
  }
  return page;
}

void TableWatcher::learn(const StoredRow& row) {
  may_have_missed_ = true;
  notify(row);
}

void TableWatcher::learn(const table_page& page, MonotonicTime asked) {
  may_have_missed_ = true;
  for (const StoredRow& row : page.rows) {
    notify(row);
  }
  if (page.whole) {
    std::set<StoredRowKey> present;
    for (const StoredRow& row : page.rows) {
      present.insert(row.key);
    }
    remove_absent([&](const StoredRowKey& key) { return present.contains(key); }, page.through);
  }
  const bool continues = page.whole || (listed_ && page.since <= followed_);
  if (!continues || page.through <= followed_) {
    return;
  }
  followed_ = page.through;
  complete_since_ = page.whole ? page.through : complete_since_;
  note_as_of(asked - page.age);
  if (!std::exchange(listed_, true)) {
    on_large_ = nullptr;
    retry_timer_->disable();  // it may be set for a list that the store refused
    logger_.write(LogLevel::kInfo, "table_copied",
                  {{"table", table_},
                   {"version", std::to_string(followed_)},
                   {"rows", std::to_string(page.rows.size())}});
    observer_.on_listed();
    follow();
  }
}

// Marks known rows that are not present as removed, unless they are newer than that version.
void TableWatcher::remove_absent(const std::function<bool(const StoredRowKey&)>& present,
                                 StoreVersion version) {
  std::vector<StoredRow> absent;
  for (const auto& [key, known] : known_) {
    if (!known.removed && known.version <= version && !present(key)) {
      absent.push_back({key, "", version, true});
    }
  }
  for (const StoredRow& row : absent) {
    notify(row);
  }
}

void TableWatcher::note_answer() {
  last_heard_ = time_source_.monotonic_now();
  misses_ = 0;
  if (std::exchange(failures_, 0U) > 0) {
    logger_.write(LogLevel::kInfo, "store_regained", {{"table", table_}});
    if (on_regained_) {
      on_regained_();
    }
  }
}

void TableWatcher::retry(const Error& error, std::function<void()> action) {
  may_have_missed_ = true;
  if (failures_++ == 0) {
    logger_.write(LogLevel::kWarning, "store_lost", {{"table", table_}, {"reason", error.message}});
  }
  constexpr uint32_t kMaxDoublings = 8;
  const Duration delay = std::min(knobs_.first_retry * (1U << std::min(failures_, kMaxDoublings)),
                                  knobs_.longest_retry);
  retry_action_ = std::move(action);
  const Duration pause = std::max(delay, error.retry_after.value_or(Duration(0)));
  const double spread = knobs_.random == nullptr ? 0.0 : knobs_.random->unit();
  retry_timer_->enable(pause + std::chrono::duration_cast<Duration>(pause * spread));
}

}  // namespace chalkshed
