#include "chalkshed/route_history.h"

#include <algorithm>

namespace chalkshed {

std::string_view route_span_name(route_span span) {
    switch (span) {
    case route_span::kUncovered:
        return "uncovered";
    case route_span::kSole:
        return "sole";
    case route_span::kChanged:
        return "changed";
    }
    return "uncovered";
}

route_history::route_services route_history::services_of(const RouteTable &table) {
    route_services services;
    for (const Route &route : table.routes()) {
        std::vector<std::string> &names = services[{route.host, route.path_prefix}];
        for (const WeightedService &candidate : route.services) {
            names.push_back(candidate.service);
        }
        std::sort(names.begin(), names.end());
    }
    return services;
}

void route_history::note(RouteTablePtr table, bool missed, MonotonicTime now) {
    std::erase_if(changed_, [now](const auto &entry) { return now - entry.second > kMemory; });
    route_services services = services_of(*table);
    if (current_) {
        note_changes(services_, services, now);
        note_changes(services, services_, now);
    }
    if (missed || !covered_since_) {
        covered_since_ = now;
    }
    current_ = std::move(table);
    services_ = std::move(services);
}

void route_history::note_changes(const route_services &before, const route_services &after,
                                 MonotonicTime now) {
    for (const auto &[route, services] : before) {
        const auto found = after.find(route);
        if (found == after.end() || found->second != services) {
            changed_[route] = now;
        }
    }
}

bool route_history::changed(std::string_view host, std::string_view path, MonotonicTime now) const {
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found =
            changed_.find({std::string(host), std::string(path.substr(0, slash + 1))});
        if (found != changed_.end() && now - found->second <= kMemory) {
            return true;
        }
    }
    return false;
}

route_span route_history::span(std::string_view host, std::string_view path,
                               std::string_view service, MonotonicTime now) const {
    const Route *route = current_ ? current_->find(host, path) : nullptr;
    if (route == nullptr || route->services.size() != 1 ||
        route->services.front().service != service) {
        return route_span::kChanged;
    }
    if (changed(host, path, now)) {
        return route_span::kChanged;
    }
    const bool covered = now - *covered_since_ >= kMemory;
    return covered ? route_span::kSole : route_span::kUncovered;
}

} // namespace chalkshed
