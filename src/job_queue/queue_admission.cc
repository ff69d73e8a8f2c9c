#include "chalkshed/queue_admission.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr const char *kReservationTable = "job_queue";

// Each queue has its own partition, because the write rate of a partition is limited.
StoredRowKey reservation_key(uint64_t queue) {
    const std::string name = std::to_string(queue);
    return {kReservationTable, "queue-" + name, name};
}

uint64_t saturating_sum(uint64_t a, uint64_t b) {
    return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

uint64_t tokens_of(const RequestJob &job) {
    uint64_t sum = 0;
    for (const ServingRequest &item : job.items) {
        sum = saturating_sum(sum, item.queue_tokens);
    }
    return sum;
}

} // namespace

uint64_t route_queue_id(const Route &route, const std::string &tenant) {
    const uint64_t queue = content_hash(route.path_prefix, content_hash(route.host));
    return tenant.empty() ? queue : content_hash(tenant, queue);
}

queue_admission::queue_admission(JobEnvironment &environment, const queue_view &view,
                                 const admission_knobs &knobs)
    : environment_(environment), view_(view), knobs_(knobs) {}

const Route *queue_admission::route_of(const RouteTablePtr &table, const candidate &wanted) const {
    return table ? table->find(wanted.host, wanted.path) : nullptr;
}

admission_verdict queue_admission::evaluate(const Route &route, const candidate &wanted,
                                            uint64_t reserved) const {
    admission_verdict verdict;
    verdict.limit = route.max_queued_tokens;
    verdict.queued = saturating_sum(view_.queued(route, wanted.tenant), reserved);
    const uint64_t filled = saturating_sum(verdict.queued, wanted.tokens);
    verdict.admitted = filled <= verdict.limit;
    if (!verdict.admitted) {
        const double excess = static_cast<double>(filled - verdict.limit);
        const double seconds = excess / std::max(view_.drain_rate(), 1.0);
        const double most = std::chrono::duration<double>(knobs_.max_retry_after).count();
        verdict.retry_after = std::max(knobs_.min_retry_after,
                                       std::chrono::duration_cast<Duration>(
                                           std::chrono::duration<double>(std::min(seconds, most))));
    }
    return verdict;
}

void queue_admission::admit(const RequestJob &job, const Callback<admission_verdict> &callback) {
    candidate wanted{job.id, job.tenant, tokens_of(job), job.host, job.path, callback};
    const RouteTablePtr table = environment_.routes.current();
    const Route *route = route_of(table, wanted);
    const bool limited = route != nullptr && route->max_queued_tokens > 0;
    if (!table || (limited && !view_.complete())) {
        callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                        "this node has not read the queued jobs yet",
                                        "send the job again, or to another node")));
        return;
    }
    if (!limited) {
        callback(admission_verdict{true, 0, 0, {}});
        return;
    }
    const admission_verdict verdict = evaluate(*route, wanted, 0);
    const auto limit = static_cast<double>(verdict.limit);
    const double if_others_accept =
        static_cast<double>(verdict.queued) +
        static_cast<double>(wanted.tokens) * static_cast<double>(knobs_.concurrent_jobs_margin);
    if (!verdict.admitted || if_others_accept <= knobs_.unreserved_share * limit) {
        callback(verdict);
        return;
    }
    const uint64_t queue = route_queue_id(*route, wanted.tenant);
    reserve(queue, std::move(wanted));
}

void queue_admission::reserve(uint64_t queue, candidate wanted) {
    queue_state &state = queue_states_[queue];
    state.waiting.push_back(std::move(wanted));
    if (!std::exchange(state.busy, true)) {
        write_reservations(queue);
    }
}

queue_admission::reservation_row queue_admission::add_reservations(queue_state &state,
                                                                   std::vector<candidate> waiting) {
    reservation_row entries = state.latest;
    const Duration now = environment_.clock.now();
    std::erase_if(entries.reservations, [&](const reservation &made) {
        return now - made.created > knobs_.reservation_lifetime;
    });
    const RouteTablePtr table = environment_.routes.current();
    for (candidate &wanted : waiting) {
        const Route *route = route_of(table, wanted);
        if (route == nullptr) {
            wanted.callback(
                tl::unexpected(not_run(ErrorKind::kNotFound, "the route of the job was removed",
                                       "check the host and the path")));
            continue;
        }
        uint64_t reserved = 0;
        for (const reservation &made : entries.reservations) {
            if (made.job != wanted.job && !view_.is_counted(made.job)) {
                reserved = saturating_sum(reserved, made.tokens);
            }
        }
        // The cached row may be out of date and lack reservations. A refusal may be based on it; an
        // admission is confirmed by the conditional write of the row.
        const admission_verdict verdict = evaluate(*route, wanted, reserved);
        if (!verdict.admitted) {
            wanted.callback(verdict);
            continue;
        }
        std::erase_if(entries.reservations,
                      [&](const reservation &made) { return made.job == wanted.job; });
        entries.reservations.push_back({wanted.job, wanted.tokens, now});
        state.reserving.push_back(std::move(wanted));
    }
    return entries;
}

