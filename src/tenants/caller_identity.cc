#include "chalkshed/caller_identity.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "chalkshed/api_key.h"
#include "src/core/digest.h"

namespace chalkshed {
namespace {

/** Separates a job id from the hash of its tenant; needs no escaping in URL paths. */
constexpr char kTenantSeparator = '~';
constexpr size_t kHashDigits = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

/** \return Position of the separator if the text has the format of a tenant's stored job id. */
std::optional<size_t> find_tenant_separator(std::string_view id) {
    if (id.size() <= kHashDigits || id[id.size() - kHashDigits - 1] != kTenantSeparator) {
        return std::nullopt;
    }
    const size_t separator = id.size() - kHashDigits - 1;
    const bool digits = id.find_first_not_of(kHexDigits, separator + 1) == std::string_view::npos;
    return digits ? std::optional(separator) : std::nullopt;
}

tl::unexpected<Error> reject(std::string message) {
    return tl::unexpected(not_run(ErrorKind::kUnauthenticated, std::move(message),
                                  "send 'Authorization: Bearer <API key>' with a key that the "
                                  "operator issued to you"));
}

/** Whether anonymous jobs are possible, because a batch route is open. */
bool allows_anonymous_jobs(const RouteTable &table) {
    return std::any_of(table.routes().begin(), table.routes().end(), [](const Route &route) {
        return route.kind == RouteKind::kBatch && route.open;
    });
}

} // namespace

Expected<caller_identity> identify_caller(const RouteTable &table, const Route *route,
                                          std::string_view authorization) {
    if (!table.tenants().enabled()) {
        return caller_identity{};
    }
    const bool open = route != nullptr ? route->open : allows_anonymous_jobs(table);
    const std::string_view key = bearer_token(authorization);
    const tenant *holder = key.empty() ? nullptr : table.tenants().find_by_key(key);
    if (holder != nullptr) {
        return caller_identity{holder->name, holder->priority};
    }
    if (open) {
        return caller_identity{};
    }
    return reject(key.empty() ? "the request has no API key" : "the API key is unknown");
}

std::optional<std::string> stored_job_id(std::string_view tenant, std::string_view id) {
    if (id.empty() || find_tenant_separator(id)) {
        return std::nullopt;
    }
    std::string stored(id);
    if (!tenant.empty()) {
        std::array<char, 24> suffix{};
        std::snprintf(suffix.data(), suffix.size(), "%c%016llx", kTenantSeparator,
                      static_cast<unsigned long long>(content_hash(tenant)));
        stored += suffix.data();
    }
    return stored;
}

std::string caller_job_id(std::string_view stored) {
    return std::string(stored.substr(0, find_tenant_separator(stored).value_or(stored.size())));
}

} // namespace chalkshed
