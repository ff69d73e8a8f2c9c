// Estimate of a worker's load at this node: the exact number of its own requests, plus those of
// other nodes according to the latest load report, discounted by the report's age.
#pragma once

#include <cstdint>
#include <optional>

#include "src/core/time.h"
#include "src/engine/engine_client.h"
#include "src/routing/routing_knobs.h"

namespace chalkshed {

// Average number of sequences on a worker of a service, over recent reports.
struct TypicalLoad {
  double online_sequences = 0;
  double batch_sequences = 0;
};

// Averages over a service's engines and answers.
struct ServiceProfile {
  TypicalLoad typical;               // assumed for workers without a recent report
  uint32_t max_sequences = 0;        // maximum batch size of one engine; 0: unknown
  Duration mean_duration{0};         // of recent online answers
  double seconds_per_max_token = 0;  // answer time after the first token, divided by max_tokens
};

class WorkerLoad {
 public:
  // Applies a report of the load at `now`. @return false if it was ignored because a newer one is
  // known (a later incarnation, or a later step of the same incarnation).
  bool report(const EngineLoad& load, MonotonicTime now, const EstimateKnobs& knobs);
  // Clears the load of other nodes; a new incarnation of the worker starts empty.
  void reset_reports();

  // Requests of this node. A request's prompt counts as pending until its first token.
  void request_started(EnginePriority priority, uint32_t prompt_tokens);
  void first_token_seen(EnginePriority priority, uint32_t prompt_tokens);
  // @param awaits_first_token whether first_token_seen() was never called for it.
  void request_ended(EnginePriority priority, uint32_t prompt_tokens, bool awaits_first_token);

  uint32_t own_online() const { return own_[0].sequences; }
  uint32_t own_batch() const { return own_[1].sequences; }
  uint32_t own_in_flight() const { return own_online() + own_batch(); }
  uint32_t own_pending_batch_prompt_tokens() const { return own_[1].pending_prompt_tokens; }

  // Estimates over all nodes.
  double online_sequences(MonotonicTime now, const EstimateKnobs& knobs) const;
  double batch_sequences(MonotonicTime now, const EstimateKnobs& knobs) const;
  double pending_prompt_tokens(MonotonicTime now, const EstimateKnobs& knobs) const;
  // Predicted time to first token of an additional online request.
  // @param prompt_tokens prompt tokens that the worker must prefill.
  // @param round_trip of the network to the worker.
  Duration predicted_first_token(MonotonicTime now, uint32_t prompt_tokens, Duration round_trip,
                                 const ServiceProfile& profile, const EstimateKnobs& knobs) const;

  // Predicted duration of a step with one more online sequence, without prefill.
  Duration predicted_step(MonotonicTime now, const ServiceProfile& profile,
                          const EstimateKnobs& knobs) const;

  double prefill_share() const { return prefill_share_; }
  const std::optional<EngineLoad>& latest() const { return latest_; }
  // Age of the latest report; the maximum duration if there is none.
  Duration age(MonotonicTime now) const;

 private:
  struct OwnWork {
    uint32_t sequences = 0;
    uint32_t pending_prompt_tokens = 0;
  };
  OwnWork& own(EnginePriority priority) {
    return own_[priority == EnginePriority::kOnline ? 0 : 1];
  }
  // Remaining time of the current step for a request that arrives now, and the prompt tokens that
  // the next step must prefill.
  struct StepForecast {
    double until_step_end = 0;  // microseconds
    double prompt_tokens = 0;
  };
  StepForecast forecast(MonotonicTime now, Duration round_trip, double sequences, double step,
                        const EstimateKnobs& knobs) const;
  // Estimates the share from the prompt tokens announced in the previous report and the duration of
  // the step after it.
  void learn_prefill_share(const EngineLoad& load, const EstimateKnobs& knobs);
  // Expected online sequences and all sequences; the service's typical load replaces outdated
  // reports.
  double expected_online(MonotonicTime now, const ServiceProfile& profile,
                         const EstimateKnobs& knobs) const;
  double expected_sequences(MonotonicTime now, const ServiceProfile& profile,
                            const EstimateKnobs& knobs) const;
  double discount(MonotonicTime now, const EstimateKnobs& knobs) const;

  OwnWork own_[2];  // online, batch
  std::optional<EngineLoad> latest_;
  MonotonicTime reported_at_{};
  uint32_t own_prompt_tokens_since_report_ = 0;
  // Share of announced prompt tokens that engines actually prefill; the rest is in the prefix
  // cache.
  double prefill_share_ = 1.0;
  // Load of other nodes according to the latest report.
  double foreign_online_ = 0;
  double foreign_batch_ = 0;
  double foreign_prompt_tokens_ = 0;
};

}  // namespace chalkshed
