#include "chalkshed/failure_recorder.h"

#include <algorithm>
#include <charconv>

#include "src/core/call_after.h"

namespace chalkshed {
namespace {

constexpr std::string_view kFailedPrefix = "failed ";
constexpr std::string_view kImpossiblePrefix = "impossible ";

std::string_view prefix_of(run_failure failure) {
    return failure == run_failure::kFailed ? kFailedPrefix : kImpossiblePrefix;
}

void parse_line(std::string_view line, item_failures &failures) {
    for (const run_failure failure : {run_failure::kFailed, run_failure::kImpossible}) {
        const std::string_view prefix = prefix_of(failure);
        if (!line.starts_with(prefix)) {
            continue;
        }
        uint64_t run = 0;
        const char *end = line.data() + line.size();
        const auto parsed = std::from_chars(line.data() + prefix.size(), end, run);
        if (parsed.ec == std::errc() && parsed.ptr == end) {
            failures.runs[run] = failure;
        }
    }
}

} // namespace

uint32_t item_failures::failed() const {
    return static_cast<uint32_t>(runs.size());
}

bool item_failures::impossible() const {
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto &run) { return run.second == run_failure::kImpossible; });
}

std::string encode_item_failures(const item_failures &failures) {
    std::string value;
    for (const auto &[run, failure] : failures.runs) {
        value.append(prefix_of(failure)).append(std::to_string(run)).append("\n");
    }
    return value;
}

item_failures decode_item_failures(std::string_view value, StoreVersion version) {
    item_failures failures;
    failures.version = version;
    while (!value.empty()) {
        const size_t end = value.find('\n');
        parse_line(value.substr(0, end), failures);
        value.remove_prefix(end == std::string_view::npos ? value.size() : end + 1);
    }
    return failures;
}

failure_recorder::failure_recorder(WatchedStore &store, Dispatcher &dispatcher, Logger &logger,
                                   Duration retry_after)
    : store_(store), dispatcher_(dispatcher), logger_(logger), retry_after_(retry_after) {}

void failure_recorder::record(const StoredRowKey &row, uint64_t run, run_failure failure,
                              const item_failures &known, on_recorded done) {
    write({row, run, failure, std::move(done)}, known);
}

void failure_recorder::write(const entry &added, const item_failures &known) {
    item_failures written = known;
    written.runs[added.run] = added.failure;
    StoreTransaction transaction;
    transaction.conditions.push_back({added.row, known.version});
    transaction.writes.push_back({added.row, encode_item_failures(written)});
    store_.commit(std::move(transaction),
                  lifetime_.guard([this, added, written](const Expected<StoreCommit> &commit) {
                      handle_commit(added, written, commit);
                  }));
}

void failure_recorder::retry_write(const entry &added, const item_failures &known,
                                   const std::string &reason, Duration delay) {
    logger_.write(LogLevel::kInfo, "failed_run_not_recorded",
                  {{"item", added.row.key}, {"reason", reason}});
    call_after(dispatcher_, std::max(retry_after_, delay),
               lifetime_.guard([this, added, known] { write(added, known); }));
}

void failure_recorder::handle_commit(const entry &added, const item_failures &written,
                                     const Expected<StoreCommit> &commit) {
    item_failures before = written;
    before.runs.erase(added.run);
    if (!commit) {
        // The answer to the next write shows whether this one was applied.
        retry_write(added, before, commit.error().message,
                    commit.error().retry_after.value_or(Duration(0)));
        return;
    }
    if (commit->committed) {
        item_failures now = written;
        now.version = commit->stamp.version;
        added.done(now);
        return;
    }
    if (commit->current.empty()) {
        retry_write(added, before, "the store did not return the current row", Duration(0));
        return;
    }
    const StoredRow &current = commit->current.front();
    const item_failures now = decode_item_failures(current.value, current.version);
    if (now.runs.contains(added.run)) {
        added.done(now); // an earlier attempt at this write was applied
        return;
    }
    write(added, now);
}

} // namespace chalkshed
