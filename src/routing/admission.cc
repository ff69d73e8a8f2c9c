#include "src/routing/admission.h"

#include <algorithm>

namespace chalkshed {
namespace {

double headroom_of(Urgency urgency, const AdmissionKnobs& knobs) {
  switch (urgency) {
    case Urgency::kUrgent:
      return knobs.urgent_headroom;
    case Urgency::kNormal:
      return knobs.normal_headroom;
    case Urgency::kDeferrable:
      break;
  }
  return knobs.deferrable_headroom;
}

std::string milliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) +
         " ms";
}

}  // namespace

Duration predicted_finish(const RouteRequest& request, Duration first_token,
                          const ServiceProfile& profile) {
  const std::chrono::duration<double> after_first_token(profile.seconds_per_max_token *
                                                        request.max_tokens);
  return first_token + std::chrono::duration_cast<Duration>(after_first_token);
}

std::optional<Error> refuse_if_late(const RouteRequest& request, Duration first_token,
                                    const ServiceProfile& profile, double jitter,
                                    const AdmissionKnobs& knobs) {
  const Duration finish = predicted_finish(request, first_token, profile);
  const auto allowed =
      std::chrono::duration_cast<Duration>(request.time_left * headroom_of(request.urgency, knobs));
  if (finish <= allowed) {
    return std::nullopt;
  }
  Error error =
      not_run(ErrorKind::kOverloaded,
              "service " + request.service + " would take about " + milliseconds(finish) +
                  ", but only " + milliseconds(request.time_left) + " are left until the deadline",
              "retry after the delay in retry_after, or allow a longer deadline");
  // Enough time for the backlog to shrink as needed; the jitter adds up to half of it to spread the
  // retries of the callers.
  const Duration missing =
      std::clamp<Duration>(finish - allowed, knobs.shortest_retry_after, knobs.longest_retry_after);
  error.retry_after = std::chrono::duration_cast<Duration>(missing * (1.0 + 0.5 * jitter));
  return error;
}

}  // namespace chalkshed
