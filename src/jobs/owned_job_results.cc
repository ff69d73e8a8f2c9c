// How an owned job writes to the store: checkpoints of its running items, and its results.
#include <algorithm>

#include "src/jobs/job_rows.h"
#include "src/jobs/owned_job.h"

namespace chalkshed {

void OwnedJob::checkpoint_later() {
  if (!ownership_lost_ && !checkpoint_timer_->enabled()) {
    checkpoint_timer_->enable(environment_.knobs.checkpoint_interval);
  }
}

void OwnedJob::checkpoint(std::function<void()> done) { checkpoint_from(0, std::move(done)); }

void OwnedJob::checkpoint_from(size_t first, std::function<void()> done) {
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(record_.id), version_});
  size_t bytes = 0;
  size_t next = first;
  for (; next < items_.size() &&
         transaction.writes.size() < environment_.knobs.max_checkpoints_per_commit;
       ++next) {
    Item& item = items_[next];
    const ItemProgress& progress = item.progress;
    const bool advanced = progress.last_event && progress.last_event != item.recorded_event;
    const size_t size = progress.text.size();
    if (item.phase == Phase::kEnded || !advanced || size > environment_.knobs.max_row_bytes) {
      continue;
    }
    if (bytes + size > environment_.knobs.max_bytes_per_commit) {
      break;
    }
    bytes += size;
    item.recorded_event = progress.last_event;
    item.origin = ProgressOrigin{static_cast<uint32_t>(next), progress.software,
                                 progress_text_hash(progress.text)};
    transaction.writes.push_back(
        {job_progress_key(record_.id, item.request.id), encode_item_progress(progress)});
  }
  if (ownership_lost_ || transaction.writes.empty()) {
    done();
    return;
  }
  add_origins(transaction);
  // A lost checkpoint does no harm: the next one contains more. One that is applied late is
  // rejected because of its epoch, or replaces a newer one, which only costs repeated work. A
  // rejection shows that the record has changed, often before the table's watchers see the change.
  const MonotonicTime sent = environment_.serving.time_source.monotonic_now();
  environment_.store.commit(std::move(transaction),
                            lifetime_.guard([this, next, sent, done = std::move(done)](
                                                const Expected<StoreCommit>& commit) {
                              if (commit && commit->committed) {
                                confirmed_ = std::max(confirmed_, sent);
                              } else if (commit && !ownership_lost_) {
                                handle_refused_checkpoint(*commit);
                              }
                              if (commit && next < items_.size()) {
                                checkpoint_from(next, done);
                              } else {
                                done();
                              }
                            }));
}

void OwnedJob::add_origins(StoreTransaction& transaction) {
  std::vector<ProgressOrigin> origins;
  for (const Item& item : items_) {
    if (item.request.id.empty()) {
      return;  // its progress has the key of this row
    }
    if (item.phase != Phase::kEnded && item.origin &&
        item.origin->software != software_id::kUnknown) {
      origins.push_back(*item.origin);
    }
  }
  origins_recorded_ = true;
  transaction.writes.push_back(
      {progress_origins_key(record_.id), encode_progress_origins(origins)});
}

void OwnedJob::commit_later() {
  if (committing_.empty() && !commit_timer_->enabled()) {
    commit_timer_->enable(environment_.knobs.commit_delay);
  }
}

void OwnedJob::commit() {
  if (ownership_lost_ || (committing_.empty() && pending_.empty())) {
    return;
  }
  if (committing_.empty()) {
    size_t bytes = 0;
    size_t count = 0;
    while (count < pending_.size() && count < environment_.knobs.max_results_per_commit &&
           (count == 0 ||
            bytes + pending_[count].text.size() <= environment_.knobs.max_bytes_per_commit)) {
      bytes += std::min(pending_[count++].text.size(), environment_.knobs.max_row_bytes);
    }
    const auto end = pending_.begin() + static_cast<ptrdiff_t>(count);
    committing_.assign(std::make_move_iterator(pending_.begin()), std::make_move_iterator(end));
    pending_.erase(pending_.begin(), end);
    commit_finishes_ = first_held_ + held_.size() + committing_.size() == items_.size();
  }
  put_large_results(0, [this] { send_commit(); });
}

void OwnedJob::put_large_results(size_t index, std::function<void()> then) {
  while (index < committing_.size() &&
         committing_[index].text.size() <= environment_.knobs.max_row_bytes) {
    ++index;
  }
  if (index == committing_.size()) {
    then();
    return;
  }
  const auto position = static_cast<uint32_t>(first_held_ + held_.size() + index);
  environment_.objects.put(
      result_object_name(record_, position),
      std::make_shared<const std::string>(committing_[index].text),
      lifetime_.guard([this, index, then = std::move(then)](const Expected<std::monostate>& put) {
        if (!put) {
          commit_timer_->enable(environment_.knobs.store_retry_delay);
          return;
        }
        put_large_results(index + 1, then);
      }));
}

