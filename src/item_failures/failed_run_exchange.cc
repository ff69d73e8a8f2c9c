#include "chalkshed/failed_run_exchange.h"

#include <algorithm>
#include <utility>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

/** How likely a peer is to take a job over: the most likely first. */
enum class presence { kLive, kLapsed, kGone };

presence presence_of(const relay_candidate &peer) {
    if (peer.gone) {
        return presence::kGone;
    }
    return peer.lapsed ? presence::kLapsed : presence::kLive;
}

} // namespace

failed_run_exchange::failed_run_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                                         DatagramTransport &datagrams, MetricsRegistry &metrics,
                                         const failed_run_exchange_knobs &knobs)
    : time_source_(time_source), dispatcher_(dispatcher), datagrams_(datagrams), metrics_(metrics),
      knobs_(knobs), known_(knobs.memory),
      repeat_timer_(dispatcher.create_timer([this] { flush(); })) {}

void failed_run_exchange::set_peers(const std::vector<relay_candidate> &peers) {
    peers_.clear();
    std::set<std::string> sessions;
    std::set<Address> appeared;
    for (const relay_candidate &peer : peers) {
        if (peer.address.ip.empty()) {
            continue;
        }
        peers_.push_back(peer);
        sessions.insert(peer.session);
        if (!seen_sessions_.contains(peer.session)) {
            appeared.insert(peer.address);
        }
    }
    seen_sessions_ = std::move(sessions);
    if (!appeared.empty()) {
        tell(appeared);
    }
}

void failed_run_exchange::tell(const std::set<Address> &appeared) {
    runs_by_peer told;
    for (const failed_run &run : known_.unrecorded()) {
        for (const Address &holder : holders_of(run.job)) {
            if (appeared.contains(holder)) {
                told[holder].push_back(run);
            }
        }
    }
    send(told);
}

// Jobs are taken over in the order of PeerExchange::rank(), by nodes that have not lapsed. All
// seem to be gone after this process was stopped, and to have lapsed while the store is away.
std::vector<Address> failed_run_exchange::holders_of(uint64_t job) const {
    struct ranked_peer {
        presence state = presence::kLive;
        uint64_t weight = 0;
        const Address *address = nullptr;
    };
    std::vector<ranked_peer> ranked;
    ranked.reserve(peers_.size());
    for (const relay_candidate &peer : peers_) {
        ranked.push_back({presence_of(peer), content_hash(peer.node, job), &peer.address});
    }
    const size_t count = std::min(knobs_.holders, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                      [](const ranked_peer &a, const ranked_peer &b) {
                          return a.state != b.state ? a.state < b.state : a.weight > b.weight;
                      });
    std::vector<Address> holders;
    for (size_t rank = 0; rank < count; ++rank) {
        holders.push_back(*ranked[rank].address);
    }
    return holders;
}

void failed_run_exchange::announce(const failed_run &run) {
    const MonotonicTime now = time_source_.monotonic_now();
    known_.add(run, now);
    own_[run.run] = {run, knobs_.first_repeat_delay, now};
    flush_soon();
}

void failed_run_exchange::note_recorded(const failed_run &run) {
    failed_run recorded = run;
    recorded.recorded = true;
    known_.add(recorded, time_source_.monotonic_now());
    own_.erase(run.run);
    recorded_.push_back(recorded);
    flush_soon();
}

std::vector<failed_run> failed_run_exchange::runs_of(uint64_t item) const {
    return known_.of_item(item);
}

bool failed_run_exchange::receive(std::string_view datagram) {
    const std::optional<std::vector<failed_run>> runs = decode_failed_runs(datagram);
    if (!runs) {
        return false;
    }
    const MonotonicTime now = time_source_.monotonic_now();
    for (const failed_run &run : *runs) {
        known_.add(run, now);
    }
    update_gauge();
    return true;
}

// Items of a job may fail at the same moment: they share a datagram.
void failed_run_exchange::flush_soon() {
    update_gauge();
    if (!std::exchange(flush_posted_, true)) {
        dispatcher_.post(lifetime_.guard([this] {
            flush_posted_ = false;
            flush();
        }));
    }
}

void failed_run_exchange::flush() {
    const MonotonicTime now = time_source_.monotonic_now();
    runs_by_peer told;
    for (auto &[number, own] : own_) {
        if (own.due > now) {
            continue;
        }
        known_.add(own.run, now);
        own.due = now + own.delay;
        own.delay = std::min(2 * own.delay, knobs_.max_repeat_delay);
        for (const Address &holder : holders_of(own.run.job)) {
            told[holder].push_back(own.run);
        }
    }
    for (const failed_run &run : std::exchange(recorded_, {})) {
        for (const Address &holder : holders_of(run.job)) {
            told[holder].push_back(run);
        }
    }
    send(told);
    schedule_repeat();
}

void failed_run_exchange::schedule_repeat() {
    if (own_.empty()) {
        repeat_timer_->disable();
        return;
    }
    const auto next = std::min_element(own_.begin(), own_.end(), [](const auto &a, const auto &b) {
        return a.second.due < b.second.due;
    });
    const Duration delay = next->second.due - time_source_.monotonic_now();
    repeat_timer_->enable(std::max(delay, Duration(0)));
}

void failed_run_exchange::send(const runs_by_peer &told) {
    for (const auto &[peer, runs] : told) {
        for (size_t first = 0; first < runs.size(); first += kMaxFailedRunEntries) {
            const auto begin = runs.begin() + static_cast<ptrdiff_t>(first);
            const size_t count = std::min(kMaxFailedRunEntries, runs.size() - first);
            datagrams_.send(peer,
                            encode_failed_runs({begin, begin + static_cast<ptrdiff_t>(count)}));
        }
    }
}

void failed_run_exchange::update_gauge() {
    metrics_
        .gauge("chalkshed_known_failed_runs",
               "Failed runs of batch items that this node has heard of in the last minutes.", {})
        .set(static_cast<double>(known_.size()));
}

} // namespace chalkshed
