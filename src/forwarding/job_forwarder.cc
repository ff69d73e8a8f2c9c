#include "chalkshed/job_forwarder.h"

#include "chalkshed/caller_identity.h"
#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr int kAccepted = 202;
constexpr int kUnauthenticated = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/** Only the listed statuses, in an answer that names the job, guarantee that the peer did not
 * accept it. 401 is one of them, because the peer may have another configuration, without the
 * caller's key. */
forward_outcome classify_answer(const Expected<HttpResponse> &answer, bool names_job) {
    if (!answer) {
        return answer.error().ran == Ran::kNo ? forward_outcome::kNotAccepted
                                              : forward_outcome::kUnknown;
    }
    if (!names_job) {
        return forward_outcome::kUnknown;
    }
    switch (answer->status) {
    case kAccepted:
        return forward_outcome::kAccepted;
    case kUnauthenticated:
    case kTooManyRequests:
    case kUnavailable:
        return forward_outcome::kNotAccepted;
    default:
        return forward_outcome::kUnknown;
    }
}

} // namespace

const char *forward_outcome_name(forward_outcome outcome) {
    switch (outcome) {
    case forward_outcome::kAccepted:
        return "accepted";
    case forward_outcome::kNotAccepted:
        return "not accepted";
    case forward_outcome::kUnknown:
        return "unknown";
    case forward_outcome::kNoPeer:
        return "no peer";
    }
    return "unknown";
}

job_forwarder::job_forwarder(HttpClient &client, const JobCodec &codec, const SessionView &peers,
                             Logger &logger, const forward_knobs &knobs)
    : client_(client), codec_(codec), peers_(peers), logger_(logger), knobs_(knobs) {}

void job_forwarder::forward(const RequestJob &job, uint64_t attempt,
                            std::function<void(forward_outcome)> done) {
    const std::optional<Address> peer = peers_.peer_with_store(content_hash(job.id, attempt));
    if (!peer) {
        done(forward_outcome::kNoPeer);
        return;
    }
    HttpCallOptions options;
    options.pool = "peers";
    options.connect_timeout = knobs_.connect_timeout;
    options.idle_timeout = knobs_.answer_timeout;
    options.host = job.host;
    client_.fetch(*peer, codec_.encode_submission(job), options,
                  lifetime_.guard([this, id = job.id, to = to_string(*peer),
                                   done = std::move(done)](const Expected<HttpResponse> &answer) {
                      const bool names_job =
                          answer && codec_.answers_submission(id, answer->headers);
                      const forward_outcome outcome = classify_answer(answer, names_job);
                      logger_.write(LogLevel::kInfo, "job_forwarded",
                                    {{"job", caller_job_id(id)},
                                     {"peer", to},
                                     {"outcome", forward_outcome_name(outcome)}});
                      done(outcome);
                  }));
}

} // namespace chalkshed
