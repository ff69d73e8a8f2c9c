#include "chalkshed/request_quarantine.h"

#include <algorithm>
#include <optional>

#include "chalkshed/request_digest.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

// Who saw the run being lost; values of a log field and a metric label.
constexpr const char *kSeenHere = "own";
constexpr const char *kReported = "told";

} // namespace

request_quarantine::request_quarantine(TimeSource &time_source, Dispatcher &dispatcher,
                                       const WorkerSet &workers, Logger &logger,
                                       MetricsRegistry &metrics, const quarantine_knobs &knobs)
    : time_source_(time_source), workers_(workers), logger_(logger), metrics_(metrics),
      knobs_(knobs), evidence_(knobs.evidence), part_blame_(evidence_, sound_parts_),
      trial_schedule_(evidence_, knobs.trials),
      trials_(time_source, dispatcher, logger, metrics, turns_),
      timer_(dispatcher.create_timer([this] { review(); })),
      recent_timer_(dispatcher.create_timer([this] { report_recent(); })),
      suspected_timer_(dispatcher.create_timer([this] { report_suspected(); })),
      claim_timer_(dispatcher.create_timer([this] { on_permits_changed_(); })),
      proof_timer_(dispatcher.create_timer([this] { clear_proved_parts(); })) {}

bool request_quarantine::refuses(const ServingRequest &request, const std::string &service) const {
    const MonotonicTime now = time_source_.monotonic_now();
    const run_claim claim{.may_probe = may_probe(request.digest)};
    if (evidence_.permit(request.digest, claim, now) == run_permit::kQuarantined) {
        return true;
    }
    return blame(request, service).verdict == part_verdict::kHeld &&
           !may_be_trial(request, service, now);
}

run_permit request_quarantine::claim_run(const ServingRequest &request, const std::string &service,
                                         bool lost_worker) {
    const uint64_t digest = request.digest;
    const MonotonicTime now = time_source_.monotonic_now();
    const part_verdict verdict = blame(request, service).verdict;
    const run_claim claim{.may_probe = may_probe(digest), .lost_worker = lost_worker};
    run_permit permit = evidence_.permit(digest, claim, now);
    const bool waits =
        verdict == part_verdict::kUnconfirmed || (lost_worker && verdict == part_verdict::kSuspect);
    if (permit != run_permit::kQuarantined && verdict == part_verdict::kHeld) {
        permit = claim_trial(request, service, {permit, run_permit::kQuarantined}, now);
    } else if (permit != run_permit::kQuarantined && waits) {
        permit = claim_trial(request, service, {permit, run_permit::kWait}, now);
    } else {
        permit = take_turn(digest, permit, now);
    }
    if (permit == run_permit::kWait) {
        retry_claims();
    }
    const bool alone = permit == run_permit::kFree && verdict == part_verdict::kSuspect;
    return alone ? run_permit::kExclusive : permit;
}

item_claim request_quarantine::claim_owned_run(const ServingRequest &item,
                                               const std::string &service) {
    const MonotonicTime now = time_source_.monotonic_now();
    const MonotonicTime next_run = evidence_.next_item_run(item.digest);
    if (now < next_run) {
        return {run_permit::kWait, item_hold::kCrashes, next_run};
    }
    const run_permit permit = evidence_.item_permit(item.digest, now);
    const part_verdict verdict = blame(item, service).verdict;
    if (verdict == part_verdict::kFree) {
        const run_permit turn = take_turn(item.digest, permit, now);
        return {turn, turn == run_permit::kWait ? item_hold::kTurn : item_hold::kNone,
                std::nullopt};
    }
    const bool held = verdict == part_verdict::kHeld;
    const run_permit trial = claim_trial(
        item, service, {permit, held ? run_permit::kQuarantined : run_permit::kWait}, now);
    if (trial == run_permit::kExclusive) {
        return {trial, item_hold::kNone, std::nullopt};
    }
    const std::optional<trial_offer> offer = earliest_trial(item, service, now);
    return {trial, item_hold::kPart, offer ? std::optional(offer->due) : std::nullopt};
}

software_id request_quarantine::software_of_worker(const ServingWorker &worker) {
    return software_of(worker.record.service, worker.record.version, "");
}

