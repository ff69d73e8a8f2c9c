#include "chalkshed/quarantine_rows.h"

#include <algorithm>
#include <optional>

#include "chalkshed/request_digest.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

constexpr int kHexadecimal = 16;
constexpr size_t kSuspectCrashes = 2;
constexpr size_t kPartCrashes = 3;
constexpr size_t kMaxRowRuns = 16;
constexpr std::string_view kSuspectPrefix = "suspect-";
constexpr std::string_view kPartPrefix = "part-";

/** Removes and returns the text up to the next space. */
std::string_view take_word(std::string_view &line) {
    const size_t space = line.find(' ');
    const std::string_view word = line.substr(0, space);
    line.remove_prefix(space == std::string_view::npos ? line.size() : space + 1);
    return word;
}

// "WORKER MILLISECONDS", and for parts " SOFTWARE": the hash of the worker's incarnation, the time
// at which its run was lost, and its software.
std::optional<broken_run> parse_line(const quarantine_row_key &key, std::string_view line,
                                     Duration offset) {
    const auto worker = parse_number<uint32_t>(take_word(line));
    const auto time = parse_number<int64_t>(take_word(line));
    // Sums of later times would overflow.
    constexpr int64_t kLatestTime = INT64_MAX / 1'000'000;
    if (!worker || !time || *time < 0 || *time > kLatestTime) {
        return std::nullopt;
    }
    broken_run run{key.digest, *worker, MonotonicTime(std::chrono::milliseconds(*time) - offset)};
    if (key.part) {
        run.suspect = crash_suspect::kPart;
        run.software = parse_software(line);
    }
    return run;
}

MonotonicTime oldest_of(const std::vector<broken_run> &runs) {
    const auto oldest =
        std::min_element(runs.begin(), runs.end(),
                         [](const broken_run &a, const broken_run &b) { return a.at < b.at; });
    return oldest == runs.end() ? MonotonicTime{} : oldest->at;
}

MonotonicTime newest_of(const std::vector<broken_run> &runs) {
    MonotonicTime newest{};
    for (const broken_run &run : runs) {
        newest = std::max(newest, run.at);
    }
    return newest;
}

} // namespace

std::string to_text(const quarantine_row_key &key) {
    return std::string(key.part ? kPartPrefix : "") +
           std::string(key.suspect ? kSuspectPrefix : "") + digest_text(key.digest);
}

std::optional<quarantine_row_key> parse_quarantine_row_key(std::string_view text) {
    const bool part = text.starts_with(kPartPrefix);
    const std::string_view rest = text.substr(part ? kPartPrefix.size() : 0);
    const bool suspect = rest.starts_with(kSuspectPrefix);
    const auto digest =
        parse_number<uint64_t>(rest.substr(suspect ? kSuspectPrefix.size() : 0), kHexadecimal);
    if (!digest || to_text({*digest, suspect, part}) != text) {
        return std::nullopt;
    }
    return quarantine_row_key{*digest, suspect, part};
}

std::string encode_quarantine(const std::vector<broken_run> &runs, Duration offset) {
    std::string value;
    for (const broken_run &run : runs) {
        const Duration at = run.at.time_since_epoch() + offset;
        value.append(std::to_string(run.worker))
            .append(" ")
            .append(std::to_string(at / std::chrono::milliseconds(1)));
        if (run.suspect == crash_suspect::kPart) {
            value.append(" ").append(software_text(run.software));
        }
        value.append("\n");
    }
    return value;
}

decoded_quarantine decode_quarantine(const quarantine_row_key &key, std::string_view value,
                                     Duration offset) {
    decoded_quarantine decoded;
    while (!value.empty()) {
        const size_t end = value.find('\n');
        if (const auto run = parse_line(key, value.substr(0, end), offset)) {
            decoded.runs.push_back(*run);
        } else {
            ++decoded.malformed_lines;
        }
        value.remove_prefix(end == std::string_view::npos ? value.size() : end + 1);
    }
    return decoded;
}

quarantine_rows::quarantine_rows(TimeSource &time_source, WatchedStore &store,
                                 const StoreClock &clock, RandomGenerator &random, Logger &logger,
                                 MetricsRegistry &metrics, request_quarantine &quarantine,
                                 const quarantine_rows_knobs &knobs)
    : time_source_(time_source), store_(store), clock_(clock), random_(random), logger_(logger),
      metrics_(metrics), quarantine_(quarantine), knobs_(knobs) {
    quarantine_.set_on_reviewed([this] { reconcile(); });
}

Duration quarantine_rows::clock_offset() const {
    return clock_.now() - time_source_.monotonic_now().time_since_epoch();
}

void quarantine_rows::on_row(const StoredRow &row) {
    const std::optional<quarantine_row_key> key = parse_quarantine_row_key(row.key.key);
    if (!key) {
        note_rejected(row, "its key is not a content digest");
        return;
    }
    known_row &known = rows_[*key];
    if (row.version != 0 && row.version < known.version) {
        return; // a rejected write has already returned a newer version
    }
    known.write_at = {};
    if (row.removed) {
        known.version = 0;
        quarantine_.release(key->digest, newest_of(known.runs));
        known.runs.clear();
        return;
    }
    known.version = row.version;
    decoded_quarantine decoded = decode_quarantine(*key, row.value, clock_offset());
    if (decoded.malformed_lines > 0) {
        note_rejected(row, "a line is not 'WORKER MILLISECONDS'; the others count");
    }
    known.runs = std::move(decoded.runs);
    for (broken_run &run : known.runs) {
        // A time in the future would never expire.
        run.at = std::min(run.at, time_source_.monotonic_now());
        quarantine_.learn_broken(run);
    }
}

