#include "chalkshed/queue_admission.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr const char *kReservationTable = "job_queue";

StoredRowKey reservation_key(uint64_t queue) {
    return {kReservationTable, "", std::to_string(queue)};
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

uint64_t route_queue_id(const Route &route) {
    return content_hash(route.path_prefix, content_hash(route.host));
}

queue_admission::queue_admission(JobEnvironment &environment, const queue_view &view,
                                 const admission_knobs &knobs)
    : environment_(environment), view_(view), knobs_(knobs) {}

const Route *queue_admission::route_of(const RouteTablePtr &table, const candidate &wanted) const {
    return table ? table->find(wanted.host, wanted.path) : nullptr;
}

admission_verdict queue_admission::judge(const Route &route, uint64_t tokens,
                                         uint64_t reserved) const {
    admission_verdict verdict;
    verdict.limit = route.max_queued_tokens;
    verdict.queued = saturating_sum(view_.queued(route), reserved);
    const uint64_t wanted = saturating_sum(verdict.queued, tokens);
    verdict.admitted = wanted <= verdict.limit;
    if (!verdict.admitted) {
        const double excess = static_cast<double>(wanted - verdict.limit);
        const double seconds = excess / std::max(view_.drain_rate(), 1.0);
        const double most = std::chrono::duration<double>(knobs_.most_retry_after).count();
        verdict.retry_after = std::max(knobs_.least_retry_after,
                                       std::chrono::duration_cast<Duration>(
                                           std::chrono::duration<double>(std::min(seconds, most))));
    }
    return verdict;
}

void queue_admission::admit(const RequestJob &job, const Callback<admission_verdict> &callback) {
    candidate wanted{job.id, tokens_of(job), 0, job.host, job.path};
    const RouteTablePtr table = environment_.routes.current();
    const Route *route = route_of(table, wanted);
    const bool limited = route != nullptr && route->max_queued_tokens > 0;
    if (!table || (limited && !view_.complete())) {
        callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                        "this node does not know the queued jobs yet",
                                        "send the job again, or to another node")));
        return;
    }
    if (!limited) {
        callback(admission_verdict{true, 0, 0, {}});
        return;
    }
    const admission_verdict verdict = judge(*route, wanted.tokens, 0);
    const auto limit = static_cast<double>(verdict.limit);
    const double if_others_accept =
        static_cast<double>(verdict.queued) +
        static_cast<double>(wanted.tokens) * static_cast<double>(knobs_.unseen_jobs);
    if (!verdict.admitted || if_others_accept <= knobs_.unreserved_share * limit) {
        callback(verdict);
        return;
    }
    wanted.queue = route_queue_id(*route);
    reserve(wanted, 0, callback);
}

void queue_admission::reserve(const candidate &wanted, uint32_t conflicts,
                              const Callback<admission_verdict> &callback) {
    const RouteTablePtr table = environment_.routes.current();
    const Route *route = route_of(table, wanted);
    if (route == nullptr) {
        callback(tl::unexpected(not_run(ErrorKind::kNotFound, "the route of the job is gone",
                                        "check the host and the path")));
        return;
    }
    ledger entries = ledgers_[wanted.queue];
    const Duration now = environment_.clock.now();
    std::erase_if(entries.reservations, [&](const reservation &made) {
        return now - made.made > knobs_.reservation_lifetime;
    });
    uint64_t reserved = 0;
    bool own_is_there = false;
    for (const reservation &made : entries.reservations) {
        own_is_there = own_is_there || made.job == wanted.job;
        if (made.job != wanted.job && !view_.counts(made.job)) {
            reserved = saturating_sum(reserved, made.tokens);
        }
    }
    const admission_verdict verdict = judge(*route, wanted.tokens, reserved);
    // A cached row may lack the newest reservations, but never invents one: a refusal may rest on
    // it, an admission has to be written on top of the newest.
    if (!verdict.admitted) {
        callback(verdict);
        return;
    }
    if (!own_is_there) {
        entries.reservations.push_back({wanted.job, wanted.tokens, now});
    }
    StoreTransaction transaction;
    transaction.conditions.push_back({reservation_key(wanted.queue), entries.version});
    transaction.writes.push_back({reservation_key(wanted.queue), encode(entries)});
    environment_.store.commit(std::move(transaction),
                              lifetime_.guard([this, wanted, conflicts, entries,
                                               callback](const Expected<StoreCommit> &commit) {
                                  handle_reserved(wanted, conflicts, entries, commit, callback);
                              }));
}

void queue_admission::handle_reserved(const candidate &wanted, uint32_t conflicts, ledger sent,
                                      const Expected<StoreCommit> &commit,
                                      const Callback<admission_verdict> &callback) {
    if (!commit) {
        // Whether or not the reservation was written, the job was not: it only lapses.
        callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                        "no room could be reserved: " + commit.error().message,
                                        "send the job again, or to another node")));
        return;
    }
    if (commit->committed) {
        sent.version = commit->stamp.version;
        if (sent.version > ledgers_[wanted.queue].version) {
            ledgers_[wanted.queue] = std::move(sent);
        }
        callback(admission_verdict{true, 0, 0, {}});
        return;
    }
    const StoredRow *row = commit->current.empty() ? nullptr : &commit->current.front();
    ledger newest = row == nullptr ? ledger{} : decode(*row);
    if (newest.version >= ledgers_[wanted.queue].version) {
        ledgers_[wanted.queue] = std::move(newest);
    }
    if (conflicts >= knobs_.most_conflicts) {
        callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable,
                                        "other nodes reserve room at the same moment",
                                        "send the job again")));
        return;
    }
    reserve(wanted, conflicts + 1, callback);
}

std::string queue_admission::encode(const ledger &entries) {
    nlohmann::json rows = nlohmann::json::array();
    for (const reservation &made : entries.reservations) {
        rows.push_back(
            {{"job", made.job}, {"tokens", made.tokens}, {"made_us", made.made.count()}});
    }
    return rows.dump();
}

queue_admission::ledger queue_admission::decode(const StoredRow &row) const {
    ledger entries;
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
