#ifndef CHALKSHED_TENANT_TABLE_H
#define CHALKSHED_TENANT_TABLE_H

/** \file
 * The tenants of one configuration version, and their API keys.
 *
 * Keys are looked up by a hash with a random seed per process, so that the time of a look-up
 * depends neither on the number of tenants nor on the key. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chalkshed {

struct tenant {
    std::string name;
    /** Each of them identifies the tenant. */
    std::vector<std::string> keys;
    /** Overrides the priority of the route; 0 is the most urgent. */
    std::optional<uint32_t> priority;
    /** Requests per second over all nodes together; 0: no limit. */
    double rate_per_second = 0;
    /** Number of requests above the rate that may arrive at once. */
    double burst = 0;

    bool limited() const {
        return rate_per_second > 0;
    }
};

class tenant_table {
public:
    /** Without configured tenants: callers need no key. */
    tenant_table() = default;
    /** A key shared by two tenants belongs to the first one, and an empty key to none. Both are
     * reported by warnings(), without the key. */
    explicit tenant_table(std::vector<tenant> tenants);

    /** Whether callers need a key. */
    bool enabled() const {
        return enabled_;
    }
    /** \return The tenant that holds the key, or null. */
    const tenant *find_by_key(std::string_view key) const;
    /** \return The tenant of that name, or null. */
    const tenant *find(std::string_view name) const;
    const std::vector<tenant> &all() const {
        return tenants_;
    }
    /** Configuration errors for the operator, as full sentences. */
    const std::vector<std::string> &warnings() const {
        return warnings_;
    }

private:
    struct owned_key {
        std::string key;
        size_t tenant = 0;
    };
    void add_key(size_t index, const std::string &key);

    bool enabled_ = false;
    std::vector<tenant> tenants_;
    std::unordered_map<std::string, size_t> by_name_;
    std::unordered_multimap<uint64_t, owned_key> by_key_hash_;
    std::vector<std::string> warnings_;
};

} // namespace chalkshed

#endif
