#include "chalkshed/failure_exchange.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

std::string share_text(double share) {
    constexpr double kThousand = 1000;
    return std::to_string(std::lround(share * kThousand) / kThousand).substr(0, 5);
}

} // namespace

failure_exchange::failure_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                                   RandomGenerator &random, DatagramTransport &datagrams,
                                   WorkerSet &workers, worker_failures &failures, Logger &logger,
                                   MetricsRegistry &metrics, uint64_t own,
                                   const failure_exchange_knobs &knobs)
    : time_source_(time_source), random_(random), datagrams_(datagrams), workers_(workers),
      failures_(failures), logger_(logger), metrics_(metrics), own_(own), knobs_(knobs),
      timer_(dispatcher.create_timer([this] { handle_timer(); })) {
    failures_.set_on_update(
        [this](uint32_t worker, failure_update update) { note_update(worker, update); });
    failures_.set_on_changed([this](const standing_change &change) { log_change(change); });
    workers_.set_on_failed_answer(
        [this](const std::string &service, answer_fault fault) { count_failed(service, fault); });
}

void failure_exchange::set_peers(const std::vector<relay_candidate> &peers) {
    peers_.clear();
    for (const relay_candidate &peer : peers) {
        if (!peer.address.ip.empty() && !peer.gone) {
            peers_.push_back(peer.address);
        }
    }
}

bool failure_exchange::receive(std::string_view datagram) {
    const MonotonicTime now = time_source_.monotonic_now();
    const std::optional<failure_report> report = decode_failure_report(datagram, now);
    if (!report) {
        return false;
    }
    failures_.merge(*report, now);
    for (const worker_standing &told : report->workers) {
        if (told.state == worker_state::kEjected) {
            announcements_.erase(told.worker);
        }
    }
    schedule();
    return true;
}

void failure_exchange::note_update(uint32_t worker, failure_update update) {
    const MonotonicTime now = time_source_.monotonic_now();
    switch (update) {
    case failure_update::kFailed:
    case failure_update::kSuccesses:
        enqueue(worker, knobs_.batch_delay);
        next_repeat_[worker] = now + knobs_.repeat_interval;
        break;
    case failure_update::kProbe:
        enqueue(worker, Duration(0));
        break;
    case failure_update::kReadmitted:
        enqueue(worker, Duration(0));
        next_repeat_[worker] = now + knobs_.batch_delay;
        break;
    case failure_update::kEjected:
        announcements_[worker] = now + Duration(random_.below(static_cast<uint64_t>(
                                           knobs_.announcement_spread / Duration(1))));
        break;
    }
    schedule();
}

void failure_exchange::enqueue(uint32_t worker, Duration delay) {
    const MonotonicTime due = time_source_.monotonic_now() + delay;
    const auto [entry, is_new] = pending_.try_emplace(worker, due);
    entry->second = std::min(entry->second, due);
}

MonotonicTime failure_exchange::next_send_time() const {
    constexpr Duration kBurst = std::chrono::seconds(1);
    return budget_time_ - kBurst;
}

// Also called when a peer's report has made a worker suspect.
void failure_exchange::schedule() {
    if (pending_.empty() && !failures_.any()) {
        return;
    }
    MonotonicTime at = reviewed_ + knobs_.review_interval;
    for (const auto &[worker, due] : pending_) {
        at = std::min(at, std::max(due, next_send_time()));
    }
    timer_->enable(std::max(at - time_source_.monotonic_now(), Duration(0)));
}

void failure_exchange::handle_timer() {
    const MonotonicTime now = time_source_.monotonic_now();
    if (now - reviewed_ >= knobs_.review_interval) {
        reviewed_ = now;
        review();
    }
    std::vector<uint32_t> due;
    for (const auto &[worker, at] : pending_) {
        if (at <= now) {
            due.push_back(worker);
        }
    }
    if (!due.empty() && now >= next_send_time()) {
        for (const uint32_t worker : due) {
            pending_.erase(worker);
        }
        send(due);
    }
    schedule();
}

