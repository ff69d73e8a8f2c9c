#include "chalkshed/origin_exchange.h"

#include <algorithm>

#include "src/core/call_after.h"
#include "src/core/digest.h"

namespace chalkshed {

std::vector<const relay_candidate *>
origin_holders(stream_key stream, const std::vector<relay_candidate> &candidates, size_t count) {
    struct ranked {
        uint64_t rank = 0;
        const relay_candidate *node = nullptr;
    };
    std::vector<ranked> order;
    order.reserve(candidates.size());
    for (const relay_candidate &candidate : candidates) {
        order.push_back({content_hash(candidate.node, static_cast<uint64_t>(stream)), &candidate});
    }
    std::sort(order.begin(), order.end(),
              [](const ranked &a, const ranked &b) { return a.rank > b.rank; });
    std::vector<const relay_candidate *> holders;
    std::vector<const relay_candidate *> others;
    std::set<std::string_view> zones;
    for (const ranked &each : order) {
        const bool new_zone = zones.insert(each.node->zone).second;
        (new_zone ? holders : others).push_back(each.node);
    }
    holders.insert(holders.end(), others.begin(), others.end());
    holders.resize(std::min(holders.size(), count));
    return holders;
}

origin_exchange::origin_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                                 DatagramTransport &datagrams, relay_candidate own,
                                 const origin_exchange_knobs &knobs)
    : time_source_(time_source), dispatcher_(dispatcher), datagrams_(datagrams),
      own_(std::move(own)), knobs_(knobs), nodes_({own_}),
      next_number_(content_hash(own_.session)) {}

void origin_exchange::set_peers(const std::vector<relay_candidate> &peers) {
    nodes_ = {own_};
    for (const relay_candidate &peer : peers) {
        if (!peer.address.ip.empty() && !peer.lapsed && !peer.gone) {
            nodes_.push_back(peer);
        }
    }
}

void origin_exchange::place(const std::vector<placed_origin> &origins) {
    std::map<Address, origin_message> messages;
    const auto flush = [this](const Address &to, origin_message &message) {
        datagrams_.send(to, encode_origin_message(message));
        message.placed.clear();
    };
    for (const placed_origin &origin : origins) {
        size_t copies = take_copies();
        // One more, since this node may be among them.
        for (const relay_candidate *holder : origin_holders(origin.stream, nodes_, copies + 1)) {
            if (holder->node == own_.node || copies == 0) {
                continue;
            }
            --copies;
            origin_message &message = messages[holder->address];
            message.placed.push_back(origin);
            if (message.placed.size() == kMaxPlacedOrigins) {
                flush(holder->address, message);
            }
        }
    }
    for (auto &[to, message] : messages) {
        if (!message.placed.empty()) {
            flush(to, message);
        }
    }
}

size_t origin_exchange::take_copies() {
    constexpr size_t kBytesOfCopy = 48;
    constexpr Duration kBurst = std::chrono::seconds(3);
    const MonotonicTime now = time_source_.monotonic_now();
    const size_t copies = budget_time_ <= now ? knobs_.copies : knobs_.least_copies;
    const std::chrono::duration<double> cost(static_cast<double>(copies * kBytesOfCopy) /
                                             knobs_.bytes_per_second);
    budget_time_ =
        std::max(budget_time_, now - kBurst) + std::chrono::duration_cast<Duration>(cost);
    return copies;
}

std::vector<Address> origin_exchange::asked_for(stream_key stream) const {
    const bool all = nodes_.size() <= knobs_.max_peers_all_asked + 1;
    const size_t count = all ? nodes_.size() : knobs_.copies + 1 + knobs_.more_asked;
    std::vector<Address> asked;
    for (const relay_candidate *holder : origin_holders(stream, nodes_, count)) {
        if (holder->node != own_.node) {
            asked.push_back(holder->address);
        }
    }
    return asked;
}

void origin_exchange::ask(origin_question question, on_evidence done) {
    const uint64_t number = ++next_number_;
    question.number = number;
    question.reply_to = own_.address;
    open_question &open = open_[number];
    open.question = std::move(question);
    open.asked = asked_for(open.question.stream);
    open.done = std::move(done);
    if (open.asked.empty()) {
        finish(number);
        return;
    }
    ask_unanswered(number);
}

void origin_exchange::ask_unanswered(uint64_t number) {
    open_question &open = open_.at(number);
    ++open.rounds;
    open.sent = time_source_.monotonic_now();
    send_question(open);
    call_after(dispatcher_, knobs_.repeat_after, lifetime_.guard([this, number] {
        const auto found = open_.find(number);
        if (found != open_.end()) {
            send_question(found->second);
        }
    }));
    call_after(dispatcher_, knobs_.give_up_after,
               lifetime_.guard([this, number] { give_up(number); }));
}

// If this process was stopped or had no processor time, its peers' answers were not read yet.
void origin_exchange::give_up(uint64_t number) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    const Duration late = time_source_.monotonic_now() - found->second.sent - knobs_.give_up_after;
    if (late > knobs_.longest_delay && found->second.rounds < knobs_.max_rounds) {
        ask_unanswered(number);
        return;
    }
    finish(number);
}

void origin_exchange::send_question(const open_question &open) {
    origin_message message;
    message.question = open.question;
    for (size_t index = 0; index < open.asked.size(); ++index) {
        const auto asked = static_cast<uint16_t>(index);
        if (!open.answered.contains(asked)) {
            message.question->asked = asked;
            datagrams_.send(open.asked[index], encode_origin_message(message));
        }
    }
}

bool origin_exchange::receive(std::string_view datagram) {
    const std::optional<origin_message> message = decode_origin_message(datagram);
    if (!message) {
        return false;
    }
    for (const placed_origin &origin : message->placed) {
        on_placed_(origin);
    }
    if (message->question) {
        const origin_question &question = *message->question;
        origin_message reply;
        reply.answer = {question.number, question.asked, evidence_(question)};
        datagrams_.send(question.reply_to, encode_origin_message(reply));
    }
    if (message->answer) {
        note_answer(*message->answer);
    }
    return true;
}

void origin_exchange::note_answer(const origin_answer &answer) {
    const auto found = open_.find(answer.number);
    if (found == open_.end() || !found->second.answered.insert(answer.asked).second) {
        return;
    }
    open_question &open = found->second;
    open.evidence.push_back(answer.evidence);
    if (answer.evidence.recorded != software_id::kUnknown ||
        open.answered.size() == open.asked.size()) {
        finish(answer.number);
    }
}

void origin_exchange::finish(uint64_t number) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    const open_question ended = std::move(found->second);
    open_.erase(found);
    ended.done({ended.evidence, ended.asked.size()});
}

} // namespace chalkshed
