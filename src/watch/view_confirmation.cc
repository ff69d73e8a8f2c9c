#include "chalkshed/view_confirmation.h"

#include <algorithm>
#include <utility>

#include "src/core/call_after.h"

namespace chalkshed {

view_confirmation::view_confirmation(TimeSource& time_source, Dispatcher& dispatcher,
                                     WatchedStore& store, std::vector<TableWatcher*> tables,
                                     const view_confirmation_knobs& knobs)
    : time_source_(time_source),
      dispatcher_(dispatcher),
      store_(store),
      tables_(std::move(tables)),
      knobs_(knobs),
      nodes_([] { return size_t{1}; }) {}

void view_confirmation::confirm(on_confirmed done) {
  const uint64_t id = next_id_++;
  next_.emplace(id, std::move(done));
  call_after(dispatcher_, knobs_.patience, lifetime_.guard([this, id] { give_up(id); }));
  if (!under_way_) {
    begin_soon();
  }
}

void view_confirmation::give_up(uint64_t id) {
  for (waiting* asked : {&reading_, &next_}) {
    auto found = asked->extract(id);
    if (!found.empty()) {
      found.mapped()(false);
      return;
    }
  }
}

void view_confirmation::begin_soon() {
  if (std::exchange(begins_soon_, true)) {
    return;
  }
  const Duration interval = knobs_.interval_per_node * static_cast<int64_t>(nodes_());
  const Duration delay = begun_ + interval - time_source_.monotonic_now();
  call_after(dispatcher_, std::max(delay, Duration(0)), lifetime_.guard([this] { begin(); }));
}

void view_confirmation::begin() {
  begins_soon_ = false;
  reading_ = std::exchange(next_, {});
  if (reading_.empty()) {
    return;
  }
  under_way_ = true;
  tries_ = 0;
  read();
}

void view_confirmation::read() {
  begun_ = time_source_.monotonic_now();
  unanswered_ = tables_.size();
  failed_ = false;
  for (TableWatcher* table : tables_) {
    store_.read_changes_anew(
        table->name(), table->known_through(),
        lifetime_.guard([this, table, asked = begun_](const Expected<TableChanges>& changes) {
          note_answer(*table, asked, changes);
        }));
  }
}

void view_confirmation::note_answer(TableWatcher& table, MonotonicTime asked,
                                    const Expected<TableChanges>& changes) {
  if (changes) {
    table.apply(*changes, asked);
  }
  failed_ = failed_ || !changes || !table.listed();
  if (--unanswered_ > 0) {
    return;
  }
  if (!failed_ || reading_.empty() || tries_ == knobs_.retries) {
    end(!failed_);
    return;
  }
  ++tries_;
  call_after(dispatcher_, knobs_.retry_after, lifetime_.guard([this] { read(); }));
}

void view_confirmation::end(bool confirmed) {
  under_way_ = false;
  const waiting ended = std::exchange(reading_, {});
  for (const auto& [id, done] : ended) {
    done(confirmed);
  }
  if (!next_.empty()) {
    begin_soon();
  }
}

}  // namespace chalkshed
