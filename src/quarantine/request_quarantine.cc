#include "chalkshed/request_quarantine.h"

#include <algorithm>

#include "chalkshed/request_digest.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

// Who saw a run break off.
constexpr const char *kOwn = "own";
constexpr const char *kTold = "told";

} // namespace

request_quarantine::request_quarantine(TimeSource &time_source, Dispatcher &dispatcher,
                                       const WorkerSet &workers, Logger &logger,
                                       MetricsRegistry &metrics, const quarantine_knobs &knobs)
    : time_source_(time_source), workers_(workers), logger_(logger), metrics_(metrics),
      knobs_(knobs), evidence_(knobs.evidence),
      timer_(dispatcher.create_timer([this] { review(); })),
      recent_timer_(dispatcher.create_timer([this] { tell_recent(); })),
      suspected_timer_(dispatcher.create_timer([this] { tell_suspected(); })),
      claim_timer_(dispatcher.create_timer([this] { on_permits_changed_(); })) {}

bool request_quarantine::refuses(uint64_t digest) const {
    const run_claim claim{.tries = tries(digest)};
    return evidence_.permit(digest, claim, time_source_.monotonic_now()) ==
           run_permit::kQuarantined;
}

run_permit request_quarantine::claim_run(uint64_t digest, bool lost_worker) {
    const MonotonicTime now = time_source_.monotonic_now();
    const run_claim claim{.tries = tries(digest), .lost_worker = lost_worker};
    run_permit permit = evidence_.permit(digest, claim, now);
    const bool may_run = permit == run_permit::kAlone || permit == run_permit::kWait;
    if (may_run && evidence_.needs_turn(digest, now) && !evidence_.under_way(digest)) {
        // Asked while the evidence is still fresh, the answer is there when it has settled.
        const bool in_turn = turns_.take(digest, evidence_.settled_at(digest));
        permit = in_turn ? permit : run_permit::kWait;
    }
    if (permit == run_permit::kWait && on_permits_changed_ && !claim_timer_->enabled()) {
        claim_timer_->enable(knobs_.claim_interval);
    }
    return permit;
}

run_permit request_quarantine::permit_owned(uint64_t digest) const {
    return evidence_.permit(digest, {.tries = true}, time_source_.monotonic_now());
}

Error request_quarantine::refusal(uint64_t digest, const std::string &request_id) const {
    constexpr Duration kSoonest = std::chrono::seconds(1);
    constexpr Duration kLatest = std::chrono::minutes(1);
    const size_t ends = evidence_.ends(digest);
    const Duration wait = evidence_.next_trial(digest) - time_source_.monotonic_now();
    Error error = not_run(ErrorKind::kUnavailable,
                          std::to_string(ends) + " workers ended while they ran this request",
                          "change the request, or send it again after the time given");
    error.retry_after = std::clamp(wait, kSoonest, kLatest);
    logger_.write(LogLevel::kInfo, "request_held",
                  {{"request", request_id},
                   {"content", digest_text(digest)},
                   {"workers_ended", std::to_string(ends)},
                   {"next_trial_ms", milliseconds_text(wait)}});
    metrics_
        .counter("chalkshed_quarantined_requests_refused_total",
                 "Requests refused because workers ended under earlier ones of their content.", {})
        .add(1);
    return error;
}

std::function<void()> request_quarantine::note_started(uint64_t digest) {
    const MonotonicTime now = time_source_.monotonic_now();
    evidence_.note_started(digest, now);
    if (evidence_.needs_turn(digest, now)) {
        in_turn_.insert(digest);
    }
    return lifetime_.guard([this, digest] {
        evidence_.note_finished(digest);
        if (!evidence_.under_way(digest) && in_turn_.erase(digest) > 0) {
            turns_.note_finished(digest, evidence_.settled_at(digest));
        }
    });
}

void request_quarantine::note_broken(uint64_t digest, const ServingWorker &worker,
                                     MonotonicTime sent, bool silent) {
    broken_run run{digest, static_cast<uint32_t>(worker.hash), time_source_.monotonic_now(), silent,
                   sent};
    const bool is_new = evidence_.note_broken(run);
    if (!silent) {
        recent_.push_back({run});
        judge_recent();
        run.weak = recent_.back().run.weak;
        tell_soon(run);
    }
    if (is_new) {
        log_broken(run, kOwn);
        review_soon(digest);
    }
}

