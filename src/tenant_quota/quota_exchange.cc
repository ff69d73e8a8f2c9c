#include "chalkshed/quota_exchange.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace chalkshed {
namespace {

/** A source counts as known from its start even if its first messages were lost, up to this
 * sequence number. */
constexpr uint64_t kFirstMessages = 3;
/** With less than this share of the nodes counted, this relay may be in the smaller part of a
 * partition. */
constexpr double kMajority = 0.5;

} // namespace

quota_exchange::quota_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                               DatagramTransport &datagrams, tenant_quota &quota, Logger &logger,
                               MetricsRegistry &metrics, relay_candidate own,
                               const quota_exchange_knobs &knobs)
    : time_source_(time_source), datagrams_(datagrams), quota_(quota), logger_(logger),
      coverage_gauge_(metrics.gauge("chalkshed_quota_coverage",
                                    "Share of the tenants' limits that this relay gives out.", {})),
      own_(std::move(own)), knobs_(knobs),
      levels_(time_source.monotonic_now(), tenant_quota_knobs{}.demand_window),
      timer_(dispatcher.create_timer([this] { tick(); })) {}

void quota_exchange::set_tenants(const tenant_table &tenants) {
    levels_.set_tenants(tenants, time_source_.monotonic_now());
    limited_ = std::any_of(tenants.all().begin(), tenants.all().end(),
                           [](const tenant &each) { return each.limited(); });
    start_when_ready();
}

/** Starts once the peers are known, because this node would otherwise consider itself the only one.
 */
void quota_exchange::start_when_ready() {
    if (limited_ && peers_known_) {
        update_role();
        if (!timer_->enabled()) {
            timer_->enable(Duration(0));
        }
    }
}

void quota_exchange::set_peers(std::vector<relay_candidate> peers) {
    peers_ = std::move(peers);
    by_session_.clear();
    for (size_t index = 0; index < peers_.size(); ++index) {
        by_session_[peers_[index].session] = index;
    }
    const auto unknown = [this](const auto &entry) { return !by_session_.contains(entry.first); };
    std::erase_if(reports_, unknown);
    std::erase_if(sums_, unknown);
    std::erase_if(views_, unknown);
    const auto gone = static_cast<size_t>(std::count_if(
        peers_.begin(), peers_.end(), [](const relay_candidate &peer) { return peer.gone; }));
    // If most nodes are gone, this node is more likely the one that is cut off.
    const bool majority = 2 * gone < peers_.size();
    nodes_ = peers_.size() + 1 - (majority ? gone : 0);
    quota_.set_nodes(nodes_);
    peers_known_ = true;
    start_when_ready();
}

const relay_candidate *quota_exchange::find_peer(const std::string &session) const {
    const auto found = by_session_.find(session);
    return found == by_session_.end() ? nullptr : &peers_[found->second];
}

void quota_exchange::update_role() {
    const bool was_relaying = relaying();
    rank_ = SIZE_MAX;
    report_to_.clear();
    const auto relays = choose_relays(peers_, own_, own_.zone, knobs_.relays_per_zone);
    for (size_t rank = 0; rank < relays.size(); ++rank) {
        if (relays[rank]->session == own_.session) {
            rank_ = rank;
        } else {
            report_to_.push_back(relays[rank]->address);
        }
    }
    if (relaying() && !was_relaying) {
        start_relaying();
    }
}

/** Levels are taken over from the last view, if there was any. */
void quota_exchange::start_relaying() {
    const MonotonicTime now = time_source_.monotonic_now();
    logger_.write(LogLevel::kInfo, "quota_relay_began",
                  {{"rank", std::to_string(rank_)},
                   {"known_levels", std::to_string(newest_view_.levels.size())}});
    const bool recent = !newest_view_.session.empty() && !is_silent(newest_view_heard_);
    began_relaying_ = now;
    const auto fit = static_cast<double>(std::count_if(
        peers_.begin(), peers_.end(), [](const relay_candidate &peer) { return peer.fit; }));
    const double reachable = (fit + 1) / static_cast<double>(nodes_);
    inherited_coverage_ =
        recent ? std::min(static_cast<double>(newest_view_.coverage), reachable) : 0.0;
    if (newest_view_.session.empty()) {
        levels_.reset_with_credit(now);
    } else {
        levels_.reset(now, recent ? tenant_quota_knobs{}.nearly_full * newest_view_.coverage : 0.0,
                      newest_view_.coverage);
    }
    for (const tenant_level &level : newest_view_.levels) {
        levels_.adopt(level);
    }
    reports_.clear();
    sums_.clear();
    zone_.clear();
    first_relay_heard_ = now;
    ++run_;
    sums_sent_ = 0;
}

