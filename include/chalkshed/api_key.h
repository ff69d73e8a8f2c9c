#ifndef CHALKSHED_API_KEY_H
#define CHALKSHED_API_KEY_H

/** \file
 * Handling of API keys sent by callers. A key is a secret: nothing here logs or stores one, and
 * keys are compared in constant time. */

#include <string_view>

namespace chalkshed {

/** Compares in constant time, so that the time reveals nothing about the keys. */
bool equal_keys(std::string_view left, std::string_view right);

/** \return The token of an Authorization header with the Bearer scheme; empty if there is none. */
std::string_view bearer_token(std::string_view authorization);

} // namespace chalkshed

#endif
