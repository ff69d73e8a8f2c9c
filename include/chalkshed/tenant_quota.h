#ifndef CHALKSHED_TENANT_QUOTA_H
#define CHALKSHED_TENANT_QUOTA_H

/** \file
 * Decides whether a request is within the rate limit of its tenant, which applies to all nodes
 * together.
 *
 * A node decides by the latest view of a relay of the tenant's remaining quota. Other nodes decide
 * by the same view at the same time, so a node takes only its part: the remaining quota in
 * proportion to its share of the demand, minus the requests that it has admitted since the view
 * was made. Without a view, the node has an equal share of the rate, which the relays reserve for
 * it as long. */

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/quota_levels.h"
#include "chalkshed/quota_message.h"
#include "src/core/error.h"
#include "src/core/random.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/serving/route_watch.h"

namespace chalkshed {

/** Decides on requests of tenants. */
class request_quota {
public:
    virtual ~request_quota() = default;
    /** Counts a request. \return Nothing if it is within the limit; otherwise kLimitExceeded, or
     * kUnavailable if this node can't know, Ran::kNo, with the time after which a request may be
     * admitted. */
    virtual std::optional<Error> admit(const std::string &tenant, const std::string &request) = 0;
    /** Refunds an admitted request that has not run. */
    virtual void give_back(const std::string &tenant) = 0;
};

struct tenant_quota_knobs {
    /** Time over which the demand is measured: about the time from a request to the view that
     * includes it, during which nodes don't see each other's requests. Measured in virtual time
     * with 60 nodes: 80 ms on average, 150 ms at most. */
    Duration demand_window = std::chrono::milliseconds(200);
    /** A view is valid for this long, which covers several lost datagrams. */
    Duration view_lifetime = std::chrono::milliseconds(400);
    /** A node without a view for this long admits nothing of limited tenants: its peers stop
     * reserving its share some seconds later. */
    Duration max_isolation = std::chrono::seconds(25);
    /** A tenant that isn't listed in a view has at least this share of its burst left, and is
     * assumed to have all of it. With 0.75, a tenant with a burst of five was refused its fifth
     * request. */
    double nearly_full = 0.95;
    /** The retries of callers that are refused within this time are spread over the time in which
     * the rate admits as many requests, within these bounds. Earlier retries would meet the same
     * excess, and most callers retry only once. */
    Duration refusal_window = std::chrono::seconds(1);
    Duration min_retry_spread = std::chrono::milliseconds(100);
    Duration max_retry_spread = std::chrono::seconds(3);
    /** Number of tenants with their own metrics: those with the highest limits. */
    size_t max_tenants_with_metrics = 20;
};

class tenant_quota : public request_quota {
public:
    /** All references outlive this. */
    tenant_quota(TimeSource &time_source, RandomGenerator &random, const RouteWatch &routes,
                 Logger &logger, MetricsRegistry &metrics, const tenant_quota_knobs &knobs = {});

    std::optional<Error> admit(const std::string &tenant, const std::string &request) override;
    void give_back(const std::string &tenant) override;

    /** Sets the number of nodes that may admit requests, including this one. Until it is known,
     * this node admits nothing of limited tenants. */
    void set_nodes(size_t count) {
        nodes_ = count;
    }
    /** \return What has changed since the reports that the relay has acknowledged. The report
     * counts as sent. */
    quota_message make_report();
    /** Whether there were requests or refunds since the last report. */
    bool has_changes() const {
        return has_changes_;
    }
    /** Takes in the view of a relay, or of this node itself as a relay. */
    void apply_view(const quota_message &view);

private:
    struct usage {
        explicit usage(Duration window) : recent(window) {}
        uint32_t asked = 0;
        uint32_t admitted = 0;
        /** Admitted requests included in the newest view. */
        uint32_t acknowledged = 0;
        /** Admitted requests by report sequence number, for reports that no view includes yet,
         * oldest first. */
        std::deque<std::pair<uint64_t, uint32_t>> reported;
        bool changed = false;
        recent_rate recent;
        /** Remainder of this node's share while there is no view. */
        double share_left = 0;
        MonotonicTime share_filled{};
    };
    /** Decision on a request, with its reasons. */
    struct decision {
        bool admitted = false;
        /** Decided by a view; otherwise by this node's share. */
        bool by_view = false;
        bool isolated = false;
        double level = 0;
        double demand = 0;
        double allowance = 0;
        Duration view_age{0};
    };

    usage &usage_of(uint32_t hash);
    decision decide(const tenant &limited, usage &use);
    decision decide_by_view(const tenant &limited, const usage &use, MonotonicTime now) const;
    decision decide_by_share(const tenant &limited, usage &use, MonotonicTime now) const;
    Error refusal(const tenant &limited, const decision &decided, const std::string &request);
    Duration retry_after(const tenant &limited, const decision &decided);
    void count(const std::string &tenant, const char *outcome);

    TimeSource &time_source_;
    RandomGenerator &random_;
    const RouteWatch &routes_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const tenant_quota_knobs knobs_;
    size_t nodes_ = 0;
    uint64_t sequence_ = 0;
    bool has_changes_ = false;
    std::unordered_map<uint32_t, usage> usage_;
    std::map<uint32_t, tenant_level> view_;
    double coverage_ = 1;
    MonotonicTime view_received_;
    bool has_view_ = false;
    /** Tenants with their own metrics, for that version of the configuration. */
    std::map<std::string, bool> with_metrics_;
    uint64_t with_metrics_version_ = 0;
};

} // namespace chalkshed

#endif
