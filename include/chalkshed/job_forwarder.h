#ifndef CHALKSHED_JOB_FORWARDER_H
#define CHALKSHED_JOB_FORWARDER_H

/** \file
 * Hands a job that this node cannot store to a peer that reaches the store.
 *
 * The store may turn away some nodes while it serves the others. A caller whose job reaches such a
 * node would hear a refusal, or nothing, and come back too late. One hop between nodes costs
 * milliseconds. Jobs are taken once under their id, so that handing one on is safe even if the
 * node's own attempt has been applied without its knowing.
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
    /** Certainly not taken by this hop. */
    kNotAccepted,
    kUnknown,
    /** No peer is known to reach the store. */
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

    /** \param attempt Counts the hops tried for this job; each draws another peer.
     * \param done Called once; at once when there is no peer. */
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