void request_quarantine::tell_soon(const broken_run &run) {
    suspected_.push_back(run);
    if (!suspected_timer_->enabled()) {
        suspected_timer_->enable(knobs_.suspected_after);
    }
    if (!recent_timer_->enabled()) {
        recent_timer_->enable(knobs_.common_cause);
    }
}

void request_quarantine::judge_recent() {
    for (auto &[run, told] : recent_) {
        if (told) {
            continue;
        }
        const bool weak = recent_.size() > knobs_.most_judged || has_common_cause(run);
        if (weak != run.weak) {
            run.weak = weak;
            evidence_.revise(run);
            update_held(run.digest);
        }
    }
}

// What was sent after a run had broken off is no part of what took that one.
bool request_quarantine::broke_together(const broken_run &run, const broken_run &other,
                                        Duration within) {
    const bool run_first = run.at < other.at;
    const broken_run &first = run_first ? run : other;
    const broken_run &second = run_first ? other : run;
    return second.sent < first.at && second.at - first.at <= within;
}

// A cut or a reset takes runs of other contents at workers where this one did not run, or many
// copies of it at one moment.
bool request_quarantine::has_common_cause(const broken_run &run) const {
    constexpr int kManyCopies = 3;
    int copies = 1;
    for (const auto &[other, told] : recent_) {
        if (other.worker == run.worker) {
            continue;
        }
        if (other.digest == run.digest) {
            copies += broke_together(run, other, knobs_.same_moment) ? 1 : 0;
        } else if (broke_together(run, other, knobs_.common_cause) &&
                   !explained(run.digest, other.worker)) {
            return true;
        }
    }
    return copies >= kManyCopies;
}

bool request_quarantine::explained(uint64_t digest, uint32_t worker) const {
    return std::any_of(recent_.begin(), recent_.end(), [&](const recent_run &recent) {
        return recent.run.digest == digest && recent.run.worker == worker;
    });
}

void request_quarantine::tell_suspected() {
    for (broken_run &run : std::exchange(suspected_, {})) {
        const bool weak =
            std::any_of(recent_.begin(), recent_.end(), [&](const recent_run &recent) {
                return recent.run.digest == run.digest && recent.run.worker == run.worker &&
                       recent.run.weak;
            });
        if (!weak && on_suspected_) {
            run.suspected = true;
            on_suspected_(run);
        }
    }
}

void request_quarantine::tell_recent() {
    const MonotonicTime now = time_source_.monotonic_now();
    for (recent_run &recent : recent_) {
        const bool due = now - recent.run.at >= knobs_.common_cause;
        if (due && !std::exchange(recent.told, true) && !recent.run.weak && on_broken_) {
            on_broken_(recent.run);
        }
    }
    // One that is judged still may have broken off together with one that has been sent.
    std::erase_if(recent_, [&](const recent_run &recent) {
        return now - recent.run.at >= 2 * knobs_.common_cause;
    });
    if (!recent_.empty()) {
        const bool told = recent_.front().told;
        const Duration lasts = told ? 2 * knobs_.common_cause : knobs_.common_cause;
        recent_timer_->enable(std::max(recent_.front().run.at + lasts - now, Duration(0)));
    }
}

void request_quarantine::note_answered(uint64_t digest, MonotonicTime sent) {
    if (evidence_.clear(digest, sent)) {
        update_held(digest);
        if (on_answered_) {
            on_answered_({digest, sent});
        }
    }
}

void request_quarantine::learn_broken(const broken_run &run) {
    if (evidence_.note_broken(run)) {
        observe_age(run);
        log_broken(run, kTold);
        note_running_elsewhere(run.digest);
        review_soon(run.digest);
    }
}

void request_quarantine::note_running_elsewhere(uint64_t digest) {
    if (evidence_.under_way(digest) && in_turn_.insert(digest).second) {
        turns_.note_running(digest);
    }
}

void request_quarantine::observe_age(const broken_run &run) const {
    const std::chrono::duration<double> age = time_source_.monotonic_now() - run.at;
    metrics_
        .histogram("chalkshed_told_break_age_seconds",
                   "How long ago a run had broken off when this node was told of it.", {})
        .observe(age.count());
}

void request_quarantine::learn_answered(const answered_run &run) {
    release(run.digest, run.sent);
}

bool request_quarantine::release_by_operator(uint64_t digest) {
    if (evidence_.ends(digest) == 0) {
        return false;
    }
    logger_.write(LogLevel::kWarning, "quarantine_released",
                  {{"content", digest_text(digest)},
                   {"workers_ended", std::to_string(evidence_.ends(digest))}});
    // Told and recorded as a whole answer to it would be.
    note_answered(digest, time_source_.monotonic_now());
    return true;
}

