#include "src/routing/worker_load.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {
namespace {

double excess(uint32_t reported, uint32_t own) {
  return reported > own ? static_cast<double>(reported - own) : 0.0;
}

bool is_older(const EngineLoad& load, const EngineLoad& than) {
  if (load.incarnation != than.incarnation) {
    return load.incarnation < than.incarnation;
  }
  return load.step_number < than.step_number;
}

}  // namespace

bool WorkerLoad::report(const EngineLoad& load, MonotonicTime now, const EstimateKnobs& knobs) {
  if (latest_ && is_older(load, *latest_)) {
    return false;
  }
  learn_prefill_share(load, knobs);
  latest_ = load;
  reported_at_ = now;
  own_prompt_tokens_since_report_ = 0;
  foreign_online_ = excess(load.running_online + load.waiting_online, own_[0].sequences);
  foreign_batch_ = excess(load.running_batch + load.waiting_batch, own_[1].sequences);
  const uint32_t own_prompts = own_[0].pending_prompt_tokens + own_[1].pending_prompt_tokens;
  foreign_prompt_tokens_ = excess(load.pending_prompt_tokens, own_prompts);
  return true;
}

void WorkerLoad::learn_prefill_share(const EngineLoad& load, const EstimateKnobs& knobs) {
  // With fewer announced tokens, the step time says little about the prefill.
  constexpr uint32_t kMinTokens = 64;
  constexpr double kSmoothing = 0.1;
  constexpr double kSmallestShare = 0.05;
  const bool next_step = latest_ && load.incarnation == latest_->incarnation &&
                         load.step_number == latest_->step_number + 1;
  if (!next_step || latest_->pending_prompt_tokens < kMinTokens) {
    return;
  }
  const double announced = std::min(latest_->pending_prompt_tokens, knobs.prompt_tokens_per_step);
  const double sequences = latest_->running_online + latest_->running_batch +
                           latest_->waiting_online + latest_->waiting_batch;
  const double prompt_time =
      static_cast<double>(load.last_step_time.count()) -
      (knobs.step_base.count() + knobs.step_per_sequence.count() * sequences);
  const double prefilled = prompt_time / std::max<double>(1.0, knobs.step_per_prompt_token.count());
  const double share = std::clamp(prefilled / announced, kSmallestShare, 1.0);
  prefill_share_ += kSmoothing * (share - prefill_share_);
}

void WorkerLoad::reset_reports() {
  latest_.reset();
  foreign_online_ = 0;
  foreign_batch_ = 0;
  foreign_prompt_tokens_ = 0;
}

void WorkerLoad::request_started(EnginePriority priority, uint32_t prompt_tokens) {
  OwnWork& work = own(priority);
  ++work.sequences;
  work.pending_prompt_tokens += prompt_tokens;
  own_prompt_tokens_since_report_ += prompt_tokens;
}

void WorkerLoad::first_token_seen(EnginePriority priority, uint32_t prompt_tokens) {
  OwnWork& work = own(priority);
  work.pending_prompt_tokens -= std::min(work.pending_prompt_tokens, prompt_tokens);
}

void WorkerLoad::request_ended(EnginePriority priority, uint32_t prompt_tokens,
                               bool awaits_first_token) {
  OwnWork& work = own(priority);
  work.sequences -= std::min(work.sequences, 1U);
  if (awaits_first_token) {
    first_token_seen(priority, prompt_tokens);
  }
}

double WorkerLoad::discount(MonotonicTime now, const EstimateKnobs& knobs) const {
  const double age_in_half_lives = std::chrono::duration<double>(now - reported_at_) /
                                   std::chrono::duration<double>(knobs.report_half_life);
  return std::exp2(-std::max(0.0, age_in_half_lives));
}

double WorkerLoad::online_sequences(MonotonicTime now, const EstimateKnobs& knobs) const {
  return own_[0].sequences + foreign_online_ * discount(now, knobs);
}

double WorkerLoad::batch_sequences(MonotonicTime now, const EstimateKnobs& knobs) const {
  return own_[1].sequences + foreign_batch_ * discount(now, knobs);
}

