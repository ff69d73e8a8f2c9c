#ifndef CHALKSHED_VIEW_CONFIRMATION_H
#define CHALKSHED_VIEW_CONFIRMATION_H

/** \file
 * Brings this node's view of some tables of the store up to a moment. The age of a view says
 * nothing of what has happened since; a read that was begun after a question arose does. Whoever
 * asks while a read is under way waits for the next one, so that the calls to the store do not grow
 * with the number of questions. */

#include <functional>
#include <map>
#include <vector>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/platform/watched_store.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

struct view_confirmation_knobs {
    /** Time-out of a question: a caller waits for its result. */
    Duration patience = std::chrono::milliseconds(1000);
    /** A refused read is repeated after this long, and as often as the other says. */
    Duration retry_after = std::chrono::milliseconds(60);
    int retries = 2;
    /** Least time between the beginnings of two reads, for each node of the fleet: the store's
     * capacity for reads does not grow with it. */
    Duration interval_per_node = std::chrono::microseconds(300);
};

class view_confirmation {
public:
    /** Called with whether the view is as recent as the question. */
    using on_confirmed = std::function<void(bool confirmed)>;

    /** \param tables To be read; all references outlive this. */
    view_confirmation(TimeSource &time_source, Dispatcher &dispatcher, WatchedStore &store,
                      std::vector<TableWatcher *> tables,
                      const view_confirmation_knobs &knobs = {});

    /** Sets the number of nodes of the fleet. */
    void set_nodes(std::function<size_t()> nodes) {
        nodes_ = std::move(nodes);
    }
    /** Reads the changes of all tables, and applies them to their watchers before `done` is called.
     * \param done Called once, not before this returns. */
    void confirm(on_confirmed done);

private:
    using waiting = std::map<uint64_t, on_confirmed>;

    void begin_soon();
    void begin();
    void read();
    void note_answer(TableWatcher &table, MonotonicTime asked,
                     const Expected<TableChanges> &changes);
    void end(bool confirmed);
    void give_up(uint64_t id);

    TimeSource &time_source_;
    Dispatcher &dispatcher_;
    WatchedStore &store_;
    const std::vector<TableWatcher *> tables_;
    const view_confirmation_knobs knobs_;
    std::function<size_t()> nodes_;
    uint64_t next_id_ = 0;
    /** Those whose read is under way, and those who wait for the next one. */
    waiting reading_;
    waiting next_;
    bool under_way_ = false;
    bool begins_soon_ = false;
    /** Of the reads under way. */
    size_t unanswered_ = 0;
    bool failed_ = false;
    int tries_ = 0;
    MonotonicTime begun_{};
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
