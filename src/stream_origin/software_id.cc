#include "chalkshed/software_id.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "src/core/digest.h"

namespace chalkshed {

software_id software_of(std::string_view service, std::string_view version,
                        std::string_view incarnation) {
    constexpr uint64_t kOfVersion = 1;
    constexpr uint64_t kOfIncarnation = 2;
    const uint64_t seed = content_hash(service, version.empty() ? kOfIncarnation : kOfVersion);
    const uint64_t hash = content_hash(version.empty() ? incarnation : version, seed);
    return static_cast<software_id>(hash == 0 ? 1 : hash);
}

std::string software_text(software_id software) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(software));
    return text.data();
}

software_id parse_software(std::string_view text) {
    constexpr size_t kDigits = 16;
    constexpr int kBase = 16;
    uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, kBase);
    const bool whole = text.size() == kDigits && parsed.ec == std::errc() &&
                       parsed.ptr == text.data() + text.size();
    return whole ? static_cast<software_id>(value) : software_id::kUnknown;
}

} // namespace chalkshed
