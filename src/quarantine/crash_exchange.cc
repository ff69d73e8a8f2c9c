#include "chalkshed/crash_exchange.h"

#include <algorithm>

#include "src/core/digest.h"

namespace chalkshed {

crash_exchange::crash_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                               DatagramTransport &datagrams, request_quarantine &quarantine,
                               std::string own_node, const crash_exchange_knobs &knobs)
    : time_source_(time_source), datagrams_(datagrams), quarantine_(quarantine),
      own_node_(std::move(own_node)), knobs_(knobs),
      timer_(dispatcher.create_timer([this] { flush(); })) {
    quarantine_.set_on_suspected([this](const broken_run &run) {
        enqueue({{}, {}, {run}}, Duration(0), 1); // sent again as broken
    });
    quarantine_.set_on_broken([this](const broken_run &run) {
        enqueue({{run}, {}, {}}, knobs_.batch_delay, knobs_.max_sends);
    });
    quarantine_.set_on_answered([this](const answered_run &run) {
        const bool part = run.suspect == crash_suspect::kPart;
        enqueue({{}, {run}, {}}, part ? proof_delay(run) : knobs_.batch_delay, knobs_.max_sends);
    });
}

Duration crash_exchange::proof_delay(const answered_run &run) const {
    const Duration longest = knobs_.proof_delay_per_peer * static_cast<int64_t>(peers_.size() + 1);
    const uint64_t drawn = content_hash(own_node_, run.digest);
    return Duration(static_cast<int64_t>(drawn % static_cast<uint64_t>(longest.count())));
}

bool crash_exchange::is_cleared(const crash_message &message) const {
    const bool part =
        !message.broken.empty() && message.broken.front().suspect == crash_suspect::kPart;
    return part && !quarantine_.evidence().lost(message.broken.front());
}

void crash_exchange::drop_pending_proof(const answered_run &run) {
    std::erase_if(pending_, [&](const pending_entry &entry) {
        const bool proof = !entry.message.answered.empty() && entry.times_sent == 0;
        return proof && entry.message.answered.front().digest == run.digest &&
               entry.message.answered.front().software == run.software;
    });
}

void crash_exchange::set_peers(const std::vector<relay_candidate> &peers) {
    peers_.clear();
    for (const relay_candidate &peer : peers) {
        if (!peer.address.ip.empty() && !peer.gone) {
            peers_.push_back(peer.address);
        }
    }
}

bool crash_exchange::receive(std::string_view datagram) {
    const std::optional<crash_message> message =
        decode_crash_message(datagram, time_source_.monotonic_now());
    if (!message) {
        return false;
    }
    for (const broken_run &run : message->broken) {
        quarantine_.learn_broken(run);
    }
    for (const broken_run &run : message->suspected) {
        quarantine_.learn_broken(run);
    }
    for (const answered_run &run : message->answered) {
        quarantine_.learn_answered(run);
        if (run.suspect == crash_suspect::kPart) {
            drop_pending_proof(run);
        }
    }
    return true;
}

void crash_exchange::enqueue(crash_message message, Duration batch_delay, int sends) {
    if (pending_.size() >= knobs_.max_pending) {
        pending_.pop_front();
    }
    pending_.push_back({std::move(message), 0, sends, time_source_.monotonic_now() + batch_delay});
    schedule();
}

MonotonicTime crash_exchange::next_flush_time() const {
    constexpr Duration kBurst = std::chrono::seconds(1);
    return budget_time_ - kBurst;
}

void crash_exchange::schedule() {
    if (pending_.empty()) {
        return;
    }
    const auto first = std::min_element(
        pending_.begin(), pending_.end(),
        [](const pending_entry &a, const pending_entry &b) { return a.due < b.due; });
    const MonotonicTime at = std::max(first->due, next_flush_time());
    timer_->enable(std::max(at - time_source_.monotonic_now(), Duration(0)));
}

void crash_exchange::flush() {
    const MonotonicTime now = time_source_.monotonic_now();
    crash_message message;
    size_t entries = 0;
    for (pending_entry &entry : pending_) {
        if (entry.due > now || entries == kMaxCrashEntries) {
            continue;
        }
        if (entry.times_sent > 0 && is_cleared(entry.message)) {
            entry.times_sent = entry.sends;
            continue;
        }
        ++entries;
        const crash_message &source = entry.message;
        message.broken.insert(message.broken.end(), source.broken.begin(), source.broken.end());
        message.answered.insert(message.answered.end(), source.answered.begin(),
                                source.answered.end());
        message.suspected.insert(message.suspected.end(), source.suspected.begin(),
                                 source.suspected.end());
        entry.due = now + knobs_.first_repeat_delay * (1 << entry.times_sent);
        ++entry.times_sent;
    }
    std::erase_if(pending_,
                  [&](const pending_entry &entry) { return entry.times_sent >= entry.sends; });
    if (entries > 0) {
        const std::chrono::duration<double> cost(static_cast<double>(peers_.size()) /
                                                 knobs_.datagrams_per_second);
        budget_time_ = std::max(budget_time_, now) + std::chrono::duration_cast<Duration>(cost);
        const std::string datagram = encode_crash_message(message, now);
        for (const Address &peer : peers_) {
            datagrams_.send(peer, datagram);
        }
    }
    schedule();
}

} // namespace chalkshed
