#include "src/jobs/node_sessions.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr const char* kSessionTable = "node";

}  // namespace

NodeSessions::NodeSessions(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store,
                           Logger& logger, std::string node, std::string session,
                           std::string address, const NodeSessionKnobs& knobs)
    : time_source_(time_source),
      store_(store),
      logger_(logger),
      node_(std::move(node)),
      session_(std::move(session)),
      address_(std::move(address)),
      knobs_(knobs),
      timer_(dispatcher.create_timer([this] { beat(); })) {}

void NodeSessions::start() { beat(); }

void NodeSessions::begin_drain() {
  draining_ = true;
  beat();
}

void NodeSessions::beat() {
  timer_->enable(knobs_.renew_interval);
  const nlohmann::json value = {
      {"session", session_}, {"address", address_}, {"draining", draining_}, {"beat", beats_++}};
  StoreTransaction renewal;
  renewal.writes.push_back({{kSessionTable, "", node_}, value.dump()});
  store_.commit(std::move(renewal),
                lifetime_.guard([this](const Expected<StoreCommit>& /*commit*/) { read(); }));
}

void NodeSessions::read() {
  RangeRead range;
  range.table = kSessionTable;
  store_.read_range(std::move(range), lifetime_.guard([this](const Expected<RangePage>& page) {
    if (page) {
      handle_rows(page->rows);
    }
  }));
}

void NodeSessions::handle_rows(const std::vector<StoredRow>& rows) {
  const MonotonicTime now = time_source_.monotonic_now();
  // Time in which the store told nothing counts against nobody.
  const Duration unseen = read_once_
                              ? std::max(now - last_read_ - 2 * knobs_.renew_interval, Duration(0))
                              : Duration(0);
  for (auto& [node, entry] : entries_) {
    entry.changed = std::min(entry.changed + unseen, now);
  }
  for (const StoredRow& row : rows) {
    Entry& entry = entries_[row.key.key];
    if (row.version <= entry.version) {
      continue;
    }
    const nlohmann::json fields = nlohmann::json::parse(row.value, nullptr, false);
    if (!fields.is_object()) {
      continue;
    }
    entry.session = fields.value("session", "");
    entry.address = fields.value("address", "");
    entry.draining = fields.value("draining", false);
    entry.version = row.version;
    entry.changed = now;
  }
  for (auto& [node, entry] : entries_) {
    const bool lapsed = now - entry.changed > knobs_.lapse_after && node != node_;
    if (lapsed != entry.lapsed) {
      logger_.write(LogLevel::kInfo, lapsed ? "session_lapsed" : "session_regained",
                    {{"node", node},
                     {"session", entry.session},
                     {"store_version", std::to_string(entry.version)}});
    }
    entry.lapsed = lapsed;
  }
  last_read_ = now;
  read_once_ = true;
  if (on_read_) {
    on_read_();
  }
}

bool NodeSessions::alive(const std::string& session) const {
  if (session == session_ || !read_once_) {
    return true;
  }
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.session == session && !entry.second.lapsed;
  });
}

size_t NodeSessions::rank(const std::string& key) const {
  const uint64_t seed = content_hash(key);
  const uint64_t own = content_hash(node_, seed);
  size_t before = 0;
  for (const auto& [node, entry] : entries_) {
    const bool able = node != node_ && !entry.lapsed && !entry.draining;
    before += able && content_hash(node, seed) > own ? 1 : 0;
  }
  return before;
}

std::vector<std::string> NodeSessions::peer_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [node, entry] : entries_) {
    if (node != node_ && !entry.lapsed && !entry.address.empty()) {
      addresses.push_back(entry.address);
    }
  }
  return addresses;
}

}  // namespace chalkshed
