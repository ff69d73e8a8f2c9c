#ifndef CHALKSHED_ANSWER_MEMORY_H
#define CHALKSHED_ANSWER_MEMORY_H

/** \file
 * Bounds what this node keeps of answers that have not ended, over all of them. A limit for each
 * answer does not bound their sum: a few workers in trouble that send without end, or many large
 * answers at once, would use up the memory of the process, and all other requests end with it.
 *
 * Nearly all answers are small, and those are never held back. Once the large ones together exceed
 * the limit, their connections are no longer read, so that TCP holds their senders back, except for
 * one at a time: it gets on, and ends or exceeds its own limit.
 *
 * Performs no I/O: who reads an answer pauses and resumes its connection. */

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "chalkshed/log_limit.h"
#include "src/core/dispatcher.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

struct answer_memory_knobs {
    /** Bytes of all answers together at which large ones are held back. */
    size_t max_bytes = size_t{12} * 1024 * 1024;
    /** An answer may always hold this much. */
    size_t small_answer = size_t{16} * 1024;
    /** Bytes that a connection delivers before it is asked again whether to read on. */
    size_t read_ahead = size_t{16} * 1024;
    /** The answer that gets on makes room for the next one once nothing has arrived for this long:
     * its worker may be the one in trouble. */
    Duration patience = std::chrono::milliseconds(250);
};

class answer_memory {
public:
    /** The bytes that are kept of one answer. May outlive the answer_memory. */
    class account {
    public:
        /** \param worker That sends the answer; for log lines.
         * \param on_allowed Called after hold() has returned false, once the answer may be read on;
         * perhaps while another account changes. Must not change or destroy any account. */
        account(answer_memory &memory, std::string worker, std::function<void()> on_allowed);
        ~account();
        account(const account &) = delete;
        account &operator=(const account &) = delete;

        /** \param bytes How much is kept now, instead of what was said before.
         * \return Whether the answer may be read on. */
        bool hold(size_t bytes);
        /** The answer has ended; its bytes stay until this is destroyed. on_allowed is not called
         * any more. */
        void finish();
        /** Whether hold() has returned false and on_allowed has not been called since. */
        bool held_back() const {
            return held_back_;
        }

    private:
        friend class answer_memory;

        const std::shared_ptr<answer_memory *> memory_; // null once it is gone
        const std::string worker_;
        std::function<void()> on_allowed_;
        size_t bytes_ = 0;
        bool held_back_ = false;
        bool is_large_ = false;
        std::list<account *>::iterator place_; // among the large ones
        MonotonicTime grown_{};
    };

    /** All references outlive this. */
    answer_memory(TimeSource &time_source, Dispatcher &dispatcher, Logger &logger,
                  MetricsRegistry &metrics, const answer_memory_knobs &knobs = {});
    ~answer_memory();
    answer_memory(const answer_memory &) = delete;
    answer_memory &operator=(const answer_memory &) = delete;

    /** Bytes of all answers. */
    size_t bytes() const {
        return bytes_;
    }
    size_t held_back() const {
        return held_back_;
    }

private:
    bool hold(account &answer, size_t bytes);
    bool may_read(const account &answer) const;
    void set_large(account &answer, bool large);
    void hold_back(account &answer);
    /** Lets answers read on for which there is room by now. */
    void allow_next();
    /** Lets the next answer get on if the first one doesn't. */
    void review();
    void log_held_back();
    void update_gauges();

    TimeSource &time_source_;
    Logger &logger_;
    const answer_memory_knobs knobs_;
    Gauge &bytes_gauge_;
    Gauge &held_back_gauge_;
    size_t bytes_ = 0;
    size_t held_back_ = 0;
    std::list<account *> large_; // the first one is never held back
    log_limit logged_;
    TimerPtr review_timer_;
    std::shared_ptr<answer_memory *> self_;
};

} // namespace chalkshed

#endif