bool request_quarantine::any_evidence(const ServingRequest &request) const {
    return evidence_.size() > 0 &&
           std::any_of(request.shared_parts.begin(), request.shared_parts.end(),
                       [this](uint64_t part) { return evidence_.has_evidence(part); });
}

blamed_part request_quarantine::blame(const ServingRequest &request,
                                      const std::string &service) const {
    if (!any_evidence(request)) {
        return {};
    }
    const MonotonicTime now = time_source_.monotonic_now();
    std::optional<blamed_part> least;
    for (const auto &[version, workers] : workers_.workers_by_version(service)) {
        const blamed_part blamed =
            part_blame_.blame(request, software_of(service, version, ""), now);
        if (workers > 0 && (!least || blamed.verdict < least->verdict)) {
            least = blamed;
        }
    }
    return least.value_or(blamed_part{});
}

run_permit request_quarantine::take_turn(uint64_t digest, run_permit permit, MonotonicTime now) {
    const bool waits_here = permit == run_permit::kWait && evidence_.under_way(digest);
    const bool may_run = permit == run_permit::kExclusive || permit == run_permit::kWait;
    if (!may_run || waits_here || !evidence_.needs_turn(digest, now)) {
        return permit;
    }
    // Asking before the evidence has settled hides the latency of the turn request.
    if (turns_.take(digest, evidence_.settled_at(digest))) {
        return permit;
    }
    retry_claims();
    return run_permit::kWait;
}

void request_quarantine::retry_claims() {
    if (on_permits_changed_ && !claim_timer_->enabled()) {
        claim_timer_->enable(knobs_.claim_retry_interval);
    }
}

Error request_quarantine::refusal(const ServingRequest &request, const std::string &service) {
    const blamed_part blamed = blame(request, service);
    const bool by_part = blamed.verdict == part_verdict::kHeld;
    if (by_part && held_parts_.insert(blamed.digest).second) {
        log_held_part(blamed.digest, request);
    }
    const uint64_t digest = by_part ? blamed.digest : request.digest;
    const std::string &request_id = request.id;
    constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
    constexpr Duration kMaxRetryAfter = std::chrono::minutes(1);
    const size_t crashes = evidence_.crash_count(digest);
    const MonotonicTime now = time_source_.monotonic_now();
    const std::optional<trial_offer> trial = earliest_trial(request, service, now);
    const Duration wait = !by_part ? evidence_.next_probe(digest) - now
                          : trial  ? trial->due - now
                                   : kMaxRetryAfter;
    Error error = not_run(ErrorKind::kUnavailable,
                          std::to_string(crashes) + " workers crashed while running " +
                              (by_part ? "requests with a part of this prompt" : "this request"),
                          "change the request, or retry it after the Retry-After time");
    error.retry_after = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
    logger_.write(LogLevel::kInfo, "request_held",
                  {{"request", request_id},
                   {"content", digest_text(digest)},
                   {"workers_ended", std::to_string(crashes)},
                   {"next_trial_ms", milliseconds_text(wait)}});
    metrics_
        .counter("chalkshed_quarantined_requests_refused_total",
                 "Requests refused because workers ended under earlier ones of their content.", {})
        .add(1);
    return error;
}

std::function<void()> request_quarantine::note_started(const ServingRequest &request,
                                                       const std::string &service) {
    const uint64_t digest = request.digest;
    const MonotonicTime now = time_source_.monotonic_now();
    evidence_.note_started(digest, now);
    if (evidence_.needs_turn(digest, now)) {
        contents_with_turn_.insert(digest);
    }
    std::vector<uint64_t> tried;
    if (trials_.granted(request.shared_parts)) {
        tried = earliest_trial(request, service, now).value_or(trial_offer{}).parts;
        trials_.note_started(tried, request.id);
    }
    return lifetime_.guard([this, digest, tried] {
        finish_trials(tried);
        evidence_.note_finished(digest);
        if (!evidence_.under_way(digest) && contents_with_turn_.erase(digest) > 0) {
            turns_.note_finished(digest, evidence_.settled_at(digest));
        }
    });
}

