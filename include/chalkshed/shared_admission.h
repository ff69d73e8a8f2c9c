#ifndef CHALKSHED_SHARED_ADMISSION_H
#define CHALKSHED_SHARED_ADMISSION_H

/** \file
 * A node's decision on a request for a service that cannot serve all requests in time.
 *
 * The relays compute from the reports of all nodes whether a service is overloaded and, for each
 * priority, the rate that a tenant gets at most (admission_levels.h). A node admits of each tenant
 * the part of its requests that makes up this rate at all nodes together: its share is then in
 * proportion to its part of the tenant's demand, without any agreement on parts. */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chalkshed/admission_message.h"
#include "chalkshed/recent_rate.h"
#include "chalkshed/refused_contents.h"
#include "src/core/error.h"
#include "src/core/random.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

struct shared_admission_knobs {
    /** Time constant of all rates. With a shorter one, a tenant with few requests per second would
     * often seem to be above its level. */
    Duration demand_window = std::chrono::milliseconds(500);
    /** Time constant of the recent rate, which is used where it differs significantly. */
    Duration recent_window = std::chrono::milliseconds(150);
    /** A view is valid for this long, which covers several lost datagrams. */
    Duration view_lifetime = std::chrono::milliseconds(400);
    /** A node that has lost the views of an overloaded service admits an equal share of its
     * capacity for at most this long. After it, its peers have stopped counting it. */
    Duration max_isolation = std::chrono::seconds(25);
    /** Without a view, a service with more than this share of its slots free isn't overloaded. */
    double free_share = 0.1;
    /** A node reports for this long after a request waited or was refused there. */
    Duration report_after_wait = std::chrono::milliseconds(500);
    Duration report_after_refusal = std::chrono::seconds(2);
    /** A request may wait for this part of its target: the rest is for its work. */
    double max_wait_share_of_target = 0.8;
    /** A request is admitted while the expected wait is less than this part of its target. Waits
     * differ between nodes and requests: with 0.8, a third of those admitted at the limit were late
     * in virtual time. */
    double expected_wait_share_of_target = 0.35;
    /** The retries of callers that are refused within this time are spread over the time in which
     * the capacity admits as many requests, within these bounds. */
    Duration refusal_window = std::chrono::seconds(1);
    Duration min_retry_spread = std::chrono::milliseconds(100);
    Duration max_retry_spread = std::chrono::seconds(3);
    /** How long a refused content is recognised. No caller is asked to return later than that. */
    Duration content_lifetime = std::chrono::seconds(4);
    size_t max_contents = 4096;
    /** Returned requests that a tenant may have admitted beyond its share at a node at once; later
     * ones are then deducted from its share. */
    double max_returned_ahead = 2;
    /** Requests that are too late for their target and are held until there is room; for all
     * tenants together, and for one of them. */
    size_t max_late = 64;
    size_t max_late_of_tenant = 16;
    /** Keys without requests for this long are dropped. */
    Duration idle_lifetime = std::chrono::seconds(10);
};

/** Slots of a service at its workers that take requests. */
struct service_slots {
    double all = 0;
    /** Slots that online requests don't hold. Those of batch items count as free: batch gives them
     * back. */
    double free = 0;
};

struct admission_request {
    std::string_view id;
    std::string_view service;
    std::string_view tenant;
    uint32_t priority = 0;
    /** See request_digest.h. */
    uint64_t digest = 0;
    /** 0: no target. */
    Duration target{0};
    /** Requests at this node that are late, in total and of this tenant. */
    size_t late = 0;
    size_t late_of_tenant = 0;
};

struct shared_verdict {
    /** kOverloaded, Ran::kNo, with the time at which there will be room. */
    std::optional<Error> refused;
    /** Admitted, although it can no longer be served within its target: it must not be served
     * before a request that can. */
    bool late = false;
};

/** A request that waits for a slot and may still be served within its target. */
struct waiting_request {
    std::string_view service;
    std::string_view tenant;
    uint32_t priority = 0;
};

class shared_admission {
public:
    using visit_waiting = std::function<void(const waiting_request &)>;

    /** All references outlive this. */
    shared_admission(TimeSource &time_source, RandomGenerator &random, Logger &logger,
                     MetricsRegistry &metrics, const shared_admission_knobs &knobs = {});

    shared_verdict admit(const admission_request &request);
    /** An online request has freed its slot after that time. */
    void note_ended(std::string_view service, Duration held);
    /** A request has begun to wait for a slot. */
    void note_waiting();

