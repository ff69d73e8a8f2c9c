#ifndef CHALKSHED_JOB_ENDER_H
#define CHALKSHED_JOB_ENDER_H

/** \file
 * Ends batch jobs on behalf of their callers.
 *
 * An acknowledged end promises that the job does no more work, although another node may own it.
 * The end is written to the job's record, which fences the owner's results, and the owner is
 * notified before the caller is answered: by following the store alone it would go on for as long
 * as the store takes to answer it. A job that the store does not hold may still be on its way
 * there; a refusal's row fences it. */

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

/** A job's record and the version of its row, as a node knows them. */
struct known_job {
    StoredJob record;
    StoreVersion version = 0;
};

class job_ender {
public:
    /** Brings the row to the node of that session. `done` is called once, whether or not it could
     * be brought. */
    using owner_notice = std::function<void(const std::string &session, const StoredRow &row,
                                            const std::function<void()> &done)>;
    /** Told of each record that is read or written. */
    using record_observer = std::function<void(const known_job &)>;

    /** All references outlive the ender. */
    job_ender(JobEnvironment &environment, std::string own_session, record_observer observer);

    void set_owner_notice(owner_notice notice) {
        notice_ = std::move(notice);
    }

    /** \param known What this node knows of the job, if anything.
     * Errors: kNotFound, with the job fenced; kStoreUnavailable; kOutcomeUnknown. */
    void end(const std::string &job, const std::optional<known_job> &known,
             Callback<std::monostate> callback);

private:
    struct ending {
        std::string job;
        uint32_t tries = 0;
        Callback<std::monostate> callback;
    };
    using ending_ptr = std::shared_ptr<ending>;

    void write_end(const ending_ptr &under_way, const known_job &known);
    void write_refusal(const ending_ptr &under_way);
    /** The write was refused: another record is there, or none. */
    void handle_conflict(const ending_ptr &under_way, const StoreCommit &commit);
    void handle_written(const ending_ptr &under_way, const known_job &ended);
    /** Answers the caller once the owner has confirmed, or cannot be reached. */
    void acknowledge(const ending_ptr &under_way, const known_job &ended);
    void tell_owner(const ending_ptr &under_way, const known_job &ended);

    JobEnvironment &environment_;
    const std::string own_session_;
    const record_observer observer_;
    owner_notice notice_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
