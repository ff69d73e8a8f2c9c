#ifndef CHALKSHED_START_TIMELINE_H
#define CHALKSHED_START_TIMELINE_H

/** \file
 * Records how long each step of a node's start took, so that a late start can be traced to the step
 * that it waited for. */

#include <array>
#include <functional>
#include <optional>

#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

enum class start_step {
    /** The first configuration is known. */
    kConfiguration,
    /** The workers have been listed. */
    kWorkers,
    /** The other nodes have been listed. */
    kNodes,
    /** The loads that most other nodes put on the workers are known. */
    kLoads,
    /** The jobs have been listed. */
    kJobs,
    /** Callers may be sent to this node. */
    kReady,
};
inline constexpr size_t kStartSteps = 6;

const char *start_step_name(start_step step);

class start_timeline {
public:
    /** All references must outlive this. */
    start_timeline(TimeSource &time_source, Logger &logger)
        : time_source_(time_source), logger_(logger) {}

    void start() {
        started_ = time_source_.monotonic_now();
    }
    /** Logs the step at its first call; later calls have no effect. */
    void note(start_step step);
    /** \return The time from the start to that step, or nothing before it. */
    std::optional<Duration> at(start_step step) const {
        return taken_[static_cast<size_t>(step)];
    }
    /** The time since the start. */
    Duration elapsed() const {
        return time_source_.monotonic_now() - started_;
    }

private:
    TimeSource &time_source_;
    Logger &logger_;
    MonotonicTime started_{};
    std::array<std::optional<Duration>, kStartSteps> taken_;
};

/** Calls a function whenever a table has been listed. */
class listing_observer : public TableObserver {
public:
    explicit listing_observer(std::function<void()> on_listed) : callback_(std::move(on_listed)) {}
    void on_row(const StoredRow & /*row*/) override {}
    void on_listed() override {
        callback_();
    }

private:
    const std::function<void()> callback_;
};

} // namespace chalkshed

#endif
