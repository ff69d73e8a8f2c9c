#include "chalkshed/load_relay.h"

#include <algorithm>
#include <set>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

uint8_t to_byte(int64_t count) {
    return static_cast<uint8_t>(std::clamp<int64_t>(count, 0, UINT8_MAX));
}

uint16_t to_units(uint32_t tokens) {
    return static_cast<uint16_t>(tokens / kPromptUnit);
}

uint16_t value_of(const std::unordered_map<uint32_t, uint16_t> &units, uint32_t worker) {
    const auto found = units.find(worker);
    return found == units.end() ? uint16_t{0} : found->second;
}

void sort_by_worker(std::vector<digest_entry> &entries) {
    std::sort(entries.begin(), entries.end(),
              [](const digest_entry &a, const digest_entry &b) { return a.worker < b.worker; });
}

} // namespace

load_relay::load_relay(TimeSource &time_source, Dispatcher &dispatcher,
                       DatagramTransport &datagrams, WorkerSet &workers, StoreClock &clock,
                       Logger &logger, MetricsRegistry &metrics, relay_candidate own,
                       const load_relay_knobs &knobs)
    : time_source_(time_source), datagrams_(datagrams), workers_(workers), clock_(clock),
      logger_(logger),
      view_interval_(metrics.histogram("chalkshed_load_view_interval_seconds",
                                       "Time between two digests of the load of other nodes.", {})),
      own_(std::move(own)), knobs_(knobs),
      timer_(dispatcher.create_timer([this] { send_digests(); })) {}

void load_relay::set_peers(std::vector<relay_candidate> peers) {
    peers_ = std::move(peers);
    by_session_.clear();
    for (size_t index = 0; index < peers_.size(); ++index) {
        by_session_[peers_[index].session] = index;
    }
    zone_peers_ = static_cast<size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [this](const relay_candidate &peer) { return peer.zone == own_.zone; }));
    std::set<std::string> fit;
    for (const relay_candidate &peer : peers_) {
        if (peer.fit) {
            fit.insert(peer.node);
        }
    }
    for (auto entry = collected_.begin(); entry != collected_.end();) {
        if (fit.contains(entry->first)) {
            ++entry;
            continue;
        }
        entry->second.replace(workers_, {}, 0, UINT32_MAX, &zone_loads_);
        entry = collected_.erase(entry);
    }
    update_role();
}

void load_relay::set_known_versions(
    std::function<KnownVersions()> own,
    std::function<void(const std::string &session, const KnownVersions &)> on_reported) {
    own_versions_ = std::move(own);
    on_versions_ = std::move(on_reported);
}

const relay_candidate *load_relay::find_peer(const std::string &session) const {
    const auto found = by_session_.find(session);
    return found == by_session_.end() ? nullptr : &peers_[found->second];
}

std::vector<const relay_candidate *> load_relay::relays_of(const std::string &zone) const {
    return choose_relays(peers_, own_, zone, knobs_.relays_per_zone);
}

void load_relay::update_role() {
    const bool was_relaying = relaying();
    const std::string before = relay_names_;
    rank_ = SIZE_MAX;
    relay_names_.clear();
    report_to_.clear();
    if (!peers_.empty()) {
        const std::vector<const relay_candidate *> relays = relays_of(own_.zone);
        for (size_t rank = 0; rank < relays.size(); ++rank) {
            const relay_candidate &relay = *relays[rank];
            relay_names_ += (rank == 0 ? "" : " ") + relay.node;
            if (relay.session == own_.session) {
                rank_ = rank;
            } else {
                report_to_.push_back(relay.address);
            }
        }
    }
    if (relay_names_ != before) {
        logger_.write(LogLevel::kInfo, "relays_chosen",
                      {{"relays", relay_names_},
                       {"before", before},
                       {"own_rank", relaying() ? std::to_string(rank_) : "none"}});
    }
    if (relaying() != was_relaying) {
        forget_all();
        if (on_role_changed_) {
            on_role_changed_();
        }
    }
    if (relaying() && !timer_->enabled()) {
        first_relay_heard_ = time_source_.monotonic_now();
        timer_->enable(digest_interval());
    }
}

