#ifndef CHALKSHED_QUARANTINE_ROWS_H
#define CHALKSHED_QUARANTINE_ROWS_H

/** \file
 * Keeps the evidence against quarantined contents in the store, so that it outlives the nodes and
 * reaches nodes that no peer reaches. There is one row per content, and only for quarantined
 * contents, so that a burst of lost runs doesn't become a burst of writes.
 *
 * Nodes that are cut off from each other would each have to see three crashes themselves.
 * Therefore a content with two crashed workers gets a row too, unless an answer clears it soon.
 * That row has a different key, because nodes of older versions remove rows of contents that they
 * haven't quarantined.
 *
 * A part of prompts has one row, written once its crashes have stood for a while: most parts that
 * lost workers are cleared within that time, because sound requests hold them too.
 *
 * Every node watches the table and compares it with its own evidence after each review. The first
 * node to notice a difference writes. */

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chalkshed/log_limit.h"
#include "chalkshed/request_quarantine.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/platform/watched_store.h"
#include "src/watch/store_clock.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

inline constexpr const char *kQuarantineTable =
    "quarantine"; // key: quarantine_row_key in text form

struct quarantine_row_key {
    uint64_t digest = 0;
    /** Two workers have crashed, and the content isn't quarantined for certain. */
    bool suspect = false;
    /** The digest is that of a part of prompts. */
    bool part = false;

    auto operator<=>(const quarantine_row_key &) const = default;
};

std::string to_text(const quarantine_row_key &key);
/** \return std::nullopt for an invalid key. */
std::optional<quarantine_row_key> parse_quarantine_row_key(std::string_view text);

/** \param offset Offset of the store's clock from this node's. */
std::string encode_quarantine(const std::vector<broken_run> &runs, Duration offset);
/** What could be read of a row. */
struct decoded_quarantine {
    std::vector<broken_run> runs;
    /** Lines that cannot be read and were skipped. */
    size_t malformed_lines = 0;
};
decoded_quarantine decode_quarantine(const quarantine_row_key &key, std::string_view value,
                                     Duration offset);

struct quarantine_rows_knobs {
    /** Each node writes after a random delay of up to this much per node, so that usually one node
     * writes before the others would. */
    Duration write_jitter_per_node = std::chrono::milliseconds(10);
    /** A request that loses two workers in a row is usually innocent and has been answered within
     * this time. */
    Duration suspect_write_delay = std::chrono::milliseconds(500);
    /** A sound part that other requests hold too has been cleared within this time. */
    Duration part_write_delay = std::chrono::milliseconds(700);
    Duration retry_delay = std::chrono::seconds(1);
    Duration max_retry_delay = std::chrono::seconds(16);
};

class quarantine_rows : public TableObserver {
public:
    /** All references outlive this. */
    quarantine_rows(TimeSource &time_source, WatchedStore &store, const StoreClock &clock,
                    RandomGenerator &random, Logger &logger, MetricsRegistry &metrics,
                    request_quarantine &quarantine, const quarantine_rows_knobs &knobs = {});

    void on_row(const StoredRow &row) override;
    void on_listed() override {
        listed_ = true;
    }
    /** Writes evidence that the store lacks, and removes rows of contents that are no longer
     * quarantined. */
    void reconcile();
    void set_node_count(size_t nodes) {
        nodes_ = nodes;
    }
    /** \param is_remover Whether this node is the one that removes the row of that content. */
    void set_is_remover(std::function<bool(uint64_t digest)> is_remover) {
        is_remover_ = std::move(is_remover);
    }

private:
    struct known_row {
        StoreVersion version = 0; // 0: no such row
        std::vector<broken_run> runs;
        bool writing = false;
        MonotonicTime write_at{}; // epoch: no difference has been noticed
        int failures = 0;
    };
    bool lacks_any(const known_row &row, const std::vector<broken_run> &counted) const;
    /** Whether the row should exist. */
    bool wanted(const quarantine_row_key &key, const std::vector<broken_run> &counted) const;
    bool differs(const quarantine_row_key &key, const known_row &row,
                 const std::vector<broken_run> &counted) const;
    void write_if_due(const quarantine_row_key &key, known_row &row);
    void write(const quarantine_row_key &key, known_row &row, std::optional<std::string> value);
    /** Counts and logs a row that cannot be read, or only in part. */
    void note_rejected(const StoredRow &row, const char *reason);
    void handle_commit(const quarantine_row_key &key, const Expected<StoreCommit> &commit);
    /** Offset of the store's clock from this node's. */
    Duration clock_offset() const;

    TimeSource &time_source_;
    WatchedStore &store_;
    const StoreClock &clock_;
    RandomGenerator &random_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    log_limit rejected_;
    request_quarantine &quarantine_;
    const quarantine_rows_knobs knobs_;
    bool listed_ = false;
    size_t nodes_ = 1;
    std::map<quarantine_row_key, known_row> rows_;
    std::function<bool(uint64_t)> is_remover_ = [](uint64_t) { return true; };
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
