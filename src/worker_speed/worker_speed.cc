#include "chalkshed/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {
namespace {

double to_seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

// Events that arrive together, because the node had no processor time, say nothing each.
constexpr size_t kMinLaterEvents = 4;

} // namespace

void speed_samples::add(const speed_samples &other) {
    const double total = weight + other.weight;
    if (total > 0) {
        log_speed = (log_speed * weight + other.log_speed * other.weight) / total;
        weight = total;
    }
}

speed_samples fading_samples::at(MonotonicTime now, Duration half_life) const {
    const double age = to_seconds(std::max(now - as_of_, Duration(0)));
    speed_samples faded = samples_;
    faded.weight *= std::exp2(-age / to_seconds(half_life));
    return faded;
}

void fading_samples::add(const speed_samples &samples, MonotonicTime now, Duration half_life) {
    samples_ = at(now, half_life);
    samples_.add(samples);
    as_of_ = now;
}

void service_pace::add(double running, double log_duration) {
    // A node sees some hundred samples of a service in half a minute.
    constexpr double kKept = 1.0 - 1.0 / 300.0;
    const auto add_to = [](double &sum, double value) { sum = sum * kKept + value; };
    add_to(count_, 1.0);
    add_to(sum_running_, running);
    add_to(sum_running_squared_, running * running);
    add_to(sum_duration_, log_duration);
    add_to(sum_product_, running * log_duration);
}

std::optional<double> service_pace::expected(double running) const {
    if (count_ <= 0) {
        return std::nullopt;
    }
    // A slope that few samples or nearly equal loads suggest is kept small.
    constexpr double kRidge = 4.0;
    constexpr double kMaxSlope = 0.3;
    const double mean_running = sum_running_ / count_;
    const double mean_duration = sum_duration_ / count_;
    const double variance = std::max(sum_running_squared_ - mean_running * sum_running_, 0.0);
    const double covariance = sum_product_ - mean_running * sum_duration_;
    const double slope = std::clamp(covariance / (variance + kRidge), 0.0, kMaxSlope);
    return mean_duration + slope * (running - mean_running);
}

double service_pace::confidence() const {
    // The first samples come from few workers, whose speeds are unknown.
    constexpr double kHalfTrusted = 4.0;
    return count_ / (count_ + kHalfTrusted);
}

void worker_speed::note_slowdown(double slowdown, MonotonicTime reported) {
    if (!reports_ || reported >= slowdown_reported_) {
        slowdown_ = slowdown;
        slowdown_reported_ = reported;
    }
    reports_ = true;
}

speed_samples worker_speed::add(speed_samples samples, MonotonicTime now,
                                const worker_speed_knobs &knobs) {
    const double bound = std::log(knobs.max_speed);
    samples.log_speed = std::clamp(samples.log_speed, -bound, bound);
    const speed_samples known = this->samples(now, knobs);
    if (known.weight >= knobs.known_weight) {
        const double step = std::log(knobs.max_factor);
        samples.log_speed =
            std::clamp(samples.log_speed, known.log_speed - step, known.log_speed + step);
    }
    reports_ = true;
    heard_.add(samples, now, knobs.half_life);
    update(now, knobs);
    return samples;
}

void worker_speed::set_shared(const speed_samples &samples, MonotonicTime now,
                              const worker_speed_knobs &knobs) {
    reports_ = true;
    if (samples.weight >= shared_.at(now, knobs.half_life).weight / 2) {
        shared_.set(samples, now);
        update(now, knobs);
    }
}

speed_samples worker_speed::samples(MonotonicTime now, const worker_speed_knobs &knobs) const {
    const speed_samples heard = heard_.at(now, knobs.half_life);
    const speed_samples shared = shared_.at(now, knobs.half_life);
    return shared.weight >= heard.weight ? shared : heard;
}

void worker_speed::update(MonotonicTime now, const worker_speed_knobs &knobs) {
    const speed_samples known = samples(now, knobs);
    const double share = known.weight / (known.weight + knobs.prior_weight);
    const double bound = std::log(knobs.max_speed);
    speed_ = std::exp(std::clamp(known.log_speed * share, -bound, bound));
}

double worker_speed::slowdown(MonotonicTime now, const worker_speed_knobs &knobs) const {
    const Duration age = now - slowdown_reported_;
    if (!reports_ || age >= knobs.slowdown_lifetime) {
        return 1.0;
    }
    return 1.0 + (slowdown_ - 1.0) * (1.0 - to_seconds(age) / to_seconds(knobs.slowdown_lifetime));
}

std::optional<double> worker_speed::recent_slowdown(MonotonicTime now,
                                                    const worker_speed_knobs &knobs) const {
    const bool recent = reports_ && slowdown_reported_ != MonotonicTime{} &&
                        now - slowdown_reported_ < knobs.slowdown_lifetime;
    return recent ? std::optional<double>(slowdown_) : std::nullopt;
}

std::optional<double> worker_speed::take_notable_change(MonotonicTime now,
                                                        const worker_speed_knobs &knobs) {
    const double change = told_ > 0 ? speed_ / told_ : 0;
    if (change > 1 / knobs.notable_factor && change < knobs.notable_factor) {
        return std::nullopt;
    }
    if (told_ <= 0 && samples(now, knobs).weight < knobs.known_weight) {
        return std::nullopt;
    }
    const double before = told_;
    told_ = speed_;
    return before;
}

void event_gaps::add(size_t events, MonotonicTime now) {
    if (!begun_) {
        begun_ = true;
        first_ = now;
    } else {
        later_ += events;
        last_ = now;
    }
}

std::optional<Duration> event_gaps::mean() const {
    if (later_ < kMinLaterEvents) {
        return std::nullopt;
    }
    return (last_ - first_) / static_cast<int64_t>(later_);
}

size_t count_events(std::string_view text) {
    size_t events = 0;
    for (size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const std::string_view rest = text.substr(at + 1, 2);
        events += rest.starts_with('\n') || rest == "\r\n" ? 1 : 0;
    }
    return events;
}

} // namespace chalkshed
