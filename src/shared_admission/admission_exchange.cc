#include "chalkshed/admission_exchange.h"

#include <algorithm>
#include <set>

namespace chalkshed {
namespace {

/** A value that this many later messages of its sender don't name is gone: one message may have
 * lost a page. */
constexpr uint64_t kMaxMissed = 2;

} // namespace

admission_exchange::admission_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                                       DatagramTransport &datagrams, shared_admission &admission,
                                       Logger &logger, relay_candidate own,
                                       const admission_exchange_knobs &knobs)
    : time_source_(time_source), datagrams_(datagrams), admission_(admission), logger_(logger),
      own_(std::move(own)), knobs_(knobs), levels_(knobs.levels),
      timer_(dispatcher.create_timer([this] { tick(); })) {
    admission_.set_on_active(lifetime_.guard([this] { wake(knobs_.first_delay); }));
}

void admission_exchange::set_peers(std::vector<relay_candidate> peers) {
    peers_ = std::move(peers);
    zone_of_session_.clear();
    zone_nodes_.clear();
    for (const relay_candidate &peer : peers_) {
        zone_of_session_[peer.session] = peer.zone;
        if (peer.zone == own_.zone && !peer.address.ip.empty()) {
            zone_nodes_.push_back(peer.address);
        }
    }
    std::erase_if(views_,
                  [this](const auto &each) { return !zone_of_session_.contains(each.first); });
    const auto gone = static_cast<size_t>(std::count_if(
        peers_.begin(), peers_.end(), [](const relay_candidate &peer) { return peer.gone; }));
    // If most nodes are gone, this node is more likely the one that is cut off.
    const bool majority = 2 * gone < peers_.size();
    nodes_ = peers_.size() + 1 - (majority ? gone : 0);
    admission_.set_nodes(nodes_);
    update_role();
}

void admission_exchange::update_role() {
    const bool was_relaying = relaying();
    rank_ = SIZE_MAX;
    report_to_.clear();
    other_relays_.clear();
    const auto relays = choose_relays(peers_, own_, own_.zone, knobs_.relays_per_zone);
    for (size_t rank = 0; rank < relays.size(); ++rank) {
        if (relays[rank]->session == own_.session) {
            rank_ = rank;
        } else {
            report_to_.push_back(relays[rank]->address);
        }
    }
    std::set<std::string> zones;
    for (const relay_candidate &peer : peers_) {
        if (peer.zone != own_.zone && zones.insert(peer.zone).second) {
            for (const relay_candidate *relay :
                 choose_relays(peers_, own_, peer.zone, knobs_.relays_per_zone)) {
                other_relays_.push_back(relay->address);
            }
        }
    }
    if (relaying() && !was_relaying) {
        start_relaying();
    }
}

/** Begins with what the last view said, and with the values that nodes report from now on. */
void admission_exchange::start_relaying() {
    const MonotonicTime now = time_source_.monotonic_now();
    reports_ = {};
    sums_ = {};
    zone_ = {};
    all_ = {};
    contents_.clear();
    levels_ = admission_levels(knobs_.levels);
    first_relay_heard_ = now;
    overloaded_since_.reset();
    for (const service_capacity &each : admission_.overloaded_services()) {
        levels_.adopt(each, now);
        overloaded_since_ = now;
    }
    logger_.write(
        LogLevel::kInfo, "admission_relay_began",
        {{"rank", std::to_string(rank_)}, {"overloaded", overloaded_since_ ? "yes" : "no"}});
    if (overloaded_since_) {
        wake(knobs_.first_delay);
    }
}

bool admission_exchange::is_silent(MonotonicTime heard) const {
    return time_source_.monotonic_now() - heard > knobs_.silence_timeout;
}

void admission_exchange::wake(Duration delay) {
    if (!timer_->enabled()) {
        first_relay_heard_ = time_source_.monotonic_now(); // it had nothing to send so far
        timer_->enable(delay);
    }
}

Duration admission_exchange::relay_interval() const {
    const std::chrono::duration<double> paced(
        static_cast<double>(zone_nodes_.size() + other_relays_.size()) /
        knobs_.datagrams_per_second);
    return std::max(knobs_.interval, std::chrono::duration_cast<Duration>(paced));
}

void admission_exchange::tick() {
    const bool active = admission_.active();
    if (active) {
        report();
    }
    const MonotonicTime now = time_source_.monotonic_now();
    if (relaying() && now - relayed_ >= relay_interval()) {
        relayed_ = now;
        relay();
    }
    const bool busy = levels_.any() || !reports_.sources.empty() || !sums_.sources.empty();
    if (active || (relaying() && busy)) {
        timer_->enable(knobs_.interval);
    }
}

