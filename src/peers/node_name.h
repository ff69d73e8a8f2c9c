// Extracts the name of a node from the name of its session.
#pragma once

#include <string>

namespace chalkshed {

// Sessions are named NODE#START. @return NODE.
inline std::string node_of(const std::string& session) {
  return session.substr(0, session.rfind('#'));
}

}  // namespace chalkshed
