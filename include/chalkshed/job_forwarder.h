#ifndef CHALKSHED_JOB_FORWARDER_H
#define CHALKSHED_JOB_FORWARDER_H

/** \file
 * Forwards a job that this node cannot store to a peer that can reach the store.
 *
 * The store may reject some nodes while it serves others. A caller whose job reaches a rejected
 * node would get an error or no answer, and retry too late. A hop between nodes costs only
 * milliseconds. Submission is idempotent by job id, so that forwarding is safe even if this node's
 * own write was applied but not acknowledged.
 */

#include <functional>

#include "src/core/lifetime.h"
#include "src/jobs/job.h"
#include "src/logging/logger.h"
#include "src/peers/session_view.h"
#include "src/transport/http_client.h"

namespace chalkshed {

enum class forward_outcome {
    kAccepted,
    /** Certainly not accepted through this hop. */
    kNotAccepted,
    kUnknown,
    /** No peer is known that can reach the store. */
    kNoPeer,
};

/** Stable name used in logs. */
const char *forward_outcome_name(forward_outcome outcome);

struct forward_knobs {
    Duration connect_timeout = std::chrono::milliseconds(150);
    Duration answer_timeout = std::chrono::milliseconds(700);
};

class job_forwarder {
public:
    /** All references outlive the forwarder. */
    job_forwarder(HttpClient &client, const JobCodec &codec, const SessionView &peers,
                  Logger &logger, const forward_knobs &knobs = {});

    /** \param attempt The number of earlier hops of this job, which selects another peer each time.
     * \param done Called once, and before the return if there is no peer. */
    void forward(const RequestJob &job, uint64_t attempt,
                 std::function<void(forward_outcome)> done);

private:
    HttpClient &client_;
    const JobCodec &codec_;
    const SessionView &peers_;
    Logger &logger_;
    forward_knobs knobs_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