void admission_exchange::report() {
    admission_message report = admission_.make_report();
    report.session = own_.session;
    if (relaying()) {
        apply_counts(reports_, own_.session, report, true);
        pass_on(report, true);
    }
    for (const admission_message &page : split_admission_message(report)) {
        const std::string datagram = encode_admission_message(page);
        for (const Address &relay : report_to_) {
            datagrams_.send(relay, datagram);
        }
    }
}

template <typename Key, typename Count>
void admission_exchange::replace(std::map<Key, timed_count<Count>> &known, const Key &key,
                                 const Count &count, uint64_t sequence, bool zone_also) {
    const auto [entry, is_new] = known.try_emplace(key);
    if (!is_new) {
        all_.add(entry->second.count, -1);
        if (zone_also) {
            zone_.add(entry->second.count, -1);
        }
    }
    entry->second = {count, sequence};
    all_.add(count, 1);
    if (zone_also) {
        zone_.add(count, 1);
    }
}

template <typename Key, typename Count>
void admission_exchange::remove_old(std::map<Key, timed_count<Count>> &known, uint64_t before,
                                    bool zone_also) {
    std::erase_if(known, [&](const auto &each) {
        if (each.second.sequence >= before) {
            return false;
        }
        all_.add(each.second.count, -1);
        if (zone_also) {
            zone_.add(each.second.count, -1);
        }
        return true;
    });
}

void admission_exchange::apply_counts(source_group &group, const std::string &name,
                                      const admission_message &message, bool zone_also) {
    const auto [entry, is_new] = group.sources.try_emplace(name);
    counted_source &source = entry->second;
    if (!is_new && source.session != message.session) {
        // Another relay has taken over the zone, or is giving it back. The sums of the two have
        // their own sequences.
        if (time_source_.monotonic_now() - source.heard < 3 * knobs_.interval) {
            return;
        }
        remove_all(source, zone_also);
        source.sequence = 0;
    }
    source.session = message.session;
    if (is_new) {
        source.place = group.order.insert(group.order.end(), name);
    } else {
        group.nodes -= source.nodes;
        group.order.splice(group.order.end(), group.order, source.place);
    }
    source.nodes = std::max<uint16_t>(message.nodes, 1);
    group.nodes += source.nodes;
    source.heard = time_source_.monotonic_now();
    if (message.sequence < source.sequence) {
        return; // reordered in transit
    }
    source.sequence = message.sequence;
    for (const admission_count &count : message.counts) {
        replace(source.counts, count.key, count, message.sequence, zone_also);
    }
    for (const served_count &count : message.served) {
        replace(source.served, count.service, count, message.sequence, zone_also);
    }
    if (message.sequence > kMaxMissed) {
        remove_old(source.counts, message.sequence - kMaxMissed, zone_also);
        remove_old(source.served, message.sequence - kMaxMissed, zone_also);
    }
}

void admission_exchange::remove_all(counted_source &source, bool zone_also) {
    remove_old(source.counts, UINT64_MAX, zone_also);
    remove_old(source.served, UINT64_MAX, zone_also);
}

void admission_exchange::expire(source_group &group, bool zone_also) {
    while (!group.order.empty()) {
        const auto oldest = group.sources.find(group.order.front());
        if (!is_silent(oldest->second.heard)) {
            return;
        }
        remove_all(oldest->second, zone_also);
        group.nodes -= oldest->second.nodes;
        group.sources.erase(oldest);
        group.order.pop_front();
    }
}

/** \param to_zones Whether it goes to the relays of other zones. */
void admission_exchange::pass_on(const admission_message &message, bool to_zones) {
    const MonotonicTime now = time_source_.monotonic_now();
    for (const refused_content &each : message.contents) {
        if (contents_.size() < shared_admission_knobs{}.max_contents) {
            contents_.push_back({each.content, now - each.age, knobs_.content_repeats,
                                 to_zones ? knobs_.content_repeats : 0});
        }
    }
}

std::vector<refused_content> admission_exchange::next_contents(uint32_t passed_content::*left) {
    const MonotonicTime now = time_source_.monotonic_now();
    std::vector<refused_content> next;
    for (passed_content &each : contents_) {
        if (each.*left > 0 && next.size() < knobs_.max_contents_in_message) {
            --(each.*left);
            next.push_back({each.content, now - each.refused});
        }
    }
    return next;
}