void OwnedJob::send_commit() {
  if (ownership_lost_) {
    return;
  }
  StoreTransaction transaction;
  auto position = static_cast<uint32_t>(first_held_ + held_.size());
  transaction.conditions.push_back({stored_job_key(record_.id), version_});
  transaction.conditions.push_back({job_result_key(record_.id, position), 0});
  for (const JobResult& result : committing_) {
    JobResult stored = result;
    if (result.text.size() > environment_.knobs.max_row_bytes) {
      stored.in_object = true;
      stored.text = result_object_name(record_, position);
    }
    transaction.writes.push_back(
        {job_result_key(record_.id, position++), encode_job_result(stored)});
  }
  for (const Item& item : items_) {
    const bool ends =
        std::any_of(committing_.begin(), committing_.end(),
                    [&](const JobResult& result) { return result.item == item.request.id; });
    if (ends && item.recorded_event) {
      transaction.writes.push_back({job_progress_key(record_.id, item.request.id), std::nullopt});
    }
  }
  first_committing_value_ = transaction.writes.front().value.value_or("");
  if (commit_finishes_) {
    StoredJob finished = record_;
    finished.finished = true;
    transaction.writes.push_back({stored_job_key(record_.id), encode_job_record(finished)});
    if (origins_recorded_) {
      transaction.writes.push_back({progress_origins_key(record_.id), std::nullopt});
    }
  }
  const MonotonicTime sent = environment_.serving.time_source.monotonic_now();
  environment_.store.commit(std::move(transaction),
                            lifetime_.guard([this, sent](const Expected<StoreCommit>& commit) {
                              if (commit && commit->committed) {
                                confirmed_ = std::max(confirmed_, sent);
                              }
                              handle_commit(commit);
                            }));
}

void OwnedJob::handle_commit(const Expected<StoreCommit>& commit) {
  if (ownership_lost_) {
    return;
  }
  if (!commit) {
    // Sending the same transaction again shows whether it was applied: its conditions fail if so.
    environment_.serving.logger.write(
        LogLevel::kInfo, "results_not_committed",
        {{"job", caller_job_id(record_.id)}, {"reason", commit.error().message}});
    commit_timer_->enable(std::max(environment_.knobs.store_retry_delay,
                                   commit.error().retry_after.value_or(Duration(0))));
    return;
  }
  if (commit->committed) {
    accept_commit(commit->stamp.version);
    return;
  }
  handle_conflict(*commit);
}

// @return the row of that table among those that a rejected transaction returns, or null.
const StoredRow* OwnedJob::row_of(const StoreCommit& refused, const char* table) {
  const auto found = std::find_if(refused.current.begin(), refused.current.end(),
                                  [table](const StoredRow& row) { return row.key.table == table; });
  return found == refused.current.end() ? nullptr : &*found;
}

OwnedJob::Ownership OwnedJob::ownership_from(const StoredRow* record) const {
  if (record == nullptr || record->version == version_) {
    return Ownership::kOwned;
  }
  if (record->version == 0) {
    return Ownership::kGone;
  }
  const Expected<StoredJob> now = decode_job_record(record_.id, record->value);
  if (!now || now->owner != record_.owner || now->epoch != record_.epoch) {
    return Ownership::kSuperseded;
  }
  return now->ended      ? Ownership::kEnded
         : now->finished ? Ownership::kFinished
                         : Ownership::kSuperseded;  // no other writer keeps owner and epoch
}

const char* OwnedJob::name_of(Ownership ownership) {
  switch (ownership) {
    case Ownership::kEnded:
      return "ended by its caller";
    case Ownership::kGone:
      return "its record was removed";
    case Ownership::kOwned:
    case Ownership::kFinished:
    case Ownership::kSuperseded:
      break;
  }
  return "superseded by another owner";
}

void OwnedJob::handle_refused_checkpoint(const StoreCommit& refused) {
  const Ownership ownership = ownership_from(row_of(refused, kStoredJobTable));
  // kFinished: a commit of this ownership finished the job, and its answer is still pending.
  if (ownership != Ownership::kOwned && ownership != Ownership::kFinished) {
    lose_ownership(ownership);
  }
}

void OwnedJob::handle_conflict(const StoreCommit& commit) {
  const StoredRow* record = row_of(commit, kStoredJobTable);
  const StoredRow* result = row_of(commit, kStoredResultTable);
  // Only a result with exactly the bytes of this transaction proves that an earlier attempt was
  // applied.
  const bool applied =
      result != nullptr && result->version > 0 && result->value == first_committing_value_;
  const Ownership ownership = ownership_from(record);
  if (applied && record != nullptr && ownership == Ownership::kOwned) {
    accept_commit(result->version);
    return;
  }
  if (applied && ownership == Ownership::kFinished && commit_finishes_) {
    accept_commit(record->version);
    return;
  }
  lose_ownership(ownership);
}

void OwnedJob::accept_commit(StoreVersion version) {
  for (JobResult& result : committing_) {
    for (Item& item : items_) {
      item.listed = item.listed || item.request.id == result.item;
    }
    held_.push_back(std::move(result));
  }
  environment_.serving.logger.write(LogLevel::kInfo, "results_committed",
                                    {{"job", caller_job_id(record_.id)},
                                     {"results", std::to_string(committing_.size())},
                                     {"listed", std::to_string(first_held_ + held_.size())},
                                     {"items", std::to_string(items_.size())},
                                     {"store_version", std::to_string(version)}});
  committing_.clear();
  if (commit_finishes_) {
    record_.finished = true;
    version_ = version;
  }
  const std::vector<std::function<void()>> callbacks = std::exchange(on_commit_, {});
  for (const std::function<void()>& callback : callbacks) {
    callback();
  }
  if (!pending_.empty()) {
    commit_later();
  }
}

}  // namespace chalkshed
