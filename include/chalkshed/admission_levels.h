#ifndef CHALKSHED_ADMISSION_LEVELS_H
#define CHALKSHED_ADMISSION_LEVELS_H

/** \file
 * The relay's computation of which services are overloaded, and of what they can admit.
 *
 * The capacity of a service is the rate at which its requests free their slots while all slots are
 * taken. At the start of an overload it is estimated as the number of slots divided by the mean
 * time for which a request holds one. The rate that is admitted differs from the capacity by a
 * correction that leads to a short queue: longer queues make requests late, and without any queue
 * slots are free for a moment whenever a request ends. The correction also makes up for errors of
 * the estimate. */

#include <functional>
#include <map>
#include <optional>

#include "chalkshed/admission_message.h"
#include "chalkshed/shared_admission.h"

namespace chalkshed {

struct admission_levels_knobs {
    /** A service is overloaded when new requests are expected to wait for this long, and more
     * requests wait than slots are free. */
    Duration overload_wait = std::chrono::milliseconds(30);
    /** Fewer waiting requests don't make an overload, and the admitted rate leaves that many. */
    double least_waiting = 3;
    /** It no longer is after its queue has been short and no tenant limited for this long. */
    Duration calm_time = std::chrono::milliseconds(500);
    /** Expected wait that the admitted rate aims at. */
    Duration aimed_wait = std::chrono::milliseconds(25);
    /** Time in which deviations of the queue are made up for. It has to be a multiple of the time
     * from a request to the view that includes it, which is about 100 ms. */
    Duration correction_time = std::chrono::milliseconds(400);
    /** At least this share of the capacity is admitted however long the queue is. Otherwise the
     * level would fall below the demand of large tenants that ask for no more than usual, while one
     * other has caused the queue. */
    double least_share_of_capacity = 0.85;
    /** Time constant of the measured capacity. */
    Duration capacity_window = std::chrono::milliseconds(700);
    /** Time constant of the recent rates, and the number of standard deviations by which one has to
     * differ from the longer average to be used instead; from one deviation on, it is used in part.
     */
    Duration recent_window = shared_admission_knobs{}.recent_window;
    double significant_deviations = 3;
    /** After this time, all nodes report what ends there, and the rates no longer include the time
     * before the overload. */
    Duration report_time = std::chrono::seconds(1);
    /** All slots count as taken when no more than this share of them is free. */
    double free_share = 0.03;
    /** Views still name a service for this long after its overload, and a tenant after it was last
     * above its level. */
    Duration end_time = std::chrono::milliseconds(400);
};

/** Sums over nodes. */
class admission_totals {
public:
    struct demand {
        int64_t arrived = 0;
        int64_t recent = 0;
        int64_t admitted = 0;
        int64_t waiting = 0;
    };
    struct served {
        int64_t ended = 0;
        int64_t busy = 0;
    };
    /** \param sign 1 to add, -1 to subtract what was added before. */
    void add(const admission_count &count, int sign);
    void add(const served_count &count, int sign);
    const std::map<admission_key, demand> &demands() const {
        return demands_;
    }
    const std::map<uint32_t, served> &services() const {
        return services_;
    }

private:
    std::map<admission_key, demand> demands_;
    std::map<uint32_t, served> services_;
};

class admission_levels {
public:
    explicit admission_levels(const admission_levels_knobs &knobs = {}) : knobs_(knobs) {}

    /** Takes over that another relay considers the service overloaded, unless this one knows more
     * about it: relays of other zones see the same sums at other moments, and without an agreement
     * the nodes of one zone would admit everything. */
    void adopt(const service_capacity &known, MonotonicTime now);
    /** Adds the services, levels and shares to a view.
     * \param coverage Share of the nodes that the totals include: these nodes may use this share of
     * the capacity.
     * \param slots_of The slots of the service with that hash. */
    void fill(admission_message &view, const admission_totals &totals, double coverage,
              const std::function<service_slots(uint32_t)> &slots_of, MonotonicTime now);
    /** Whether a view has anything to tell. */
    bool any() const {
        return !services_.empty();
    }

private:
    struct service {
        bool overloaded = false;
        double capacity = 0;
        MonotonicTime since{};
        MonotonicTime updated{};
        /** Since when the queue has been short and no tenant limited. */
        std::optional<MonotonicTime> calm_since;
        MonotonicTime ended{};
    };
    /** Figures of one service at one moment, in requests per second. */
    struct state {
        std::vector<std::pair<admission_key, admission_totals::demand>> demands;
        double waiting = 0;
        double ended = 0;
        double mean_hold = 0;
        service_slots slots;
        double coverage = 1;
    };

    void update(uint32_t hash, const state &now_state, admission_message &view, MonotonicTime now);
    double demand_of(const admission_totals::demand &sum) const;
    /** \return Slots divided by the mean hold time. */
    static double estimate(const state &current);
    bool begins(const state &current) const;
    void measure(service &known, const state &current, MonotonicTime now) const;
    double admitted_rate(const service &known, const state &current) const;
    void note_calm(service &known, bool calm, MonotonicTime now) const;

    admission_levels_knobs knobs_;
    std::map<uint32_t, service> services_;
    /** When each tenant was last above its level. */
    std::map<admission_key, MonotonicTime> limited_;
};

} // namespace chalkshed

#endif
