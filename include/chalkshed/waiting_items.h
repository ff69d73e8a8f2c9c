#ifndef CHALKSHED_WAITING_ITEMS_H
#define CHALKSHED_WAITING_ITEMS_H

/** \file
 * The waiting batch items of all jobs that a node owns, in the order in which they start.
 *
 * They are kept apart by group: items of a group need the same services, so that one that finds no
 * worker shows that none of its group does. An item that cannot start therefore delays no item of
 * another group, and what cannot start costs nothing as long as that lasts: choosing an item takes
 * a step for each group, not for each item or job.
 *
 * Performs no I/O and takes the time as a parameter. */

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/core/time.h"

namespace chalkshed {

class OwnedJob;

/** An item of a job. */
struct item_ref {
    OwnedJob *job = nullptr;
    size_t item = 0;
};

/** Where an item waits. */
struct waiting_place {
    /** Items of a group need the same services. */
    std::string group;
    /** Number of services that items of the group may run at. */
    size_t services = 1;
    /** By the store's clock: when an item of the estimated duration would have to be done if it
     * started with this one. Items start in this order, but late ones after all others and the
     * least late of them first. */
    Duration due{};
    /** It doesn't start before. */
    MonotonicTime not_before{};
};

class waiting_items {
    struct node;

public:
    /** Keeps an item in the index; the destructor removes it. The index outlives it. */
    class entry {
    public:
        entry() = default;
        entry(waiting_items &index, std::unique_ptr<node> item);
        entry(entry &&other) noexcept = default;
        entry &operator=(entry &&other) noexcept;
        ~entry();
        /** Whether it keeps an item. */
        explicit operator bool() const {
            return item_ != nullptr;
        }

    private:
        friend class waiting_items;
        waiting_items *index_ = nullptr;
        std::unique_ptr<node> item_;
    };
    /** An item that may start. */
    struct choice {
        item_ref item;
        const waiting_place *place = nullptr; // valid while the item waits
    };

    waiting_items() = default;
    waiting_items(const waiting_items &) = delete;
    waiting_items &operator=(const waiting_items &) = delete;

    entry add(const item_ref &item, waiting_place place);
    /** Makes the items available whose time has come. Takes a step for each of them. */
    void advance(MonotonicTime now);
    /** \param late_before Items that are due earlier than this are late.
     * \param full Groups whose services have no room.
     * \return The item that starts first, but for items of these groups. */
    std::optional<choice> first(Duration late_before, const std::set<std::string> &full) const;
    size_t size() const {
        return size_;
    }

private:
    struct node {
        item_ref item;
        waiting_place place;
        uint64_t number = 0; // order among equals
        bool ready = false;
    };
    struct by_due {
        using is_transparent = void;
        bool operator()(const node *a, const node *b) const {
            return a->place.due != b->place.due ? a->place.due < b->place.due
                                                : a->number < b->number;
        }
        bool operator()(const node *a, Duration due) const {
            return a->place.due < due;
        }
    };
    struct by_time {
        bool operator()(const node *a, const node *b) const {
            return a->place.not_before != b->place.not_before
                       ? a->place.not_before < b->place.not_before
                       : a->number < b->number;
        }
    };
    using group = std::set<node *, by_due>;

    /** The item of the group that starts first. */
    static const node &first_of(const group &items, Duration late_before);
    void remove(node &item);

    std::map<std::string, group> groups_; // never empty ones
    std::set<node *, by_time> delayed_;
    uint64_t next_number_ = 0;
    size_t size_ = 0;
};

} // namespace chalkshed

#endif