void request_quarantine::note_broken(const ServingRequest &request, const ServingWorker &worker,
                                     const lost_run &lost) {
    broken_run run{request.digest, static_cast<uint32_t>(worker.hash), time_source_.monotonic_now(),
                   lost.silent, lost.sent};
    note_lost(run);
    if (outlived_parts(lost)) {
        return;
    }
    run.suspect = crash_suspect::kPart;
    run.software = software_of_worker(worker);
    for (const uint64_t part : request.shared_parts) {
        run.digest = part;
        note_lost(run);
    }
}

void request_quarantine::note_lost(broken_run run) {
    const bool is_new = evidence_.note_broken(run);
    // Many runs of a worker share a part, which is evidence once.
    const bool part = run.suspect == crash_suspect::kPart;
    if (!run.weak && (is_new || !part)) {
        recent_.push_back({run});
        evaluate_recent();
        run.weak = recent_.back().run.weak;
        schedule_reports(run);
    }
    if (is_new) {
        log_broken(run, kSeenHere);
        review_soon(run.digest);
    }
}

void request_quarantine::note_answer_begun(const ServingRequest &request,
                                           const ServingWorker &worker) {
    if (request.shared_parts.empty()) {
        return;
    }
    begun_answers_.push_back({request.shared_parts, software_of_worker(worker),
                              static_cast<uint32_t>(worker.hash), time_source_.monotonic_now()});
    if (!proof_timer_->enabled()) {
        proof_timer_->enable(knobs_.evidence.crash_time);
    }
}

void request_quarantine::clear_proved_parts() {
    const MonotonicTime now = time_source_.monotonic_now();
    while (!begun_answers_.empty() &&
           now - begun_answers_.front().at >= knobs_.evidence.crash_time) {
        const begun_answer begun = std::move(begun_answers_.front());
        begun_answers_.pop_front();
        const bool proved = !evidence_.lost_any(begun.worker, begun.at);
        for (const uint64_t part : begun.parts) {
            if (proved) {
                sound_parts_.note(part, begun.software, now);
                if (evidence_.clear_part(part, begun.software, begun.at) && on_answered_) {
                    on_answered_({part, begun.at, crash_suspect::kPart, begun.software});
                }
            }
            trials_.note_finished(part, now);
        }
    }
    update_held_parts();
    if (!begun_answers_.empty()) {
        proof_timer_->enable(begun_answers_.front().at + knobs_.evidence.crash_time - now);
    }
}

void request_quarantine::schedule_reports(const broken_run &run) {
    suspected_.push_back(run);
    if (!suspected_timer_->enabled()) {
        suspected_timer_->enable(knobs_.suspicion_delay);
    }
    if (!recent_timer_->enabled()) {
        recent_timer_->enable(knobs_.common_cause_window);
    }
}

void request_quarantine::evaluate_recent() {
    const auto lost = static_cast<size_t>(
        std::count_if(recent_.begin(), recent_.end(), [](const recent_run &recent) {
            return recent.run.suspect == crash_suspect::kContent;
        }));
    for (auto &[run, reported] : recent_) {
        if (reported) {
            continue;
        }
        const bool weak = lost > knobs_.max_lost_runs || has_common_cause(run);
        if (weak != run.weak) {
            run.weak = weak;
            evidence_.update_weak(run);
            update_quarantined(run.digest);
        }
    }
}

// A run that was sent after another was lost can't have been lost to the same event.
bool request_quarantine::broke_together(const broken_run &run, const broken_run &other,
                                        Duration within) {
    const bool run_first = run.at < other.at;
    const broken_run &first = run_first ? run : other;
    const broken_run &second = run_first ? other : run;
    return second.sent < first.at && second.at - first.at <= within;
}