bool quota_exchange::is_silent(MonotonicTime heard) const {
    return time_source_.monotonic_now() - heard > knobs_.silence_timeout;
}

bool quota_exchange::heard_recently(const counted_source &source) const {
    return !is_silent(source.heard);
}

/** A session that has just started can't be counted by any other relay. */
bool quota_exchange::is_counted(const counted_source &source) const {
    return heard_recently(source) && (source.whole || is_silent(source.heard_since));
}

Duration quota_exchange::relay_interval() const {
    const std::chrono::duration<double> paced(static_cast<double>(peers_.size()) /
                                              knobs_.datagrams_per_second);
    return std::max(knobs_.interval, std::chrono::duration_cast<Duration>(paced));
}

void quota_exchange::tick() {
    if (!limited_) {
        return;
    }
    timer_->enable(knobs_.interval);
    const MonotonicTime now = time_source_.monotonic_now();
    if (relaying() || quota_.has_changes() || now - reported_ >= knobs_.idle_interval) {
        reported_ = now;
        report();
    }
    if (relaying() && now - relayed_ >= relay_interval()) {
        relayed_ = now;
        relay();
    }
}

void quota_exchange::report() {
    quota_message report = quota_.make_report();
    report.session = own_.session;
    if (relaying()) {
        apply_counts(reports_[own_.session], report,
                     [this](const tenant_count &more) { add_to_zone(more); });
    }
    for (const quota_message &page : split_quota_message(report)) {
        const std::string datagram = encode_quota_message(page);
        for (const Address &relay : report_to_) {
            datagrams_.send(relay, datagram);
        }
    }
}

uint16_t quota_exchange::counted_in_zone() const {
    const auto others = std::count_if(reports_.begin(), reports_.end(), [this](const auto &entry) {
        return entry.first != own_.session && is_counted(entry.second);
    });
    return static_cast<uint16_t>(others + 1);
}

double quota_exchange::coverage() {
    double counted = counted_in_zone();
    std::set<std::string> zones = {own_.zone};
    for (const auto &[session, source] : sums_) {
        const relay_candidate *sender = find_peer(session);
        if (sender != nullptr && heard_recently(source) && zones.insert(sender->zone).second) {
            counted += source.nodes;
        }
    }
    const double heard = counted / std::max(static_cast<double>(nodes_), counted);
    const MonotonicTime now = time_source_.monotonic_now();
    // Initially, this relay hasn't yet heard all nodes that the previous view counted.
    const double share = is_silent(began_relaying_) ? heard : std::max(heard, inherited_coverage_);
    if (share >= kMajority) {
        in_minority_since_.reset();
        return std::min(1.0, share + knobs_.uncounted_share);
    }
    if (!in_minority_since_) {
        in_minority_since_ = now;
    }
    return now - *in_minority_since_ > knobs_.max_isolation ? 0.0 : share;
}

void quota_exchange::relay() {
    const MonotonicTime now = time_source_.monotonic_now();
    const double share = coverage();
    levels_.advance(now, share);
    coverage_gauge_.set(share);
    quota_message view;
    view.kind = quota_message_kind::kView;
    view.session = own_.session;
    view.coverage = static_cast<float>(share);
    view.levels = levels_.below(tenant_quota_knobs{}.nearly_full, now);
    newest_view_ = view;
    view.acknowledged = UINT64_MAX; // this node's own counts are always included
    quota_.apply_view(view);
    if (rank_ == 0 || is_silent(first_relay_heard_)) {
        send_views();
        send_zone_sum();
    }
}

/** The first relay has already sent the counts so far, so that this one need not send them. */
void quota_exchange::note_first_relay() {
    first_relay_heard_ = time_source_.monotonic_now();
    if (!relaying() || rank_ == 0) {
        return;
    }
    zone_.clear();
    if (sums_sent_ > 0) {
        ++run_;
        sums_sent_ = 0;
    }
}

void quota_exchange::send_views() {
    quota_message view = newest_view_;
    view.sequence = ++views_sent_;
    for (const relay_candidate &peer : peers_) {
        if (peer.zone != own_.zone || peer.address.ip.empty()) {
            continue;
        }
        const auto reported = reports_.find(peer.session);
        view.acknowledged = reported == reports_.end() ? 0 : reported->second.sequence;
        for (const quota_message &page : split_quota_message(view)) {
            datagrams_.send(peer.address, encode_quota_message(page));
        }
    }
}

