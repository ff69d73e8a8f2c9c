#include "chalkshed/tenant_table.h"

#include <random>

#include "chalkshed/api_key.h"
#include "src/core/digest.h"

namespace chalkshed {
namespace {

/** Without a secret seed, an attacker could choose keys that share a hash bucket. */
uint64_t key_hash(std::string_view key) {
    static const uint64_t kSeed = [] {
        std::random_device device;
        return (uint64_t{device()} << 32U) | device();
    }();
    return content_hash(key, kSeed);
}

} // namespace

tenant_table::tenant_table(std::vector<tenant> tenants)
    : enabled_(true), tenants_(std::move(tenants)) {
    for (size_t index = 0; index < tenants_.size(); ++index) {
        if (!by_name_.emplace(tenants_[index].name, index).second) {
            warnings_.push_back(
                "The tenant '" + tenants_[index].name +
                "' is configured twice; all its keys are valid, and its first limit applies.");
        }
        for (const std::string &key : tenants_[index].keys) {
            add_key(by_name_.at(tenants_[index].name), key);
        }
        // Drops the second copy of the secrets.
        tenants_[index].keys.clear();
    }
}

void tenant_table::add_key(size_t index, const std::string &key) {
    const std::string &name = tenants_[index].name;
    if (key.empty()) {
        warnings_.push_back("The tenant '" + name + "' has an empty key, which is ignored.");
        return;
    }
    const tenant *holder = find_by_key(key);
    if (holder == nullptr) {
        by_key_hash_.emplace(key_hash(key), owned_key{key, index});
    } else if (holder->name != name) {
        warnings_.push_back("The tenants '" + holder->name + "' and '" + name +
                            "' share a key; it belongs to the first.");
    }
}

const tenant *tenant_table::find_by_key(std::string_view key) const {
    const auto [first, last] = by_key_hash_.equal_range(key_hash(key));
    for (auto entry = first; entry != last; ++entry) {
        if (equal_keys(entry->second.key, key)) {
            return &tenants_[entry->second.tenant];
        }
    }
    return nullptr;
}

const tenant *tenant_table::find(std::string_view name) const {
    const auto found = by_name_.find(std::string(name));
    return found == by_name_.end() ? nullptr : &tenants_[found->second];
}

} // namespace chalkshed