void failure_exchange::review() {
    const MonotonicTime now = time_source_.monotonic_now();
    failures_.review(now);
    update_gauges();
    for (const uint32_t worker : failures_.suspects()) {
        repeat(worker, now);
    }
    const auto over = [&](const auto &entry) {
        return !failures_.suspects().contains(entry.first);
    };
    std::erase_if(next_repeat_, over);
    std::erase_if(announcements_, [&](const auto &entry) {
        if (entry.second <= now && !over(entry)) {
            enqueue(entry.first, Duration(0));
        }
        return entry.second <= now || over(entry);
    });
}

void failure_exchange::repeat(uint32_t worker, MonotonicTime now) {
    const bool has_state =
        failures_.ejected(worker, now) || failures_.recently_readmitted(worker, now);
    if (!has_state && !failures_.under_review(worker, now)) {
        return;
    }
    const Duration state_interval = knobs_.state_interval * static_cast<int64_t>(peers_.size() + 1);
    Duration interval = std::max(knobs_.repeat_interval, has_state ? state_interval : Duration(0));
    const auto [entry, is_new] = next_repeat_.try_emplace(worker, now + interval);
    if (entry->second > now) {
        return;
    }
    // Random, so that the nodes don't repeat the same state at the same time.
    interval =
        Duration(interval.count() / 2 +
                 static_cast<int64_t>(random_.below(static_cast<uint64_t>(interval.count()))));
    entry->second = now + interval;
    enqueue(worker, Duration(0));
}

void failure_exchange::send(const std::vector<uint32_t> &due) {
    const MonotonicTime now = time_source_.monotonic_now();
    failure_report report;
    report.sender = own_;
    for (const uint32_t worker : due) {
        failures_.add_to(report, worker, now);
        if (report.workers.size() >= kMaxStandingEntries ||
            report.failures.size() >= kMaxFailureEntries) {
            send(report);
            report.workers.clear();
            report.failures.clear();
            report.services.clear();
        }
    }
    if (!report.workers.empty()) {
        send(report);
    }
}

void failure_exchange::send(const failure_report &report) {
    const MonotonicTime now = time_source_.monotonic_now();
    const std::chrono::duration<double> cost(static_cast<double>(peers_.size()) /
                                             knobs_.datagrams_per_second);
    budget_time_ = std::max(budget_time_, now) + std::chrono::duration_cast<Duration>(cost);
    const std::string datagram = encode_failure_report(report, now);
    for (const Address &peer : peers_) {
        datagrams_.send(peer, datagram);
    }
}

void failure_exchange::count_failed(const std::string &service, answer_fault fault) {
    metrics_
        .counter("chalkshed_failed_answers_total",
                 "Answers of workers that failed, by service and kind.",
                 {{"service", service}, {"kind", std::string(answer_fault_name(fault))}})
        .add(1);
}

void failure_exchange::update_gauges() {
    for (const auto &[service, gauge] : gauges_) {
        gauge->set(static_cast<double>(failures_.ejected_count(service)));
    }
}

void failure_exchange::log_change(const standing_change &change) {
    const WorkerPtr worker = workers_.find_hash(change.worker);
    if (!worker) {
        return;
    }
    const std::string &service = worker->record.service;
    gauges_[change.service] =
        &metrics_.gauge("chalkshed_ejected_workers", "Workers avoided because they fail requests.",
                        {{"service", service}});
    update_gauges();
    const std::string source = change.reported_by_peer ? "peer" : "own";
    if (change.ejected) {
        logger_.write(LogLevel::kInfo, "worker_ejected",
                      {{"worker", worker->record.incarnation},
                       {"service", service},
                       {"failures", std::to_string(change.failures)},
                       {"successes", std::to_string(change.successes)},
                       {"rest_failure_rate", share_text(change.rest_rate)},
                       {"level", std::to_string(change.level)},
                       {"source", source}});
        next_repeat_.erase(change.worker);
        return;
    }
    announcements_.erase(change.worker);
    logger_.write(LogLevel::kInfo, "worker_readmitted",
                  {{"worker", worker->record.incarnation},
                   {"service", service},
                   {"ejected_ms", milliseconds_text(change.lasted)},
                   {"level", std::to_string(change.level)},
                   {"source", source}});
    workers_.note_readmitted(change.worker);
}

} // namespace chalkshed