void request_quarantine::release(uint64_t digest, MonotonicTime up_to) {
    if (evidence_.clear(digest, up_to)) {
        update_held(digest);
    }
}

void request_quarantine::review_soon(uint64_t digest) {
    update_held(digest);
    if (!timer_->enabled()) {
        timer_->enable(knobs_.review_interval);
    }
}

void request_quarantine::review() {
    const MonotonicTime now = time_source_.monotonic_now();
    const std::vector<broken_run> ended =
        evidence_.review([this](const broken_run &run) { return fate_of(run); }, now);
    for (const broken_run &run : ended) {
        log_confirmed(run);
        if (run.weak && on_broken_) {
            on_broken_(run);
        }
    }
    update_all_held();
    if (on_reviewed_) {
        on_reviewed_();
    }
    if (evidence_.size() > 0) {
        timer_->enable(knobs_.review_interval);
    }
}

worker_fate request_quarantine::fate_of(const broken_run &run) const {
    const MonotonicTime as_of = time_source_.monotonic_now() - view_age_();
    const bool would_be_gone = as_of > run.at + knobs_.entry_gone_within;
    const WorkerPtr worker = workers_.find_hash(run.worker);
    if (!worker) {
        // Long gone, or so new that this node has not heard of it.
        return would_be_gone ? worker_fate::kEnded : worker_fate::kUnknown;
    }
    if (worker->record.leaving) {
        return worker_fate::kPlanned;
    }
    if (!worker->listed || worker->replaced) {
        return worker_fate::kEnded;
    }
    const bool answered = worker->outcomes.own().succeeded > run.at + knobs_.answer_lag;
    return answered || would_be_gone ? worker_fate::kAlive : worker_fate::kUnknown;
}

// Each crash breaks off runs of innocent requests: of what peers tell, only what repeats is logged.
void request_quarantine::log_broken(const broken_run &run, const char *source) const {
    metrics_
        .counter("chalkshed_runs_broken_off_total",
                 "Runs that broke off with their worker's connection, by who saw it.",
                 {{"source", source}})
        .add(1);
    const size_t ends = evidence_.ends(run.digest);
    if (source == kTold && ends < 2) {
        return;
    }
    const WorkerPtr worker = workers_.find_hash(run.worker);
    logger_.write(LogLevel::kInfo, "run_broken_off",
                  {{"content", digest_text(run.digest)},
                   {"worker", worker ? worker->record.incarnation : ""},
                   {"worker_hash", std::to_string(run.worker)},
                   {"source", source},
                   {"weak", run.weak ? "yes" : "no"},
                   {"ran_ms", source == kOwn ? milliseconds_text(run.at - run.sent) : ""},
                   {"broken_ms_ago", milliseconds_text(time_source_.monotonic_now() - run.at)},
                   {"workers_ended", std::to_string(ends)}});
}

void request_quarantine::log_confirmed(const broken_run &run) const {
    const size_t ends = evidence_.ends(run.digest);
    if (ends < 2) {
        return;
    }
    logger_.write(LogLevel::kInfo, "worker_end_confirmed",
                  {{"content", digest_text(run.digest)},
                   {"worker_hash", std::to_string(run.worker)},
                   {"broken_ms_ago", milliseconds_text(time_source_.monotonic_now() - run.at)},
                   {"workers_ended", std::to_string(ends)}});
}

void request_quarantine::update_held(uint64_t digest) {
    const bool held = evidence_.quarantined(digest);
    if (held == held_.contains(digest)) {
        return;
    }
    if (held) {
        held_.insert(digest);
    } else {
        held_.erase(digest);
    }
    logger_.write(held ? LogLevel::kWarning : LogLevel::kInfo,
                  held ? "request_quarantined" : "quarantine_lifted",
                  {{"content", digest_text(digest)},
                   {"workers_ended", std::to_string(evidence_.ends(digest))}});
    metrics_.gauge("chalkshed_quarantined_contents", "Contents of requests that are held.", {})
        .set(static_cast<double>(held_.size()));
}

void request_quarantine::update_all_held() {
    std::vector<uint64_t> digests = evidence_.all_quarantined();
    digests.insert(digests.end(), held_.begin(), held_.end());
    for (const uint64_t digest : digests) {
        update_held(digest);
    }
}

} // namespace chalkshed