double WorkerLoad::pending_prompt_tokens(MonotonicTime now, const EstimateKnobs& knobs) const {
  const double own = own_[0].pending_prompt_tokens + own_[1].pending_prompt_tokens;
  return own + foreign_prompt_tokens_ * discount(now, knobs);
}

WorkerLoad::StepForecast WorkerLoad::forecast(MonotonicTime now, Duration round_trip,
                                              double sequences, double step,
                                              const EstimateKnobs& knobs) const {
  StepForecast forecast;
  const double per_prompt_token = static_cast<double>(knobs.step_per_prompt_token.count());
  if (latest_) {
    // Reports are sent at the end of a step; the next step runs what was running or waiting then.
    const double running = latest_->running_online + latest_->running_batch +
                           latest_->waiting_online + latest_->waiting_batch;
    const double pending = prefill_share_ * latest_->pending_prompt_tokens;
    const double prefilled = std::min<double>(pending, knobs.prompt_tokens_per_step);
    const double length = knobs.step_base.count() + knobs.step_per_sequence.count() * running +
                          per_prompt_token * prefilled;
    const double left = length - static_cast<double>((now - reported_at_ + round_trip).count());
    if (running > 0 && left > 0) {
      forecast.until_step_end = left;
      forecast.prompt_tokens =
          pending - prefilled + prefill_share_ * own_prompt_tokens_since_report_;
      return forecast;
    }
  }
  const bool idle = sequences < 0.5;
  forecast.until_step_end = idle ? 0 : step / 2;
  forecast.prompt_tokens = prefill_share_ * pending_prompt_tokens(now, knobs);
  return forecast;
}

Duration WorkerLoad::predicted_first_token(MonotonicTime now, uint32_t prompt_tokens,
                                           Duration round_trip, const ServiceProfile& profile,
                                           const EstimateKnobs& knobs) const {
  const double online = expected_online(now, profile, knobs);
  const double max_sequences = std::max(1U, profile.max_sequences);
  const double sequences = expected_sequences(now, profile, knobs);
  const double step = static_cast<double>(predicted_step(now, profile, knobs).count());
  const StepForecast next = forecast(now, round_trip, sequences, step, knobs);
  double total = static_cast<double>(round_trip.count()) + next.until_step_end + step +
                 knobs.step_per_prompt_token.count() * (next.prompt_tokens + prompt_tokens);
  // The engine prioritizes online work over batch work, so only online sequences queue.
  const double queued = online + 1 - max_sequences;
  if (profile.max_sequences > 0 && queued > 0) {
    total += queued * static_cast<double>(profile.mean_duration.count()) / max_sequences;
  }
  return Duration(static_cast<Duration::rep>(total));
}

// As the latest report ages, its weight shifts to the typical load.
double WorkerLoad::expected_online(MonotonicTime now, const ServiceProfile& profile,
                                   const EstimateKnobs& knobs) const {
  const double unknown = latest_ ? 1.0 - discount(now, knobs) : 1.0;
  const double typical = unknown * profile.typical.online_sequences;
  return own_online() +
         std::max(0.0, foreign_online_ * discount(now, knobs) + typical - unknown * own_online());
}

double WorkerLoad::expected_sequences(MonotonicTime now, const ServiceProfile& profile,
                                      const EstimateKnobs& knobs) const {
  const double unknown = latest_ ? 1.0 - discount(now, knobs) : 1.0;
  const double batch = batch_sequences(now, knobs) + unknown * profile.typical.batch_sequences;
  return expected_online(now, profile, knobs) + batch;
}

Duration WorkerLoad::predicted_step(MonotonicTime now, const ServiceProfile& profile,
                                    const EstimateKnobs& knobs) const {
  const double max_sequences = std::max(1U, profile.max_sequences);
  const double sequences = expected_sequences(now, profile, knobs) + 1;
  const double step = knobs.step_base.count() +
                      knobs.step_per_sequence.count() * std::min(sequences, max_sequences);
  return Duration(static_cast<Duration::rep>(step));
}

Duration WorkerLoad::age(MonotonicTime now) const {
  return latest_ ? now - reported_at_ : Duration::max();
}

}  // namespace chalkshed