void quarantine_rows::note_rejected(const StoredRow &row, const char *reason) {
    metrics_
        .counter("chalkshed_quarantine_rows_rejected_total",
                 "Changes of rows of the table 'quarantine' that cannot be read whole.", {})
        .add(1);
    if (const auto rows = rejected_.admit(time_source_.monotonic_now())) {
        logger_.write(LogLevel::kWarning, "quarantine_row_rejected",
                      {{"store_version", std::to_string(row.version)},
                       {"rows", std::to_string(*rows)},
                       {"reason", reason},
                       {"remedy", "remove the row"}});
    }
}

bool quarantine_rows::lacks_any(const known_row &row,
                                const std::vector<broken_run> &counted) const {
    if (row.runs.size() >= kMaxRowRuns) {
        return false;
    }
    return std::any_of(counted.begin(), counted.end(), [&](const broken_run &run) {
        return std::none_of(row.runs.begin(), row.runs.end(),
                            [&](const broken_run &stored) { return stored.worker == run.worker; });
    });
}

void quarantine_rows::reconcile() {
    if (!listed_) {
        return;
    }
    for (const uint64_t digest : quarantine_.evidence().all_with_crashes(kSuspectCrashes)) {
        rows_.try_emplace({digest, true});
    }
    for (const uint64_t digest : quarantine_.evidence().all_quarantined()) {
        rows_.try_emplace({digest, false});
    }
    for (const uint64_t digest : quarantine_.evidence().parts_with_crashes()) {
        rows_.try_emplace({digest, false, true});
    }
    for (auto &[key, row] : rows_) {
        write_if_due(key, row);
    }
    std::erase_if(rows_, [&](const auto &entry) {
        const auto &[key, row] = entry;
        return row.version == 0 && !row.writing &&
               !wanted(key, quarantine_.evidence().counted(key.digest));
    });
}

bool quarantine_rows::wanted(const quarantine_row_key &key,
                             const std::vector<broken_run> &counted) const {
    if (key.part) {
        return counted.size() >= kPartCrashes;
    }
    return key.suspect ? counted.size() >= kSuspectCrashes
                       : quarantine_.evidence().quarantined(key.digest);
}

bool quarantine_rows::differs(const quarantine_row_key &key, const known_row &row,
                              const std::vector<broken_run> &counted) const {
    if (!wanted(key, counted)) {
        // The node that removes rows of contents may run a version that knows none of parts.
        return row.version != 0 && (key.part || is_remover_(key.digest));
    }
    if (key.part && row.version == 0 &&
        time_source_.monotonic_now() - oldest_of(counted) < knobs_.part_write_delay) {
        return false;
    }
    if (key.suspect) {
        // A quarantined content has the more specific row.
        const bool fresh =
            time_source_.monotonic_now() - oldest_of(counted) < knobs_.suspect_write_delay;
        if (fresh || quarantine_.evidence().quarantined(key.digest)) {
            return false;
        }
    }
    return lacks_any(row, counted);
}

void quarantine_rows::write_if_due(const quarantine_row_key &key, known_row &row) {
    std::vector<broken_run> counted = quarantine_.evidence().counted(key.digest);
    counted.resize(std::min(counted.size(), kMaxRowRuns));
    const bool due = differs(key, row, counted);
    if (row.writing || !due) {
        row.write_at = due ? row.write_at : MonotonicTime{};
        return;
    }
    const MonotonicTime now = time_source_.monotonic_now();
    if (row.write_at == MonotonicTime{}) {
        const Duration most = knobs_.write_jitter_per_node * static_cast<int64_t>(nodes_);
        row.write_at = now + std::chrono::duration_cast<Duration>(random_.unit() * most);
    }
    if (now >= row.write_at) {
        write(key, row,
              wanted(key, counted) ? std::optional(encode_quarantine(counted, clock_offset()))
                                   : std::nullopt);
    }
}

void quarantine_rows::write(const quarantine_row_key &key, known_row &row,
                            std::optional<std::string> value) {
    const StoredRowKey stored{kQuarantineTable, "", to_text(key)};
    row.writing = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({stored, row.version});
    transaction.writes.push_back({stored, std::move(value)});
    store_.commit(std::move(transaction),
                  lifetime_.guard([this, key](const Expected<StoreCommit> &commit) {
                      handle_commit(key, commit);
                  }));
}

void quarantine_rows::handle_commit(const quarantine_row_key &key,
                                    const Expected<StoreCommit> &commit) {
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return;
    }
    known_row &row = found->second;
    row.writing = false;
    if (!commit) {
        const Duration pause = std::min(knobs_.retry_delay * (1 << std::min(row.failures++, 4)),
                                        knobs_.max_retry_delay);
        row.write_at = time_source_.monotonic_now() +
                       std::max(pause, commit.error().retry_after.value_or(Duration(0)));
        logger_.write(LogLevel::kInfo, "quarantine_not_recorded",
                      {{"content", digest_text(key.digest)},
                       {"reason", commit.error().message},
                       {"remedy", "none needed: the write is retried"}});
        return;
    }
    row.failures = 0;
    // If committed, the change arrives soon through the watched table; if rejected, so does the row
    // that is already there.
    row.write_at = time_source_.monotonic_now() + knobs_.retry_delay;
    if (!commit->committed && !commit->current.empty()) {
        StoredRow current = commit->current.front();
        current.removed = current.version == 0;
        on_row(current);
    }
}

} // namespace chalkshed
