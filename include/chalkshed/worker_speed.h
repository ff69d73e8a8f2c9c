#ifndef CHALKSHED_WORKER_SPEED_H
#define CHALKSHED_WORKER_SPEED_H

/** \file
 * Learns how fast each worker is compared with the others of its service.
 *
 * Two values are kept apart: the lasting speed, learned from the duration of answers at all nodes,
 * and the slowdown that the worker itself reports, which is true for some tens of milliseconds.
 * Nothing is learned of workers that never report a slowdown; their speed is exactly 1. All times
 * are passed in. */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "src/core/time.h"

namespace chalkshed {

struct worker_speed_knobs {
    /** A reported slowdown loses its weight linearly over this time: slow phases of a shared
     * machine last less than a tenth of a second. */
    Duration slowdown_lifetime = std::chrono::milliseconds(90);
    /** The weight of samples halves over this time, so that a lasting change is noticed. */
    Duration half_life = std::chrono::seconds(20);
    /** Weight of the assumption that a worker has speed 1, in samples. */
    double prior_weight = 1.0;
    /** From this weight on the speed counts as known: a sample that differs from it by more than
     * `max_factor` is an outlier (a queued request, a cached answer) and counts as that much. */
    double known_weight = 3.0;
    double max_factor = 1.7;
    /** A change by this factor is reported to the operator. */
    double notable_factor = 1.25;
    /** Bounds of a speed, and of a single sample. */
    double max_speed = 4.0;
};

/** A weighted mean of the natural logarithm of a worker's speed. */
struct speed_samples {
    double log_speed = 0;
    double weight = 0;
    void add(const speed_samples &other);
};

/** Samples that lose weight with time. */
class fading_samples {
public:
    void add(const speed_samples &samples, MonotonicTime now, Duration half_life);
    void set(const speed_samples &samples, MonotonicTime now) {
        samples_ = samples;
        as_of_ = now;
    }
    speed_samples at(MonotonicTime now, Duration half_life) const;

private:
    speed_samples samples_;
    MonotonicTime as_of_{};
};

/** A node's report on the speed of a worker. */
struct worker_speed_entry {
    uint32_t worker = 0; /**< hash of its incarnation */
    speed_samples samples;
    std::optional<double> slowdown;
    Duration slowdown_age{0};
};

/** How long a service's workers of speed 1 take for a unit of work, by the number of requests that
 * run at the worker. Fitted by least squares to the logarithm of the duration; older samples fade.
 */
class service_pace {
public:
    /** \param duration in any unit, corrected by the speed of the worker that was measured. */
    void add(double running, double log_duration);
    /** \return The logarithm of the expected duration; std::nullopt before the first sample. */
    std::optional<double> expected(double running) const;
    /** How far the expectation can be trusted, from 0 to 1. */
    double confidence() const;

private:
    double count_ = 0;
    double sum_running_ = 0;
    double sum_running_squared_ = 0;
    double sum_duration_ = 0;
    double sum_product_ = 0;
};

class worker_speed {
public:
    void note_slowdown(double slowdown, MonotonicTime reported);
    /** Whether the worker reports slowdowns, according to this node or another. */
    bool reports() const {
        return reports_;
    }
    /** Adds samples of this node, or of nodes that tell it each of theirs.
     * \return The samples as they were counted, limited if they were outliers. */
    speed_samples add(speed_samples samples, MonotonicTime now, const worker_speed_knobs &knobs);
    /** Replaces a relay's report on the samples of all nodes. Ignored if it has far less weight
     * than the report before: a relay that has just started knows little. */
    void set_shared(const speed_samples &samples, MonotonicTime now,
                    const worker_speed_knobs &knobs);

    /** Lasting speed; 1 without samples. */
    double speed() const {
        return speed_;
    }
    /** The samples of all nodes, as far as known. */
    speed_samples samples(MonotonicTime now, const worker_speed_knobs &knobs) const;
    /** The reported slowdown, discounted by its age; 1 if there is no recent report. */
    double slowdown(MonotonicTime now, const worker_speed_knobs &knobs) const;
    /** How long work begun now takes compared with a worker of speed 1 without slowdown. */
    double slowness(MonotonicTime now, const worker_speed_knobs &knobs) const {
        return reports_ ? slowdown(now, knobs) / speed_ : 1.0;
    }
    /** The last report as it was made, if it is recent. */
    std::optional<double> recent_slowdown(MonotonicTime now, const worker_speed_knobs &knobs) const;
    Duration slowdown_age(MonotonicTime now) const {
        return now - slowdown_reported_;
    }
    /** \return The speed that operators last saw (0: none) if it must be logged again, because
     * it has become known or has changed notably; it then counts as logged. */
    std::optional<double> take_notable_change(MonotonicTime now, const worker_speed_knobs &knobs);

private:
    void update(MonotonicTime now, const worker_speed_knobs &knobs);

    // First what each choice of a worker reads.
    bool reports_ = false;
    double speed_ = 1.0;
    MonotonicTime slowdown_reported_{};
    double slowdown_ = 1.0;
    double told_ = 0;
    fading_samples heard_;  // of this node, and of nodes that tell it each sample
    fading_samples shared_; // of all nodes, from a relay
};

/** Measures the time between the events of one answer. */
class event_gaps {
public:
    void add(size_t events, MonotonicTime now);
    /** \return The mean time between two events; std::nullopt if there were too few. */
    std::optional<Duration> mean() const;

private:
    MonotonicTime first_{};
    MonotonicTime last_{};
    size_t later_ = 0; // events after those that arrived first
    bool begun_ = false;
};

/** \return The number of server-sent events that end in the text. */
size_t count_events(std::string_view text);

} // namespace chalkshed

#endif
