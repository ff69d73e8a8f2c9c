#ifndef CHALKSHED_SURPLUS_ANSWERS_H
#define CHALKSHED_SURPLUS_ANSWERS_H

/** \file
 * Records answers of workers that are not the answer to the request that their connection carries:
 * a counter and one log line in a few seconds. Also remembers the latest sends that were taken as
 * not run, because a surplus answer may show that one of them did run. */

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "chalkshed/log_limit.h"
#include "src/core/address.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

/** Which request an answer names. */
enum class answer_naming {
    /** The request that its connection carries. */
    kThis,
    kOther,
    /** No request, or several. */
    kNone,
};

/** \return The stable name used in logs and metrics: "this", "other" or "none". */
std::string_view answer_naming_name(answer_naming naming);

/** An answer that was not the one to the request its connection carried. */
struct surplus_answer {
    answer_naming names = answer_naming::kNone;
    /** Incarnation of the worker. */
    std::string worker;
    /** The request that the connection carries. */
    std::string request;
    /** The id in the answer; empty if it has none. */
    std::string named;
    int status = 0;
    /** Whether it carries the worker's proof of origin, which only a request that ran gets. */
    bool ran = false;
    /** Requests sent over the connection, the current one included. */
    uint64_t connection_use = 0;
};

class surplus_answers {
public:
    /** All references outlive this. */
    surplus_answers(TimeSource &time_source, Logger &logger, MetricsRegistry &metrics);

    void note(const surplus_answer &answer);
    /** Bytes have arrived on a connection to a worker that carried no request. */
    void note_unsolicited(const Address &worker);
    /** The send of that request to that worker was taken as not run. */
    void note_not_run(const std::string &request, const std::string &worker);

private:
    void note_ran_after_all(const surplus_answer &answer);

    TimeSource &time_source_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    log_limit limit_;
    log_limit unsolicited_limit_;
    /** Worker by request, for the latest sends that were taken as not run, and their order. */
    std::unordered_map<std::string, std::string> not_run_;
    std::deque<std::string> oldest_first_;
};

} // namespace chalkshed

#endif