Duration load_relay::digest_interval() const {
    // Other nodes know the number of pages from the views that they receive.
    const size_t seen = view_.loads.loads().size() / knobs_.max_entries + 1;
    const size_t pages = relaying() ? view_pages_ : seen;
    const std::chrono::duration<double> interval(static_cast<double>(zone_peers_ * pages) /
                                                 knobs_.datagrams_per_second);
    return std::max(knobs_.min_interval, std::chrono::duration_cast<Duration>(interval));
}

void load_relay::forget(zone_source &source) {
    source.loads.replace(workers_, {});
    source.loads.forget_prompts();
    source.session.clear();
    source.sequence = 0;
}

// Loads known in the previous role must not be counted in the new one.
void load_relay::forget_all() {
    for (auto &[node, loads] : collected_) {
        loads.replace(workers_, {});
    }
    collected_.clear();
    zone_loads_.clear();
    for (auto &[zone, source] : zones_) {
        forget(source);
    }
    zones_.clear();
    forget(view_);
    zone_prompts_.clear();
    other_zone_prompts_.clear();
    speeds_.clear();
}

void load_relay::expire_silent() {
    const MonotonicTime now = time_source_.monotonic_now();
    if (!view_.session.empty() && now - view_.heard > knobs_.digest_lifetime) {
        logger_.write(LogLevel::kInfo, "relay_silent", {{"session", view_.session}});
        forget(view_);
    }
    for (auto &[zone, source] : zones_) {
        if (!source.session.empty() && now - source.heard > knobs_.digest_lifetime) {
            logger_.write(LogLevel::kInfo, "relay_silent",
                          {{"session", source.session}, {"zone", zone}});
            forget(source);
        }
    }
}

void load_relay::collect(const std::string &node, const std::vector<PeerWorkerLoad> &loads) {
    const std::vector<digest_entry> entries = to_entries(loads);
    reported_loads &known = collected_[node];
    known.replace(workers_, entries, 0, UINT32_MAX, &zone_loads_);
    known.add_prompts(workers_, entries, &zone_prompts_);
}

void load_relay::collect_speeds(const std::vector<worker_speed_entry> &speeds) {
    speeds_.add(speeds, time_source_.monotonic_now());
}

// Two relays may send at the same time. Loads are taken from the newest digest of either; prompts
// are counted from one relay only, so that none counts twice.
void load_relay::apply(zone_source &source, const load_digest &digest) {
    if (source.session != digest.session) {
        source.session = digest.session;
        source.sequence = 0;
        source.loads.forget_prompts();
    }
    if (digest.sequence < source.sequence) {
        return; // reordered in transit
    }
    source.sequence = digest.sequence;
    source.heard = time_source_.monotonic_now();
    source.loads.replace(workers_, digest.entries, digest.first, digest.last);
    source.loads.add_prompts(workers_, digest.entries, &other_zone_prompts_);
}

bool load_relay::receive(std::string_view datagram) {
    const std::optional<load_digest> digest = decode_load_digest(datagram);
    if (!digest) {
        return false;
    }
    const relay_candidate *sender = find_peer(digest->session);
    if (sender == nullptr) {
        if (on_unknown_session_) {
            on_unknown_session_();
        }
        return true; // its announcement hasn't arrived yet, or its session has ended
    }
    const MonotonicTime now = time_source_.monotonic_now();
    const bool own_zone = sender->zone == own_.zone;
    clock_.observe_version(digest->store_version);
    if (on_versions_) {
        on_versions_(digest->session, digest->known);
    }
    if (digest->lapsed && (own_zone ? !digest->zone_sum : digest->zone_sum)) {
        lapsed_[sender->zone] = {*digest->lapsed, now};
    }
    if (own_zone && !digest->zone_sum) {
        if (relaying()) {
            first_relay_heard_ = now;
        } else {
            if (view_.heard != MonotonicTime{}) {
                view_interval_.observe(std::chrono::duration<double>(now - view_.heard).count());
            }
            apply(view_, *digest);
            for (const worker_speed_entry &speed : digest->speeds) {
                workers_.set_shared_speed(speed);
            }
            view_informed_ = digest->known.workers > 0;
        }
    } else if (!own_zone && digest->zone_sum && relaying()) {
        apply(zones_[sender->zone], *digest);
        speeds_.replace(sender->zone, digest->speeds, now);
    }
    return true;
}

