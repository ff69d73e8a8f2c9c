#include "src/configuration/configuration_head_tracker.h"

#include <algorithm>
#include <utility>

namespace chalkshed {

ConfigurationHeadTracker::ConfigurationHeadTracker(NodeDependencies& dependencies,
                                                   MembershipView& members, Gossip& gossip,
                                                   const ConfigurationKnobs& knobs,
                                                   std::function<HeadReport()> report,
                                                   std::function<void()> on_change)
    : dependencies_(dependencies),
      members_(members),
      gossip_(gossip),
      knobs_(knobs),
      report_(std::move(report)),
      on_change_(std::move(on_change)),
      last_contact_(dependencies.time_source.monotonic_now()),
      confirmed_at_(last_contact_),
      round_timer_(dependencies.dispatcher.create_timer(
          [this] { pending_responses_ > 0 ? end_round() : begin_round(); })),
      exchange_timer_(dependencies.dispatcher.create_timer([this] { exchange_with_peer(); })),
      poll_timer_(dependencies.dispatcher.create_timer([this] { poll_store(); })) {}

void ConfigurationHeadTracker::start() {
  dependencies_.peer_server.register_method(
      kConfigurationHeadMethod,
      lifetime_.guard([this](const std::string& body, const PeerServer::Reply& reply) {
        if (const auto report = decode_head_report(body)) {
          on_report(*report, now());
        }
        reply(encode(report_()));
      }));
  gossip_.subscribe(std::string(kConfigurationHeadGossipKind),
                    lifetime_.guard([this](const GossipEntry& entry) {
                      if (const auto head = decode_head(entry.value)) {
                        observe_head(*head);
                      }
                    }));
  exchange_timer_->enable(jittered(knobs_.exchange_interval));
  schedule_poll();
  if (!knobs_.safeguards.learn_before_serving) {
    learned_ = true;
    on_change_();
  }
  begin_round();
}

// ---- Learning at start.

void ConfigurationHeadTracker::begin_round() {
  const uint64_t round = ++round_;
  std::vector<Member> peers = other_members();
  const size_t queried = std::min<size_t>(peers.size(), knobs_.learn_peer_count);
  pending_responses_ = static_cast<uint32_t>(queried) + 1;
  authority_responded_ = false;
  round_timer_->enable(knobs_.learn_timeout);
  query_store(round);
  for (size_t count = 0; count < queried; ++count) {
    const size_t index = dependencies_.random.below(peers.size());
    query_peer(peers[index].http_address, round);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void ConfigurationHeadTracker::query_store(uint64_t round) {
  read_head_row([this, round](bool answered) { on_round_response(round, answered); });
}

void ConfigurationHeadTracker::query_peer(const Address& peer, uint64_t round) {
  dependencies_.peer_client.call(
      peer, kConfigurationHeadMethod, encode(report_()),
      lifetime_.guard([this, round, sent_at = now()](const Expected<std::string>& body) {
        const auto report = body ? decode_head_report(*body) : tl::unexpected(body.error());
        if (report) {
          on_report(*report, sent_at);
        }
        // A peer that is still learning is not authoritative.
        on_round_response(round, report && report->learned);
      }));
}

void ConfigurationHeadTracker::on_round_response(uint64_t round, bool authoritative) {
  if (round != round_ || learned_ || pending_responses_ == 0) {
    return;
  }
  authority_responded_ = authority_responded_ || authoritative;
  if (--pending_responses_ == 0) {
    end_round();
  }
}

void ConfigurationHeadTracker::end_round() {
  pending_responses_ = 0;
  if (learned_) {
    return;
  }
  if (!authority_responded_) {
    dependencies_.logger.write(LogLevel::kWarning, "configuration_not_learned",
                               {{"reason", "neither the store nor a serving peer responded"}});
    round_timer_->enable(jittered(knobs_.learn_retry));
    return;
  }
  learned_ = true;
  round_timer_->disable();
  on_change_();
}

// ---- Incoming heads.

void ConfigurationHeadTracker::observe_head(const ConfigurationHead& head) {
  const bool newer = head.version > known_.version;
  const bool different = head.version != known_.version && head.version > 0;
  if (!newer && (knobs_.safeguards.versions_only_upwards || !different)) {
    return;
  }
  known_ = head;
  ConfigurationHead gossiped_head = head;
  gossiped_head.author.clear();
  gossiped_head.comment.clear();
  gossip_.publish(GossipEntry{std::string(kConfigurationHeadGossipKind), "head", head.version,
                              encode_head(gossiped_head)});
  on_change_();
}

void ConfigurationHeadTracker::on_head_row(const Expected<std::optional<Row>>& row,
                                           MonotonicTime sent_at) {
  if (!row) {
    return;
  }
  last_contact_ = now();
  if (!*row) {
    confirm_at(sent_at);
    return;
  }
  const auto head = decode_head((*row)->value);
  if (!head) {
    dependencies_.logger.write(LogLevel::kError, "configuration_head_unreadable",
                               {{"message", head.error().message}});
    return;
  }
  confirm_at(sent_at);
  observe_head(*head);
}

void ConfigurationHeadTracker::on_report(const HeadReport& report, MonotonicTime sent_at) {
  last_contact_ = now();
  observe_head(report.head);
  if (report.learned) {
    confirm_at(sent_at - report.confirmed_age);
  }
}

void ConfigurationHeadTracker::confirm_at(MonotonicTime time) {
  confirmed_at_ = std::max(confirmed_at_, time);
}

bool ConfigurationHeadTracker::cut_off() const {
  return now() - last_contact_ > knobs_.cut_off_after;
}

Duration ConfigurationHeadTracker::confirmed_age() const { return now() - confirmed_at_; }

// ---- Periodic exchanges and polls.

void ConfigurationHeadTracker::exchange_with_peer() {
  exchange_timer_->enable(jittered(knobs_.exchange_interval));
  const std::vector<Member> peers = other_members();
  if (peers.empty()) {
    return;
  }
  const Member& peer = peers[dependencies_.random.below(peers.size())];
  dependencies_.peer_client.call(
      peer.http_address, kConfigurationHeadMethod, encode(report_()),
      lifetime_.guard([this, sent_at = now()](const Expected<std::string>& body) {
        const auto report = body ? decode_head_report(*body) : tl::unexpected(body.error());
        if (report) {
          on_report(*report, sent_at);
        }
      }));
}

void ConfigurationHeadTracker::poll_store() {
  schedule_poll();
  read_head_row([](bool) {});
}

void ConfigurationHeadTracker::read_head_row(std::function<void(bool answered)> done) {
  dependencies_.table_store.read(
      RowKey{std::string(kConfigurationTable), std::string(kConfigurationHeadKey)},
      lifetime_.guard(
          [this, sent_at = now(), done = std::move(done)](const Expected<std::optional<Row>>& row) {
            on_head_row(row, sent_at);
            done(row.has_value());
          }));
}

void ConfigurationHeadTracker::schedule_poll() {
  const size_t others = other_members().size();
  if (others == 0) {
    // Without known peers only the store can provide newer heads.
    poll_timer_->enable(jittered(knobs_.cut_off_after / 3));
    return;
  }
  const double shared_seconds = static_cast<double>(others + 1) / knobs_.polls_per_second;
  const Duration shared(static_cast<int64_t>(shared_seconds * 1e6));
  poll_timer_->enable(jittered(std::max(knobs_.poll_interval, shared)));
}

std::vector<Member> ConfigurationHeadTracker::other_members() const {
  std::vector<Member> others = members_.members();
  std::erase_if(others, [this](const Member& member) { return member.id == members_.self().id; });
  return others;
}

Duration ConfigurationHeadTracker::jittered(Duration interval) {
  const double factor = 0.75 + 0.5 * dependencies_.random.unit();
  return Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * factor));
}

}  // namespace chalkshed
