#include "chalkshed/queued_tokens.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {

queued_tokens::queued_tokens(const queued_tokens_knobs &knobs) : knobs_(knobs) {}

void queued_tokens::note(const job_remainder &reported, MonotonicTime now) {
    const auto [entry, is_new] =
        reports_.try_emplace(reported.job, report{reported.queue, reported.tokens, now});
    report &known = entry->second;
    known.received = now;
    if (!is_new && reported.tokens < known.tokens) {
        record_drained(known.tokens - reported.tokens, now);
        known.tokens = reported.tokens;
    }
}

void queued_tokens::close(uint64_t job, MonotonicTime now) {
    const auto found = reports_.find(job);
    if (found == reports_.end()) {
        return;
    }
    record_drained(found->second.tokens, now);
    found->second.tokens = 0;
}

uint64_t queued_tokens::remaining_tokens(uint64_t job, uint64_t tokens) const {
    const auto found = reports_.find(job);
    return found == reports_.end() ? tokens : std::min(tokens, found->second.tokens);
}

bool queued_tokens::reported(uint64_t job, MonotonicTime now) const {
    const auto found = reports_.find(job);
    return found != reports_.end() && now - found->second.received <= knobs_.unlisted_lifetime;
}

uint64_t queued_tokens::unlisted(uint64_t queue, const std::function<bool(uint64_t)> &listed,
                                 MonotonicTime now) const {
    uint64_t sum = 0;
    for (const auto &[job, known] : reports_) {
        if (known.queue == queue && reported(job, now) && !listed(job)) {
            sum += known.tokens;
        }
    }
    return sum;
}

void queued_tokens::record_drained(uint64_t tokens, MonotonicTime now) {
    const double window = std::chrono::duration<double>(knobs_.drain_window).count();
    drained_ = drain_rate(now) * window + static_cast<double>(tokens);
    drained_at_ = now;
}

double queued_tokens::drain_rate(MonotonicTime now) const {
    const double window = std::chrono::duration<double>(knobs_.drain_window).count();
    const double age = std::chrono::duration<double>(now - drained_at_).count();
    return drained_ / window * std::exp(-age / window);
}

void queued_tokens::prune(MonotonicTime now, const std::function<bool(uint64_t)> &listed) {
    std::erase_if(reports_, [&](const auto &entry) {
        return now - entry.second.received > knobs_.unlisted_lifetime && !listed(entry.first);
    });
}

} // namespace chalkshed