bool load_relay::reported_lapsed(const std::string &session) const {
    const MonotonicTime now = time_source_.monotonic_now();
    const uint64_t hash = content_hash(session);
    return std::any_of(lapsed_.begin(), lapsed_.end(), [&](const auto &entry) {
        const lapsed_report &report = entry.second;
        return now - report.heard <= knobs_.digest_lifetime &&
               std::find(report.sessions.begin(), report.sessions.end(), hash) !=
                   report.sessions.end();
    });
}

std::vector<uint64_t> load_relay::own_lapsed() const {
    std::vector<uint64_t> sessions;
    for (const relay_candidate &peer : peers_) {
        if (peer.zone == own_.zone && peer.lapsed && sessions.size() < knobs_.max_lapsed) {
            sessions.push_back(content_hash(peer.session));
        }
    }
    return sessions;
}

std::vector<uint64_t> load_relay::all_lapsed() const {
    std::vector<uint64_t> sessions = own_lapsed();
    const MonotonicTime now = time_source_.monotonic_now();
    for (const auto &[zone, report] : lapsed_) {
        if (zone != own_.zone && now - report.heard <= knobs_.digest_lifetime) {
            sessions.insert(sessions.end(), report.sessions.begin(), report.sessions.end());
        }
    }
    sessions.resize(std::min(sessions.size(), knobs_.max_lapsed));
    return sessions;
}

bool load_relay::first_relay_is_silent() const {
    return time_source_.monotonic_now() - first_relay_heard_ > knobs_.first_relay_silence;
}

void load_relay::send_digests() {
    if (!relaying()) {
        return;
    }
    timer_->enable(digest_interval());
    const std::vector<worker_speed_entry> speeds = next_speeds();
    if (rank_ == 0 || first_relay_is_silent()) {
        send_views(speeds);
        send_zone_sum();
    }
}

std::vector<worker_speed_entry> load_relay::next_speeds() {
    std::vector<worker_speed_entry> speeds =
        speeds_.next_of_all(knobs_.max_speeds, time_source_.monotonic_now());
    for (worker_speed_entry &speed : speeds) {
        workers_.set_shared_speed(speed);
        const speed_samples known = workers_.known_speed(speed.worker);
        if (known.weight > speed.samples.weight) {
            speed.samples = known;
        }
    }
    return speeds;
}

load_digest load_relay::make_digest(bool zone_sum) {
    load_digest digest;
    digest.session = own_.session;
    digest.sequence = ++sequence_;
    digest.zone_sum = zone_sum;
    digest.store_version = clock_.newest();
    const Duration store_silence = time_source_.monotonic_now() - clock_.last_heard();
    if (own_versions_ && store_silence <= knobs_.store_contact) {
        digest.known = own_versions_();
    }
    digest.lapsed = zone_sum ? own_lapsed() : all_lapsed();
    return digest;
}

std::vector<digest_entry> load_relay::all_entries() const {
    std::vector<digest_entry> entries;
    for (const auto &[incarnation, worker] : workers_.workers()) {
        const auto hash = static_cast<uint32_t>(worker->hash);
        digest_entry entry;
        entry.worker = hash;
        entry.online = to_byte(int64_t{worker->online_in_flight} + worker->others_online);
        entry.batch = to_byte(int64_t{worker->batch_in_flight} + worker->others_batch);
        entry.prompt_units = static_cast<uint16_t>(to_units(worker->prompt_tokens_sent) +
                                                   value_of(zone_prompts_, hash) +
                                                   value_of(other_zone_prompts_, hash));
        if (entry.online > 0 || entry.batch > 0) {
            entries.push_back(entry);
        }
    }
    sort_by_worker(entries);
    return entries;
}

