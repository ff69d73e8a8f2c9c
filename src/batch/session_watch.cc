#include "src/batch/session_watch.h"

namespace chalkshed {

void SessionWatch::watch(const std::string& session) {
  if (!is_dead(session)) {
    observations_.try_emplace(session);
  }
}

std::set<std::string> SessionWatch::watched() const {
  std::set<std::string> sessions;
  for (const auto& [session, observation] : observations_) {
    sessions.insert(session);
  }
  return sessions;
}

std::vector<SessionWatch::Expired> SessionWatch::observe(const std::set<std::string>& queried,
                                                         const std::vector<Row>& rows,
                                                         MonotonicTime now) {
  std::vector<Expired> expired;
  std::set<std::string> missing = queried;
  for (const Row& row : rows) {
    missing.erase(row.key);
    if (is_dead(row.key)) {
      continue;
    }
    Observation& observation = observations_[row.key];
    if (observation.version != row.version) {
      observation = {row.version, now};
      continue;
    }
    const auto session = decode_session(row.value);
    if (!session) {
      continue;
    }
    const Duration runs_out = Duration(static_cast<int64_t>(session->lease_us)) + margin_;
    const Duration overdue = now - observation.first_seen - runs_out;
    if (overdue > Duration(0)) {
      expired.push_back({row.key, row.version, overdue});
    }
  }
  for (const std::string& session : missing) {
    mark_dead(session);
  }
  return expired;
}

void SessionWatch::mark_dead(const std::string& session) {
  observations_.erase(session);
  dead_.insert(session);
}

void SessionWatch::retain(const std::set<std::string>& sessions) {
  std::erase_if(dead_, [&](const std::string& session) { return !sessions.contains(session); });
}

}  // namespace chalkshed
