#ifndef CHALKSHED_QUARANTINE_ROWS_H
#define CHALKSHED_QUARANTINE_ROWS_H

/** \file
 * The evidence against contents that are held, as rows of the store, so that it outlasts the nodes
 * and reaches those that no peer reaches. A row a content; only contents that are held have one, so
 * that a storm of broken runs is no storm of writes.
 *
 * Nodes that are cut from each other would each have to see three ends by themselves. So a content
 * under which two workers have ended has a row too, unless an answer clears it soon. Its key is
 * another one: nodes of older versions remove rows of contents that they do not hold.
 *
 * Every node follows the table and compares it with what it knows after each look at the evidence.
 * The first of all nodes to notice a difference writes. */

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chalkshed/request_quarantine.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/platform/watched_store.h"
#include "src/watch/store_clock.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

inline constexpr const char *kQuarantineTable = "quarantine"; // key: quarantine_row_key, as text

struct quarantine_row_key {
    uint64_t digest = 0;
    /** Two workers have ended, and it is not held for certain. */
    bool suspect = false;

    auto operator<=>(const quarantine_row_key &) const = default;
};

std::string to_text(const quarantine_row_key &key);
/** \return Nothing when the text is no such key. */
std::optional<quarantine_row_key> parse_quarantine_row_key(std::string_view text);

/** \param offset Of the store's clock to this node's. */
std::string encode_quarantine(const std::vector<broken_run> &runs, Duration offset);
/** Lines that cannot be read are left out. */
std::vector<broken_run> decode_quarantine(uint64_t digest, std::string_view value, Duration offset);

struct quarantine_rows_knobs {
    /** Nodes that come to know the same write after a pause drawn from this much for each of them,
     * so that mostly one writes before the others have heard of it. */
    Duration pause_a_node = std::chrono::milliseconds(10);
    /** A request that loses two workers in a row is mostly innocent, and answered by then. */
    Duration suspect_after = std::chrono::milliseconds(500);
    Duration retry = std::chrono::seconds(1);
    Duration longest_retry = std::chrono::seconds(16);
};

class quarantine_rows : public TableObserver {
public:
    /** All references outlive this. */
    quarantine_rows(TimeSource &time_source, WatchedStore &store, const StoreClock &clock,
                    RandomGenerator &random, Logger &logger, request_quarantine &quarantine,
                    const quarantine_rows_knobs &knobs = {});

    void on_row(const StoredRow &row) override;
    void on_listed() override {
        listed_ = true;
    }
    /** Writes what the store lacks, removes what is not held any more. */
    void reconcile();
    void set_node_count(size_t nodes) {
        nodes_ = nodes;
    }
    /** \param removes Whether this node is the one that removes the row of that content. */
    void set_is_remover(std::function<bool(uint64_t digest)> removes) {
        removes_ = std::move(removes);
    }

private:
    struct known_row {
        StoreVersion version = 0; // 0: there is none
        std::vector<broken_run> runs;
        bool writing = false;
        MonotonicTime write_at{}; // the epoch: no difference has been noticed
        int failures = 0;
    };
    bool lacks_any(const known_row &row, const std::vector<broken_run> &counted) const;
    /** Whether there should be such a row, and the evidence that it should hold. */
    bool wanted(const quarantine_row_key &key, const std::vector<broken_run> &counted) const;
    bool differs(const quarantine_row_key &key, const known_row &row,
                 const std::vector<broken_run> &counted) const;
    void write_when_due(const quarantine_row_key &key, known_row &row);
    void write(const quarantine_row_key &key, known_row &row, std::optional<std::string> value);
    void handle_commit(const quarantine_row_key &key, const Expected<StoreCommit> &commit);
    /** Of the store's clock to this node's. */
    Duration clock_offset() const;

    TimeSource &time_source_;
    WatchedStore &store_;
    const StoreClock &clock_;
    RandomGenerator &random_;
    Logger &logger_;
    request_quarantine &quarantine_;
    const quarantine_rows_knobs knobs_;
    bool listed_ = false;
    size_t nodes_ = 1;
    std::map<quarantine_row_key, known_row> rows_;
    std::function<bool(uint64_t)> removes_ = [](uint64_t) { return true; };
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
