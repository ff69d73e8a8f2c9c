#ifndef CHALKSHED_ROUTE_HISTORY_H
#define CHALKSHED_ROUTE_HISTORY_H

/** \file
 * To which services the routes have led, as far back as a stream may have begun. A stream belongs
 * to the service that began it, and its route may lead elsewhere by now. */

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/time.h"
#include "src/serving/route_table.h"

namespace chalkshed {

/** What is known of the services of a request's route over some time. */
enum class route_span : uint8_t {
    /** The time is not covered: the node does not know each configuration of it. */
    kUncovered,
    /** The route has led to one service alone. */
    kSole,
    /** It leads, or has led, to another one as well. */
    kChanged,
};

/** \return The stable name used in logs. */
std::string_view route_span_name(route_span span);

class route_history {
public:
    /** A change counts for this long, and each configuration must have been known for it. That is
     * longer than streams last: a node that is cut off still begins streams by an older one. */
    static constexpr Duration kMemory = std::chrono::minutes(5);

    /** The table is in force from now on.
     * \param missed Whether another one that this node never saw may have been in force since the
     * last call. */
    void note(RouteTablePtr table, bool missed, MonotonicTime now);
    /** \return Whether requests for that host and path have gone to `service` alone. */
    route_span span(std::string_view host, std::string_view path, std::string_view service,
                    MonotonicTime now) const;

private:
    /** Host and path prefix. */
    using route_key = std::pair<std::string, std::string>;
    using route_services = std::map<route_key, std::vector<std::string>>;
    static route_services services_of(const RouteTable &table);
    /** Records the routes of `before` whose services are not the same in `after`. */
    void note_changes(const route_services &before, const route_services &after, MonotonicTime now);
    /** \return Whether the services of a route that matches, or has matched, have changed. */
    bool changed(std::string_view host, std::string_view path, MonotonicTime now) const;

    RouteTablePtr current_;
    route_services services_;
    /** When the services of a route last changed. */
    std::map<route_key, MonotonicTime> changed_;
    /** Since when each configuration in force is known. */
    std::optional<MonotonicTime> covered_since_;
};

} // namespace chalkshed

#endif