    /** Sets how the waiting requests of this node are listed. */
    void set_waiting(std::function<void(const visit_waiting &)> list) {
        list_waiting_ = std::move(list);
    }
    /** Sets how the slots of a service are counted. */
    void set_slots(std::function<service_slots(std::string_view)> slots) {
        slots_ = std::move(slots);
    }
    /** Called when active() may have become true. */
    void set_on_active(std::function<void()> callback) {
        on_active_ = std::move(callback);
    }
    /** Sets the services in the configuration. Messages name them by hashes. */
    void set_services(const std::vector<std::string> &names);
    /** Sets the number of nodes that admit requests, including this one. */
    void set_nodes(size_t count) {
        nodes_ = count;
    }

    /** Whether this node has to report: requests wait or were refused here recently, or the view
     * says that some service is overloaded. */
    bool active();
    /** \return The demand at this node and its recent refusals, which then count as reported. */
    admission_message make_report();
    void apply_view(const admission_message &view);
    void note_refused(const refused_content &content);
    /** Whether that service is overloaded by the latest view. */
    bool overloaded(std::string_view service) const;
    /** \return The services that are overloaded by the latest view, however old that is, with their
     * capacity. */
    std::vector<service_capacity> overloaded_services() const;
    /** \return Slots of the service with that hash; none if it isn't known. */
    service_slots slots_of(uint32_t service) const;

private:
    struct usage {
        explicit usage(const shared_admission_knobs &knobs)
            : arrived(knobs.demand_window), recent(knobs.recent_window),
              admitted(knobs.demand_window) {}
        recent_rate arrived;
        recent_rate recent;
        recent_rate admitted;
        MonotonicTime used{};
        /** Part of a request that the share has left. */
        double credit = 0;
    };
    struct served {
        explicit served(Duration window) : ended(window), busy(window) {}
        std::string name;
        recent_rate ended;
        recent_rate busy;
    };
    struct timed_level {
        admission_level level;
        MonotonicTime heard{};
    };
    struct timed_demand {
        float demand = 0;
        MonotonicTime heard{};
    };
    struct service_view {
        bool overloaded = false;
        double capacity = 0;
        MonotonicTime heard{};
        std::map<uint32_t, timed_level> levels;
        /** By priority and tenant. */
        std::map<std::pair<uint32_t, uint32_t>, timed_demand> shares;
        /** Requests that this node may still admit while it has no view. */
        double equal_share_left = 0;
        MonotonicTime equal_share_filled{};
    };
    /** Why a request is admitted or refused. */
    struct decision {
        bool admitted = true;
        bool late = false;
        /** When its content was refused before. */
        std::optional<MonotonicTime> refused;
        double level = 0;
        double demand = 0;
        /** Part of the tenant's requests that is admitted. */
        double part = 1;
        Duration wait{0};
    };

    bool fresh(MonotonicTime heard) const;
    usage &usage_of(const admission_key &key);
    served &served_of(std::string_view service);
    decision decide(const admission_request &request, const admission_key &key, usage &use);
    bool comes_too_late(const admission_request &request, Duration wait) const;
    void read_view(const service_view &view, const admission_key &key, decision &decided) const;
    bool spend(usage &use, double part, bool returned) const;
    bool alone_and_full(const service_view &view, std::string_view service) const;
    bool spend_equal_share(service_view &view);
    Error refuse(const admission_request &request, const admission_key &key,
                 const decision &decided);
    Duration retry_after(const decision &decided);
    void drop_idle(MonotonicTime now);
    void set_gauges(const admission_message &view);

    TimeSource &time_source_;
    RandomGenerator &random_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const shared_admission_knobs knobs_;
    std::function<void(const visit_waiting &)> list_waiting_;
    std::function<service_slots(std::string_view)> slots_;
    std::function<void()> on_active_;
    size_t nodes_ = 1;
    uint64_t sequence_ = 0;
    std::map<admission_key, usage> usage_;
    std::map<uint32_t, served> served_;
    std::map<uint32_t, service_view> views_;
    refused_contents refused_;
    /** Refusals at this node that no report has named, with their times. */
    std::vector<std::pair<uint64_t, MonotonicTime>> untold_;
    MonotonicTime waited_{};
    MonotonicTime refused_at_{};
    MonotonicTime idle_dropped_{};
};

} // namespace chalkshed

#endif
