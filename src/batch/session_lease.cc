#include "src/batch/session_lease.h"

#include <algorithm>

namespace chalkshed {

SessionLease::SessionLease(const NodeIdentity& identity, NodeDependencies& dependencies,
                           BatchStore& store, const BatchKnobs& knobs, Events events)
    : identity_(identity),
      dependencies_(dependencies),
      store_(store),
      knobs_(knobs),
      events_(std::move(events)),
      renewal_timer_(dependencies.dispatcher.create_timer([this] { renew(); })),
      expiry_timer_(dependencies.dispatcher.create_timer([this] { on_expiry(); })) {}

std::string SessionLease::encode_row(const std::string& nonce) const {
  return encode(
      SessionRow{identity_.id, nonce, static_cast<uint64_t>(knobs_.lease_duration.count())});
}

std::string SessionLease::next_nonce() { return std::to_string(++nonces_); }

bool SessionLease::valid() const {
  return version_ != 0 && dependencies_.time_source.monotonic_now() < valid_until_;
}

Duration SessionLease::time_left() const {
  return valid() ? valid_until_ - dependencies_.time_source.monotonic_now() : Duration(0);
}

void SessionLease::open() {
  if (!session_.empty() || opening_) {
    return;
  }
  opening_ = true;
  create();
}

void SessionLease::create() {
  // Every attempt uses a new id: a session whose creation was not confirmed may already have been
  // deleted by other nodes.
  const std::string session = identity_.id + "-" + std::to_string(identity_.incarnation) + "-" +
                              std::to_string(dependencies_.random.next() % 1'000'000'000);
  const MonotonicTime sent_at = dependencies_.time_source.monotonic_now();
  Transaction transaction;
  transaction.conditions.push_back({session_key(session), 0});
  transaction.writes.push_back({session_key(session), encode_row(next_nonce())});
  store_.commit(
      StoreUrgency::kLease, std::move(transaction),
      lifetime_.guard([this, session, sent_at](Expected<CommitResult> result) {
        if (!opening_) {
          return;  // closed in the meantime; other nodes delete the row once its lease has expired
        }
        if (!result || !result->committed) {
          ++failures_;
          renewal_timer_->enable(store_.backoff(failures_));
          return;
        }
        opening_ = false;
        session_ = session;
        accept(sent_at, result->versions.front());
      }));
}

void SessionLease::renew() {
  if (opening_) {
    create();
    return;
  }
  if (version_ == 0) {
    return;
  }
  const MonotonicTime sent_at = dependencies_.time_source.monotonic_now();
  const std::string nonce = next_nonce();
  Transaction transaction;
  transaction.conditions.push_back({session_key(session_), version_});
  transaction.writes.push_back({session_key(session_), encode_row(nonce)});
  store_.commit(
      StoreUrgency::kLease, std::move(transaction),
      lifetime_.guard([this, sent_at, nonce, session = session_](Expected<CommitResult> result) {
        if (session != session_) {
          return;  // closed in the meantime
        }
        if (result && result->committed) {
          accept(sent_at, result->versions.front());
        } else if (!result && result.error().ran == Ran::kNo) {
          retry_later();
        } else {
          resolve(sent_at, nonce);
        }
      }));
}

// Reads the row back after a lost response or a failed condition.
void SessionLease::resolve(MonotonicTime sent_at, const std::string& nonce) {
  store_.read(StoreUrgency::kLease, session_key(session_),
              lifetime_.guard(
                  [this, sent_at, nonce, session_id = session_](Expected<std::optional<Row>> row) {
                    if (session_id != session_) {
                      return;  // closed in the meantime
                    }
                    if (!row) {
                      retry_later();
                      return;
                    }
                    if (!row->has_value()) {
                      lose();
                      return;
                    }
                    const auto session = decode_session((*row)->value);
                    if (session && session->nonce == nonce) {
                      accept(sent_at, (*row)->version);
                      return;
                    }
                    // An earlier renewal was committed after its response had been given up:
                    // continue from its version.
                    version_ = (*row)->version;
                    retry_later();
                  }));
}

void SessionLease::accept(MonotonicTime sent_at, RowVersion version) {
  failures_ = 0;
  version_ = version;
  valid_until_ = std::max(valid_until_, sent_at + knobs_.lease_duration);
  renewal_timer_->enable(knobs_.lease_renewal_interval);
  if (!valid()) {
    return;
  }
  expiry_timer_->enable(valid_until_ - dependencies_.time_source.monotonic_now());
  if (!announced_valid_) {
    announced_valid_ = true;
    events_.on_valid();
  }
}

void SessionLease::retry_later() {
  ++failures_;
  renewal_timer_->enable(std::min(store_.backoff(failures_), knobs_.lease_renewal_interval));
}

void SessionLease::on_expiry() {
  if (valid() || !announced_valid_) {
    return;
  }
  announced_valid_ = false;
  dependencies_.logger.write(LogLevel::kWarning, "batch_lease_lapsed", {{"session", session_}});
  events_.on_lapsed();
}

void SessionLease::lose() {
  dependencies_.logger.write(LogLevel::kWarning, "batch_lease_lost", {{"session", session_}});
  session_.clear();
  version_ = 0;
  announced_valid_ = false;
  valid_until_ = MonotonicTime{};
  renewal_timer_->disable();
  expiry_timer_->disable();
  events_.on_lost();
}

void SessionLease::close(std::function<void()> done) {
  renewal_timer_->disable();
  expiry_timer_->disable();
  opening_ = false;
  announced_valid_ = false;
  if (session_.empty()) {
    dependencies_.dispatcher.post(std::move(done));
    return;
  }
  Transaction transaction;
  transaction.conditions.push_back({session_key(session_), version_});
  transaction.writes.push_back({session_key(session_), std::nullopt});
  session_.clear();
  version_ = 0;
  // The result is ignored: other nodes delete an orphaned row once its lease has expired.
  store_.commit(StoreUrgency::kLease, std::move(transaction),
                lifetime_.guard([done](const Expected<CommitResult>&) { done(); }));
}

}  // namespace chalkshed
