#include "chalkshed/api_key.h"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace chalkshed {
namespace {

constexpr std::string_view kBearerScheme = "bearer ";

} // namespace

bool equal_keys(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    }
    return difference == 0;
}

std::string_view bearer_token(std::string_view authorization) {
    const bool has_scheme =
        authorization.size() > kBearerScheme.size() &&
        std::equal(kBearerScheme.begin(), kBearerScheme.end(), authorization.begin(),
                   [](char expected, char actual) {
                       return expected == std::tolower(static_cast<unsigned char>(actual));
                   });
    return has_scheme ? authorization.substr(kBearerScheme.size()) : std::string_view();
}

} // namespace chalkshed