void quota_exchange::send_zone_sum() {
    const MonotonicTime now = time_source_.monotonic_now();
    quota_message sum;
    sum.kind = quota_message_kind::kZoneSum;
    sum.session = own_.session;
    sum.run = run_;
    sum.sequence = ++sums_sent_;
    sum.nodes = counted_in_zone();
    for (auto &[tenant, count] : zone_) {
        const auto unsent = static_cast<int32_t>(count.total.admitted - count.sent);
        const double least = std::max(knobs_.least_change, knobs_.least_change_share *
                                                               levels_.level(tenant).value_or(0));
        const bool due = std::abs(unsent) >= least || now - count.sent_at >= knobs_.max_unsent_time;
        if (count.changed && due) {
            sum.counts.push_back(count.total);
            count.sent = count.total.admitted;
            count.sent_at = now;
            count.changed = false;
        }
    }
    std::set<std::string> zones;
    for (const relay_candidate &peer : peers_) {
        zones.insert(peer.zone);
    }
    zones.erase(own_.zone);
    const std::vector<quota_message> pages = split_quota_message(sum);
    for (const std::string &zone : zones) {
        for (const relay_candidate *relay :
             choose_relays(peers_, own_, zone, knobs_.relays_per_zone)) {
            for (const quota_message &page : pages) {
                datagrams_.send(relay->address, encode_quota_message(page));
            }
        }
    }
}

void quota_exchange::apply_counts(counted_source &source, const quota_message &message,
                                  const std::function<void(const tenant_count &)> &add) {
    const bool known = source.sequence > 0 && source.run == message.run && heard_recently(source);
    if (source.run == message.run && message.sequence < source.sequence) {
        return; // reordered in transit
    }
    if (!heard_recently(source)) {
        source.heard_since = time_source_.monotonic_now();
    }
    if (!known) {
        // A silent node has admitted only its own share, which was not handed out to others.
        source.whole = message.sequence <= kFirstMessages;
        source.counts.clear();
        source.run = message.run;
    }
    source.sequence = message.sequence;
    source.heard = time_source_.monotonic_now();
    source.nodes = std::max<uint16_t>(message.nodes, 1);
    for (const tenant_count &count : message.counts) {
        const auto [entry, is_new] = source.counts.try_emplace(count.tenant, tenant_count{});
        const tenant_count before = entry->second;
        entry->second = count;
        if (!is_new || source.whole) {
            add({count.tenant, count.asked - before.asked, count.admitted - before.admitted});
        }
    }
}

void quota_exchange::add_to_zone(const tenant_count &more) {
    levels_.add(more, time_source_.monotonic_now());
    unsent_count &count = zone_[more.tenant];
    count.total.tenant = more.tenant;
    count.total.asked += more.asked;
    count.total.admitted += more.admitted;
    count.changed = count.changed || more.asked != 0 || more.admitted != 0;
}

void quota_exchange::apply_report(const quota_message &report) {
    apply_counts(reports_[report.session], report,
                 [this](const tenant_count &more) { add_to_zone(more); });
}

void quota_exchange::apply_sum(const relay_candidate &sender, const quota_message &sum) {
    const MonotonicTime now = time_source_.monotonic_now();
    apply_counts(sums_[sender.session], sum,
                 [this, now](const tenant_count &more) { levels_.add(more, now); });
}

bool quota_exchange::receive(std::string_view datagram) {
    const std::optional<quota_message> message = decode_quota_message(datagram);
    if (!message) {
        return false;
    }
    const relay_candidate *sender = find_peer(message->session);
    if (sender == nullptr && on_unknown_session_) {
        on_unknown_session_();
    }
    if (sender == nullptr || !limited_) {
        return true; // its announcement hasn't arrived yet, or its session has ended
    }
    const bool same_zone = sender->zone == own_.zone;
    if (message->kind == quota_message_kind::kReport && same_zone && relaying()) {
        apply_report(*message);
    } else if (message->kind == quota_message_kind::kZoneSum && !same_zone && relaying()) {
        apply_sum(*sender, *message);
    } else if (message->kind == quota_message_kind::kView && same_zone) {
        uint64_t &newest = views_[message->session];
        if (message->sequence < newest) {
            return true;
        }
        newest = message->sequence;
        note_first_relay();
        if (!relaying()) {
            newest_view_ = *message;
            newest_view_heard_ = first_relay_heard_;
            quota_.apply_view(*message);
        }
    }
    return true;
}

} // namespace chalkshed