// A cut link or a reset interrupts runs of other contents at workers where this content didn't run,
// or many copies of it at the same instant.
bool request_quarantine::has_common_cause(const broken_run &run) const {
    constexpr int kManyCopies = 3;
    int copies = 1;
    for (const auto &[other, reported] : recent_) {
        if (other.worker == run.worker) {
            continue;
        }
        if (other.digest == run.digest) {
            copies += broke_together(run, other, knobs_.same_instant_window) ? 1 : 0;
        } else if (other.suspect == crash_suspect::kContent &&
                   broke_together(run, other, knobs_.common_cause_window) &&
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

void request_quarantine::report_suspected() {
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

void request_quarantine::report_recent() {
    const MonotonicTime now = time_source_.monotonic_now();
    for (recent_run &recent : recent_) {
        const bool due = now - recent.run.at >= knobs_.common_cause_window;
        if (due && !std::exchange(recent.reported, true) && !recent.run.weak && on_broken_) {
            on_broken_(recent.run);
        }
    }
    // A run that is still being evaluated may have been lost together with one that is already
    // reported.
    std::erase_if(recent_, [&](const recent_run &recent) {
        return now - recent.run.at >= 2 * knobs_.common_cause_window;
    });
    if (!recent_.empty()) {
        const bool reported = recent_.front().reported;
        const Duration lasts =
            reported ? 2 * knobs_.common_cause_window : knobs_.common_cause_window;
        recent_timer_->enable(std::max(recent_.front().run.at + lasts - now, Duration(0)));
    }
}

void request_quarantine::note_answered(uint64_t digest, MonotonicTime sent) {
    if (evidence_.clear(digest, sent)) {
        update_quarantined(digest);
        if (on_answered_) {
            on_answered_({digest, sent});
        }
    }
}

void request_quarantine::learn_broken(const broken_run &run) {
    if (evidence_.note_broken(run)) {
        observe_age(run);
        log_broken(run, kReported);
        report_running(run.digest);
        review_soon(run.digest);
    }
}

void request_quarantine::report_running(uint64_t digest) {
    if (evidence_.under_way(digest) && contents_with_turn_.insert(digest).second) {
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
    if (run.suspect == crash_suspect::kPart) {
        evidence_.clear_part(run.digest, run.software, run.sent);
        update_held_parts();
    } else {
        release(run.digest, run.sent);
    }
}

bool request_quarantine::release_by_operator(uint64_t digest) {
    if (evidence_.crash_count(digest) == 0) {
        return false;
    }
    logger_.write(LogLevel::kWarning, "quarantine_released",
                  {{"content", digest_text(digest)},
                   {"workers_ended", std::to_string(evidence_.crash_count(digest))}});
    // Reported and recorded like a complete answer.
    note_answered(digest, time_source_.monotonic_now());
    return true;
}

void request_quarantine::release(uint64_t digest, MonotonicTime up_to) {
    if (evidence_.clear(digest, up_to)) {
        update_quarantined(digest);
    }
}

void request_quarantine::note_listed_workers(MonotonicTime now) {
    size_t listed = 0;
    for (const auto &[incarnation, worker] : workers_.workers()) {
        listed += worker->listed ? 1 : 0;
        if (!worker->listed && !worker->record.leaving) {
            evidence_.note_removed(static_cast<uint32_t>(worker->hash), now);
        }
    }
    evidence_.note_workers(listed);
}

void request_quarantine::review_soon(uint64_t digest) {
    update_quarantined(digest);
    if (!timer_->enabled()) {
        timer_->enable(knobs_.review_interval);
    }
}

void request_quarantine::review() {
    const MonotonicTime now = time_source_.monotonic_now();
    note_listed_workers(now);
    const std::vector<broken_run> ended =
        evidence_.review([this](const broken_run &run) { return fate_of(run); }, now);
    for (const broken_run &run : ended) {
        log_confirmed(run);
        if (run.weak && on_broken_) {
            on_broken_(run);
        }
    }
    update_all_quarantined();
    update_held_parts();
    if (on_reviewed_) {
        on_reviewed_();
    }
    if (evidence_.size() > 0) {
        timer_->enable(knobs_.review_interval);
    }
}

worker_fate request_quarantine::fate_of(const broken_run &run) const {
    const MonotonicTime as_of = time_source_.monotonic_now() - view_age_();
    const bool entry_would_be_gone = as_of > run.at + knobs_.entry_removal_timeout;
    const WorkerPtr worker = workers_.find_hash(run.worker);
    if (!worker) {
        // Either removed long ago, or so new that this node's list doesn't have it yet.
        return entry_would_be_gone ? worker_fate::kEnded : worker_fate::kUnknown;
    }
    if (worker->record.leaving) {
        return worker_fate::kPlanned;
    }
    if (!worker->listed || worker->replaced) {
        return worker_fate::kEnded;
    }
    const bool answered = worker->outcomes.own().succeeded > run.at + knobs_.max_answer_lag;
    return answered || entry_would_be_gone ? worker_fate::kAlive : worker_fate::kUnknown;
}

// Each crash interrupts runs of innocent requests: reports of peers are logged only from the second
// crash of a content on.
void request_quarantine::log_broken(const broken_run &run, const char *source) const {
    metrics_
        .counter("chalkshed_runs_broken_off_total",
                 "Runs that broke off with their worker's connection, by who saw it.",
                 {{"source", source}})
        .add(1);
    const size_t crashes = evidence_.crash_count(run.digest);
    if (source == kReported && crashes < 2) {
        return;
    }
    const WorkerPtr worker = workers_.find_hash(run.worker);
    logger_.write(
        LogLevel::kInfo, "run_broken_off",
        {{run.suspect == crash_suspect::kPart ? "part" : "content", digest_text(run.digest)},
         {"worker", worker ? worker->record.incarnation : ""},
         {"worker_hash", std::to_string(run.worker)},
         {"source", source},
         {"weak", run.weak ? "yes" : "no"},
         {"ran_ms", source == kSeenHere ? milliseconds_text(run.at - run.sent) : ""},
         {"broken_ms_ago", milliseconds_text(time_source_.monotonic_now() - run.at)},
         {"workers_ended", std::to_string(crashes)}});
}

void request_quarantine::log_confirmed(const broken_run &run) const {
    const size_t crashes = evidence_.crash_count(run.digest);
    if (crashes < 2) {
        return;
    }
    logger_.write(LogLevel::kInfo, "worker_end_confirmed",
                  {{"content", digest_text(run.digest)},
                   {"worker_hash", std::to_string(run.worker)},
                   {"broken_ms_ago", milliseconds_text(time_source_.monotonic_now() - run.at)},
                   {"workers_ended", std::to_string(crashes)}});
}

void request_quarantine::update_quarantined(uint64_t digest) {
    const bool quarantined = evidence_.quarantined(digest);
    if (quarantined == quarantined_.contains(digest)) {
        return;
    }
    if (quarantined) {
        quarantined_.insert(digest);
    } else {
        quarantined_.erase(digest);
    }
    logger_.write(quarantined ? LogLevel::kWarning : LogLevel::kInfo,
                  quarantined ? "request_quarantined" : "quarantine_lifted",
                  {{"content", digest_text(digest)},
                   {"workers_ended", std::to_string(evidence_.crash_count(digest))}});
    metrics_.gauge("chalkshed_quarantined_contents", "Contents of requests that are held.", {})
        .set(static_cast<double>(quarantined_.size()));
}

void request_quarantine::log_held_part(uint64_t part, const ServingRequest &request) {
    std::string others;
    for (const uint64_t other : request.shared_parts) {
        others += other == part ? "" : (others.empty() ? "" : " ") + digest_text(other);
    }
    logger_.write(LogLevel::kWarning, "prompt_part_quarantined",
                  {{"part", digest_text(part)},
                   {"workers_ended", std::to_string(evidence_.crash_count(part))},
                   {"request", request.id},
                   {"other_parts", others}});
    metrics_.gauge("chalkshed_quarantined_parts", "Parts of prompts that are held.", {})
        .set(static_cast<double>(held_parts_.size()));
}

void request_quarantine::update_held_parts() {
    std::erase_if(held_parts_, [this](uint64_t part) {
        const bool freed = evidence_.crash_count(part) < knobs_.evidence.quarantine_threshold;
        if (freed) {
            logger_.write(LogLevel::kInfo, "prompt_part_freed", {{"part", digest_text(part)}});
        }
        return freed;
    });
    metrics_.gauge("chalkshed_quarantined_parts", "Parts of prompts that are held.", {})
        .set(static_cast<double>(held_parts_.size()));
}

void request_quarantine::update_all_quarantined() {
    std::vector<uint64_t> digests = evidence_.all_quarantined();
    digests.insert(digests.end(), quarantined_.begin(), quarantined_.end());
    for (const uint64_t digest : digests) {
        update_quarantined(digest);
    }
}

} // namespace chalkshed
