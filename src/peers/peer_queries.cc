// Queries of PeerExchange: announced nodes, their liveness, and the selection of peers. They change
// no state except for the first lookup time of unannounced sessions.
#include <algorithm>

#include "src/core/digest.h"
#include "src/peers/node_name.h"
#include "src/peers/peer_exchange.h"

namespace chalkshed {

// Selects a random one, because a node that lacks a row is rarely the only one. Peers in this zone
// are preferred: traffic between zones is charged.
std::optional<Address> PeerExchange::peer_knowing(StoreVersion KnownVersions::*table,
                                                  StoreVersion version, uint64_t draw) const {
  std::vector<const Peer*> near_ones;
  std::vector<const Peer*> far_ones;
  for (const auto& [node, peer] : peers_) {
    if (peer.known.*table >= version && !peer.lapsed && !peer.address.ip.empty()) {
      (near(peer) ? near_ones : far_ones).push_back(&peer);
    }
  }
  const std::vector<const Peer*>& candidates = near_ones.empty() ? far_ones : near_ones;
  return candidates.empty() ? std::nullopt
                            : std::optional(candidates[draw % candidates.size()]->address);
}

std::optional<Address> PeerExchange::address_of(const std::string& session) const {
  const auto peer = peers_.find(node_of(session));
  const bool known = peer != peers_.end() && peer->second.session == session;
  return known && !peer->second.address.ip.empty() ? std::optional(peer->second.address)
                                                   : std::nullopt;
}

std::vector<Address> PeerExchange::zone_peers() const {
  std::vector<Address> addresses;
  for (const auto& [node, peer] : peers_) {
    if (near(peer) && !peer.lapsed && !peer.address.ip.empty()) {
      addresses.push_back(peer.address);
    }
  }
  return addresses;
}

bool PeerExchange::reports_store(MonotonicTime heard, Duration store_silence) const {
  const Duration age = time_source_.monotonic_now() - heard;
  return age <= knobs_.store_report_lifetime && store_silence < knobs_.store_contact;
}

// The store is considered down for all only while a majority of all nodes, including this one, has
// recently reported that it does not answer them. A node that is cut off receives too few
// reports for a majority, and a dead node does not prevent one. A node that started while this one
// was cut off is not announced to it, but may reach the store.
bool PeerExchange::others_may_reach_store() const {
  if (!listed_) {
    return true;
  }
  const bool unknown_reaches_it =
      std::any_of(unknown_sessions_.begin(), unknown_sessions_.end(), [&](const auto& entry) {
        return reports_store(entry.second.heard, entry.second.store_silence);
      });
  if (unknown_reaches_it) {
    return true;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  size_t nodes = 1;
  size_t without_store = 1;
  for (const auto& [node, peer] : peers_) {
    if (peer.session.empty()) {
      continue;
    }
    ++nodes;
    if (reports_store(peer.last_heard, peer.store_silence)) {
      return true;
    }
    const bool fresh = now - peer.last_heard <= knobs_.store_report_lifetime;
    without_store += fresh ? 1 : 0;
  }
  return 2 * without_store <= nodes;
}

std::optional<size_t> PeerExchange::announced_rank(const std::string& key) const {
  if (!listed_) {
    return std::nullopt;
  }
  const uint64_t seed = content_hash(key);
  const uint64_t own = content_hash(identity_.node, seed);
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return !entry.second.session.empty() && content_hash(entry.first, seed) > own;
  });
}

// Selects of two random peers the one that the store answered most recently: a peer that has just
// lost the store still looks healthy, and not all nodes should select the same peer.
std::optional<Address> PeerExchange::peer_with_store(uint64_t seed) const {
  struct Candidate {
    const Peer* peer = nullptr;
    uint64_t draw = 0;
    Duration store_silence{0};
  };
  const MonotonicTime now = time_source_.monotonic_now();
  std::vector<Candidate> candidates;
  for (const auto& [node, peer] : peers_) {
    const Duration silence = peer.store_silence + (now - peer.last_heard);
    const bool serves = peer.caller_port != 0 && !peer.draining && !lapsed(peer);
    if (serves && silence < knobs_.store_contact) {
      candidates.push_back({&peer, content_hash(node, seed), silence});
    }
  }
  constexpr size_t kSampleSize = 2;
  const auto sample_end =
      candidates.begin() + static_cast<ptrdiff_t>(std::min(kSampleSize, candidates.size()));
  std::partial_sort(candidates.begin(), sample_end, candidates.end(),
                    [](const Candidate& a, const Candidate& b) { return a.draw < b.draw; });
  const auto best = std::min_element(
      candidates.begin(), sample_end,
      [](const Candidate& a, const Candidate& b) { return a.store_silence < b.store_silence; });
  if (best == sample_end) {
    return std::nullopt;
  }
  return Address{best->peer->address.ip, best->peer->caller_port};
}

// Once known, loads stay known: later gaps are bridged by this node's own observations.
bool PeerExchange::loads_known() {
  const MonotonicTime now = time_source_.monotonic_now();
  constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
  constexpr Duration kAnnouncementLag = std::chrono::milliseconds(300);
  if (loads_known_ || !listed_ || now - loads_checked_ < kCheckInterval) {
    return loads_known_;
  }
  loads_checked_ = now;
  if (peers_.empty()) {
    return loads_known_ = true;
  }
  // The others ignore the loads of a node until its announcement has reached them.
  const Duration until_known = relayed() ? kAnnouncementLag : Duration(0);
  if (!own_announced_ || now - *own_announced_ < until_known) {
    return false;
  }
  if (is_relay_member()) {
    loads_known_ = relay_.hears_relay();
    return loads_known_;
  }
  size_t heard = 0;
  size_t reporting = 0;
  for (const auto& [node, peer] : peers_) {
    if (!peer.session.empty() && (!relayed() || near(peer))) {
      ++reporting;
      heard += peer.last_heard != MonotonicTime{} ? 1 : 0;
    }
  }
  // Some of the announced nodes may not have started again.
  constexpr double kMost = 0.75;
  loads_known_ = static_cast<double>(heard) >= kMost * static_cast<double>(reporting);
  return loads_known_;
}

size_t PeerExchange::rank(const std::string& key) const {
  const uint64_t seed = content_hash(key);
  const uint64_t own = content_hash(identity_.node, seed);
  return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return !peer.draining && !peer.session.empty() && !lapsed(peer) &&
           content_hash(entry.first, seed) > own;
  }));
}

bool PeerExchange::replaced(const std::string& session, StoreVersion seen) const {
  const auto peer = peers_.find(node_of(session));
  return peer != peers_.end() && peer->second.session != session &&
         seen < peer->second.announcement;
}

bool PeerExchange::alive(const std::string& session, StoreVersion seen) {
  if (session == identity_.session) {
    return true;
  }
  const auto peer = peers_.find(node_of(session));
  if (peer != peers_.end() && peer->second.session == session) {
    return !lapsed(peer->second);
  }
  const MonotonicTime now = time_source_.monotonic_now();
  // A process that sends heartbeats runs, whatever the store announces for its node.
  const auto unknown = unknown_sessions_.find(session);
  if (unknown != unknown_sessions_.end() && now - unknown->second.heard <= knobs_.lapse_after) {
    return true;
  }
  if (peer != peers_.end() && seen < peer->second.announcement) {
    return false;
  }
  // Its announcement may not have arrived yet.
  const auto [entry, is_new] = unannounced_.try_emplace(session, now);
  return now - entry->second <= knobs_.lapse_after;
}

}  // namespace chalkshed