std::vector<digest_entry> load_relay::zone_entries() const {
    std::vector<digest_entry> entries;
    for (const auto &[incarnation, worker] : workers_.workers()) {
        const auto hash = static_cast<uint32_t>(worker->hash);
        const auto others = zone_loads_.find(hash);
        const summed_load reported = others == zone_loads_.end() ? summed_load{} : others->second;
        const uint8_t online = to_byte(int64_t{worker->online_in_flight} + reported.online);
        const uint8_t batch = to_byte(int64_t{worker->batch_in_flight} + reported.batch);
        if (online > 0 || batch > 0) {
            entries.push_back({hash, online, batch,
                               static_cast<uint16_t>(to_units(worker->prompt_tokens_sent) +
                                                     value_of(zone_prompts_, hash))});
        }
    }
    sort_by_worker(entries);
    return entries;
}

/** Both arguments are sorted by worker. */
std::vector<digest_entry> load_relay::without(const std::vector<digest_entry> &all,
                                              const reported_loads &receiver) {
    std::vector<digest_entry> others;
    others.reserve(all.size());
    auto load = receiver.loads().begin();
    auto added = receiver.added_prompts().begin();
    for (digest_entry entry : all) {
        while (load != receiver.loads().end() && load->first < entry.worker) {
            ++load;
        }
        while (added != receiver.added_prompts().end() && added->first < entry.worker) {
            ++added;
        }
        if (load != receiver.loads().end() && load->first == entry.worker) {
            entry.online = to_byte(int64_t{entry.online} - load->second.online);
            entry.batch = to_byte(int64_t{entry.batch} - load->second.batch);
        }
        if (added != receiver.added_prompts().end() && added->first == entry.worker) {
            entry.prompt_units = static_cast<uint16_t>(entry.prompt_units - added->second);
        }
        if (entry.online > 0 || entry.batch > 0) {
            others.push_back(entry);
        }
    }
    return others;
}

void load_relay::send(const std::vector<Address> &receivers, load_digest whole) {
    for (const load_digest &page : split_digest(std::move(whole), knobs_.max_entries)) {
        const std::string datagram = encode_load_digest(page);
        for (const Address &receiver : receivers) {
            datagrams_.send(receiver, datagram);
        }
    }
}

void load_relay::send_views(const std::vector<worker_speed_entry> &speeds) {
    static const reported_loads kNoLoads;
    const std::vector<digest_entry> all = all_entries();
    view_pages_ = all.size() / knobs_.max_entries + 1;
    for (const relay_candidate &peer : peers_) {
        if (peer.zone != own_.zone || peer.address.ip.empty()) {
            continue;
        }
        const auto reported = collected_.find(peer.node);
        load_digest view = make_digest(false);
        view.speeds = speeds;
        view.entries = without(all, reported == collected_.end() ? kNoLoads : reported->second);
        send({peer.address}, std::move(view));
    }
}

void load_relay::send_zone_sum() {
    std::set<std::string> zones;
    for (const relay_candidate &peer : peers_) {
        zones.insert(peer.zone);
    }
    zones.erase(own_.zone);
    std::vector<Address> receivers;
    const bool second_too = ++sums_sent_ % knobs_.sums_for_second_relay == 0;
    for (const std::string &zone : zones) {
        const std::vector<const relay_candidate *> relays = relays_of(zone);
        for (size_t rank = 0; rank < relays.size(); ++rank) {
            if (rank == 0 || second_too) {
                receivers.push_back(relays[rank]->address);
            }
        }
    }
    load_digest sum = make_digest(true);
    sum.entries = zone_entries();
    sum.speeds = speeds_.next_of_zone(knobs_.max_speeds, time_source_.monotonic_now());
    send(receivers, std::move(sum));
}

} // namespace chalkshed