double admission_exchange::coverage() {
    const bool own_counted = reports_.sources.contains(own_.session);
    const auto counted = static_cast<double>(reports_.nodes + sums_.nodes + (own_counted ? 0 : 1));
    const bool settled =
        overloaded_since_ && time_source_.monotonic_now() - *overloaded_since_ > knobs_.report_time;
    const double share = counted / std::max(static_cast<double>(nodes_), counted);
    return settled ? std::min(1.0, share + knobs_.uncounted_share) : 1.0;
}

void admission_exchange::relay() {
    const MonotonicTime now = time_source_.monotonic_now();
    expire(reports_, true);
    expire(sums_, false);
    admission_message view;
    view.kind = admission_message_kind::kView;
    view.session = own_.session;
    levels_.fill(
        view, all_, coverage(), [this](uint32_t service) { return admission_.slots_of(service); },
        now);
    const bool overloaded =
        std::any_of(view.services.begin(), view.services.end(),
                    [](const service_capacity &each) { return each.overloaded; });
    overloaded_since_ =
        overloaded ? overloaded_since_.value_or(now) : std::optional<MonotonicTime>();
    const bool sends = rank_ == 0 || is_silent(first_relay_heard_);
    if (!levels_.any() && reports_.sources.empty()) {
        first_relay_heard_ = now; // the first relay has nothing to send
    }
    view.contents = next_contents(&passed_content::to_nodes);
    admission_.apply_view(view);
    if (sends && (!view.services.empty() || !view.contents.empty())) {
        send_views(view);
    }
    if (sends && !reports_.sources.empty()) {
        send_zone_sum(view.services);
    }
    std::erase_if(contents_, [sends](const passed_content &each) {
        return each.to_nodes == 0 && (each.to_zones == 0 || !sends);
    });
}

void admission_exchange::send_views(const admission_message &view) {
    admission_message whole = view;
    whole.sequence = ++views_sent_;
    for (const admission_message &page : split_admission_message(whole)) {
        const std::string datagram = encode_admission_message(page);
        for (const Address &node : zone_nodes_) {
            datagrams_.send(node, datagram);
        }
    }
}

void admission_exchange::send_zone_sum(const std::vector<service_capacity> &services) {
    admission_message sum;
    sum.kind = admission_message_kind::kZoneSum;
    sum.session = own_.session;
    sum.sequence = ++sums_sent_;
    sum.nodes = static_cast<uint16_t>(std::min<size_t>(reports_.nodes, UINT16_MAX));
    const auto units = [](int64_t value) {
        return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, UINT32_MAX));
    };
    for (const auto &[key, demand] : zone_.demands()) {
        sum.counts.push_back({key, units(demand.arrived), units(demand.recent),
                              units(demand.admitted), units(demand.waiting)});
    }
    for (const auto &[service, served] : zone_.services()) {
        sum.served.push_back({service, units(served.ended), units(served.busy)});
    }
    sum.services = services;
    sum.contents = next_contents(&passed_content::to_zones);
    for (const admission_message &page : split_admission_message(sum)) {
        const std::string datagram = encode_admission_message(page);
        for (const Address &relay : other_relays_) {
            datagrams_.send(relay, datagram);
        }
    }
}

void admission_exchange::apply_view(const admission_message &view) {
    uint64_t &newest = views_[view.session];
    if (view.sequence < newest) {
        return; // reordered in transit
    }
    newest = view.sequence;
    first_relay_heard_ = time_source_.monotonic_now();
    if (!relaying()) {
        admission_.apply_view(view);
    }
}

bool admission_exchange::receive(std::string_view datagram) {
    const std::optional<admission_message> message = decode_admission_message(datagram);
    if (!message) {
        return false;
    }
    const auto sender = zone_of_session_.find(message->session);
    if (sender == zone_of_session_.end()) {
        return true; // its announcement hasn't arrived yet, or its session has ended
    }
    const bool same_zone = sender->second == own_.zone;
    if (message->kind == admission_message_kind::kView && same_zone) {
        apply_view(*message);
    } else if (message->kind == admission_message_kind::kReport && same_zone && relaying()) {
        apply_counts(reports_, message->session, *message, true);
        pass_on(*message, true);
        wake(knobs_.first_delay);
    } else if (message->kind == admission_message_kind::kZoneSum && !same_zone && relaying()) {
        apply_counts(sums_, sender->second, *message, false);
        pass_on(*message, false);
        for (const service_capacity &each : message->services) {
            levels_.adopt(each, time_source_.monotonic_now());
        }
        wake(knobs_.first_delay);
    }
    return true;
}

} // namespace chalkshed