void queue_admission::write_reservations(uint64_t queue) {
    queue_state &state = queue_states_[queue];
    const size_t count = std::min(state.waiting.size(), knobs_.max_jobs_per_write);
    const auto end = state.waiting.begin() + static_cast<ptrdiff_t>(count);
    std::vector<candidate> waiting(std::make_move_iterator(state.waiting.begin()),
                                   std::make_move_iterator(end));
    state.waiting.erase(state.waiting.begin(), end);
    reservation_row entries = add_reservations(state, std::move(waiting));
    if (state.reserving.empty()) {
        finish_write(queue, admission_verdict{true, 0, 0, {}});
        return;
    }
    StoreTransaction transaction;
    transaction.conditions.push_back({reservation_key(queue), entries.version});
    transaction.writes.push_back({reservation_key(queue), encode(entries)});
    environment_.store.commit(
        std::move(transaction),
        lifetime_.guard([this, queue, entries](const Expected<StoreCommit> &commit) {
            handle_written(queue, entries, commit);
        }));
}

void queue_admission::handle_written(uint64_t queue, reservation_row sent,
                                     const Expected<StoreCommit> &commit) {
    if (!commit) {
        // Even if the reservations were written, the jobs were not stored: the reservations expire.
        finish_write(
            queue, tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                          "no tokens could be reserved: " + commit.error().message,
                                          "send the job again, or to another node")));
        return;
    }
    if (!commit->committed) {
        handle_conflict(queue, *commit);
        return;
    }
    sent.version = commit->stamp.version;
    queue_states_[queue].latest = std::move(sent);
    finish_write(queue, admission_verdict{true, 0, 0, {}});
}

void queue_admission::handle_conflict(uint64_t queue, const StoreCommit &commit) {
    queue_state &state = queue_states_[queue];
    state.latest = commit.current.empty() ? reservation_row{} : decode(commit.current.front());
    if (state.conflicts >= knobs_.max_conflicts) {
        finish_write(queue, tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                                   "other nodes reserve tokens at the same time",
                                                   "send the job again")));
        return;
    }
    state.waiting.insert(state.waiting.begin(), std::make_move_iterator(state.reserving.begin()),
                         std::make_move_iterator(state.reserving.end()));
    state.reserving.clear();
    const auto most = static_cast<double>(knobs_.conflict_backoff.count() << state.conflicts++);
    if (!state.backoff) {
        state.backoff = environment_.serving.dispatcher.create_timer(
            [this, queue] { write_reservations(queue); });
    }
    state.backoff->enable(
        Duration(static_cast<int64_t>(environment_.serving.random.unit() * most)));
}

void queue_admission::finish_write(uint64_t queue, const Expected<admission_verdict> &verdict) {
    queue_state &state = queue_states_[queue];
    const std::vector<candidate> answered = std::exchange(state.reserving, {});
    state.conflicts = 0;
    state.busy = !state.waiting.empty();
    if (state.busy) {
        environment_.serving.dispatcher.post(
            lifetime_.guard([this, queue] { write_reservations(queue); }));
    }
    for (const candidate &wanted : answered) {
        wanted.callback(verdict);
    }
}

std::string queue_admission::encode(const reservation_row &entries) {
    nlohmann::json rows = nlohmann::json::array();
    for (const reservation &made : entries.reservations) {
        rows.push_back(
            {{"job", made.job}, {"tokens", made.tokens}, {"made_us", made.created.count()}});
    }
    return rows.dump();
}

queue_admission::reservation_row queue_admission::decode(const StoredRow &row) const {
    reservation_row entries;
    entries.version = row.version;
    const nlohmann::json rows = nlohmann::json::parse(row.value, nullptr, false);
    if (!rows.is_array()) {
        return entries;
    }
    try {
        for (const nlohmann::json &fields : rows) {
            entries.reservations.push_back({fields.at("job").get<std::string>(),
                                            fields.at("tokens").get<uint64_t>(),
                                            Duration(fields.at("made_us").get<int64_t>())});
        }
    } catch (const nlohmann::json::exception &problem) {
        environment_.serving.logger.write(
            LogLevel::kError, "reservations_rejected",
            {{"row", row.key.key}, {"reason", problem.what()}, {"remedy", "delete the row"}});
    }
    return entries;
}

} // namespace chalkshed
