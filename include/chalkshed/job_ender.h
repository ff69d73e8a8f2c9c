#ifndef CHALKSHED_JOB_ENDER_H
#define CHALKSHED_JOB_ENDER_H

/** \file
 * Ends batch jobs on behalf of their callers.
 *
 * An acknowledged end guarantees that the job does no more work, even if another node owns it. The
 * end is written to the job's record, which fences the owner's results, and the owner is notified
 * before the caller is answered: an owner that only follows the store would continue for as long as
 * the store takes to answer it. The write of a job that is not in the store yet may still be in
 * flight; a refusal row fences it. */

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

/** A job's record and the version of its row, as last seen by this node. */
struct known_job {
    StoredJob record;
    StoreVersion version = 0;
};

class job_ender {
public:
    /** Sends the row to the node of that session. `done` is called once, whether or not the row was
     * delivered. */
    using owner_notice = std::function<void(const std::string &session, const StoredRow &row,
                                            const std::function<void()> &done)>;
    /** Called with each record that is read or written. */
    using record_observer = std::function<void(const known_job &)>;

    /** All references must outlive the ender. */
    job_ender(JobEnvironment &environment, std::string own_session, record_observer observer);

    void set_owner_notice(owner_notice notice) {
        notice_ = std::move(notice);
    }

    /** \param known The job as last seen by this node, if it has seen it.
     * Errors: kNotFound (the job is fenced), kStoreUnavailable, kOutcomeUnknown. */
    void end(const std::string &job, const std::optional<known_job> &known,
             Callback<std::monostate> callback);

private:
    struct end_request {
        std::string job;
        uint32_t tries = 0;
        Callback<std::monostate> callback;
    };
    using end_request_ptr = std::shared_ptr<end_request>;

    void write_end(const end_request_ptr &request, const known_job &known);
    void write_refusal(const end_request_ptr &request);
    /** The condition of the write failed: the record has changed or does not exist. */
    void handle_conflict(const end_request_ptr &request, const StoreCommit &commit);
    void handle_written(const end_request_ptr &request, const known_job &ended);
    /** Answers the caller once the owner has confirmed the notice or cannot be reached. */
    void acknowledge(const end_request_ptr &request, const known_job &ended);
    void notify_owner(const end_request_ptr &request, const known_job &ended);

    JobEnvironment &environment_;
    const std::string own_session_;
    const record_observer observer_;
    owner_notice notice_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
