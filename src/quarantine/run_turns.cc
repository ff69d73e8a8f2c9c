#include "chalkshed/run_turns.h"

#include <algorithm>

#include "chalkshed/request_digest.h"
#include "src/core/digest.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

// Upper bound on the time for which a peer's message may block a content.
constexpr Duration kMaxWait = std::chrono::seconds(1);

} // namespace

run_turns::run_turns(TimeSource &time_source, DatagramTransport &datagrams, Logger &logger,
                     const relay_candidate &own, const run_turns_knobs &knobs)
    : time_source_(time_source), datagrams_(datagrams), logger_(logger), node_(own.node),
      session_(own.session), knobs_(knobs), keeper_(knobs.keeper) {}

void run_turns::set_peers(const std::vector<relay_candidate> &peers) {
    peers_.clear();
    sessions_.clear();
    for (const relay_candidate &candidate : peers) {
        if (!candidate.address.ip.empty() && candidate.fit && !candidate.lapsed) {
            sessions_[candidate.session] = peers_.size();
            peers_.push_back({candidate.node, candidate.session, candidate.address});
        }
    }
}

const run_turns::peer *run_turns::keeper_of(uint64_t digest) const {
    const uint64_t seed = content_hash(digest_text(digest));
    uint64_t most = content_hash(node_, seed);
    const peer *keeper = nullptr;
    for (const peer &candidate : peers_) {
        const uint64_t rank = content_hash(candidate.node, seed);
        if (rank > most) {
            most = rank;
            keeper = &candidate;
        }
    }
    return keeper;
}

run_turns::turn_request &run_turns::request_for(uint64_t digest, MonotonicTime now) {
    const Duration forgotten = knobs_.keeper.idle_timeout;
    std::erase_if(requests_,
                  [&](const auto &entry) { return now - entry.second.asked > forgotten; });
    const auto [entry, is_new] = requests_.try_emplace(digest);
    if (is_new) {
        entry->second.first = now;
    }
    return entry->second;
}

bool run_turns::take(uint64_t digest, MonotonicTime not_before) {
    const MonotonicTime now = time_source_.monotonic_now();
    const peer *keeper = keeper_of(digest);
    if (keeper == nullptr) {
        return keeper_.ask(digest, session_, not_before, now, now);
    }
    turn_request &asked = request_for(digest, now);
    if (asked.granted != MonotonicTime{} && now - asked.granted < knobs_.grant_lifetime) {
        return now >= not_before;
    }
    if (timed_out(digest, asked, now)) {
        return now >= not_before;
    }
    if (asked.asked == MonotonicTime{} || now - asked.asked >= knobs_.request_interval) {
        asked.asked = now;
        asked.keeper = keeper->session;
        asked.open_since = asked.open_since.value_or(now);
        send_entry(*keeper,
                   {turn_entry_type::kAsk, digest, std::max(not_before - now, Duration(0))}, now);
    }
    return false;
}

bool run_turns::timed_out(uint64_t digest, turn_request &asked, MonotonicTime now) {
    if (!asked.open_since || now - *asked.open_since < knobs_.answer_timeout) {
        return false;
    }
    // This node grants itself the turn.
    asked.open_since.reset();
    asked.granted = now;
    logger_.write(
        LogLevel::kInfo, "turn_unanswered",
        {{"content", digest_text(digest)}, {"asked_ms_ago", milliseconds_text(now - asked.first)}});
    return true;
}

void run_turns::note_running(uint64_t digest) {
    const MonotonicTime now = time_source_.monotonic_now();
    if (const peer *keeper = keeper_of(digest)) {
        send_entry(*keeper, {turn_entry_type::kRunning, digest, Duration(0)}, now);
    } else {
        keeper_.note_running(digest, session_, now, now);
    }
}

void run_turns::note_finished(uint64_t digest, MonotonicTime not_before) {
    requests_.erase(digest);
    const MonotonicTime now = time_source_.monotonic_now();
    if (const peer *keeper = keeper_of(digest)) {
        const Duration wait = std::max(not_before - now, Duration(0));
        send_entry(*keeper, {turn_entry_type::kOver, digest, wait}, now);
    } else {
        keeper_.note_finished(digest, session_, not_before, now);
    }
}

MonotonicTime run_turns::not_before(const turn_entry &entry, MonotonicTime now) const {
    return std::max(now + std::min(entry.wait, kMaxWait), not_before_(entry.digest));
}

void run_turns::send_entry(const peer &to, const turn_entry &entry, MonotonicTime asked) {
    datagrams_.send(to.address, encode_turn_message({session_, {entry}, asked}));
}

bool run_turns::receive(std::string_view datagram) {
    const std::optional<turn_message> message = decode_turn_message(datagram);
    if (!message) {
        return false;
    }
    const auto known = sessions_.find(message->session);
    if (known != sessions_.end()) {
        for (const turn_entry &entry : message->entries) {
            handle_entry(peers_[known->second], entry, message->asked);
        }
    }
    return true;
}

void run_turns::handle_entry(const peer &from, const turn_entry &entry, MonotonicTime asked) {
    const MonotonicTime now = time_source_.monotonic_now();
    switch (entry.type) {
    case turn_entry_type::kAsk: {
        const bool granted =
            keeper_.ask(entry.digest, from.session, not_before(entry, now), now, asked);
        send_entry(from,
                   {granted ? turn_entry_type::kGranted : turn_entry_type::kBusy, entry.digest,
                    Duration(0)},
                   asked);
        return;
    }
    case turn_entry_type::kRunning:
        keeper_.note_running(entry.digest, from.session, now, asked);
        return;
    case turn_entry_type::kOver:
        keeper_.note_finished(entry.digest, from.session, not_before(entry, now), asked);
        return;
    case turn_entry_type::kGranted:
    case turn_entry_type::kBusy:
        handle_answer(from, entry, asked);
        return;
    }
}

std::optional<MonotonicTime> run_turns::question_of(const peer &from, const turn_request &request,
                                                    MonotonicTime asked) const {
    if (from.session != request.keeper) {
        return std::nullopt;
    }
    // Older builds don't repeat the time of the question.
    const MonotonicTime question = asked == MonotonicTime{} ? request.asked : asked;
    const bool is_own = question >= request.first && question <= request.asked;
    return is_own ? std::optional(question) : std::nullopt;
}

void run_turns::handle_answer(const peer &from, const turn_entry &entry, MonotonicTime asked) {
    const auto found = requests_.find(entry.digest);
    if (found == requests_.end()) {
        return; // the request has finished meanwhile; the turn expires
    }
    turn_request &request = found->second;
    const std::optional<MonotonicTime> question = question_of(from, request, asked);
    if (!question) {
        return;
    }
    request.open_since.reset();
    if (entry.type == turn_entry_type::kGranted) {
        request.granted = std::max(request.granted, *question);
        on_granted_();
    }
}

} // namespace chalkshed
