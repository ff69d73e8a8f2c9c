#include "chalkshed/cold_start_limit.h"

#include <algorithm>

namespace chalkshed {

/** In any second, a sender sends one request at once and the others at its rate. */
cold_start_limit::rate_division cold_start_limit::divide(const cold_start &service) const {
    const double allowed = service.requests_per_second * knobs_.overrun + knobs_.slack;
    const double planned = allowed * knobs_.planned_fraction;
    // Each sender should have at least one request per second besides the first.
    constexpr double kMinBudgetPerSender = 2.0;
    const auto max_senders = static_cast<size_t>(planned / kMinBudgetPerSender);
    const size_t senders = std::clamp<size_t>(max_senders, 1, knobs_.senders);
    const auto count = static_cast<double>(senders);
    const double rate = std::min(planned / count - 1.0, service.requests_per_second / count);
    if (rate <= 0) {
        return {};
    }
    return {senders, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate))};
}

void cold_start_limit::draw_sender(cold_state &state, const std::string &worker,
                                   const cold_start &service, MonotonicTime now) const {
    const std::optional<MonotonicTime> from = settled();
    const bool knows_nodes = from && now >= *from && own_rank_;
    const std::optional<size_t> rank = knows_nodes ? own_rank_(worker) : std::nullopt;
    state.sender = rank && *rank < divide(service).senders;
}

void cold_start_limit::note_cold(cold_state &state, const std::string &worker,
                                 const cold_start &service, Duration left,
                                 MonotonicTime now) const {
    if (left <= Duration(0)) {
        return;
    }
    if (state.until <= now) {
        // Accounts for requests sent before this node knew that the worker is cold.
        note_sent(state, service, now);
        draw_sender(state, worker, service, now);
    }
    state.until = std::max(state.until, now + left);
}

void cold_start_limit::note_sent(cold_state &state, const cold_start &service,
                                 MonotonicTime now) const {
    state.next = now + divide(service).interval;
}

} // namespace chalkshed
