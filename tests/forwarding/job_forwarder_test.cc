#include "chalkshed/job_forwarder.h"

#include <gtest/gtest.h>

#include "platform/header_names.h"
#include "platform/job_wire.h"
#include "src/peers/session_view.h"

namespace chalkshed {
namespace {

/** Answers each call as the test says. */
class fixed_answer : public HttpClient {
public:
    HttpCallPtr send(const Address & /*server*/, const HttpRequest & /*request*/,
                     const HttpCallOptions & /*options*/,
                     HttpCallCallbacks & /*callbacks*/) override {
        return nullptr;
    }
    void fetch(const Address & /*server*/, const HttpRequest & /*request*/,
               const HttpCallOptions & /*options*/, Callback<HttpResponse> callback) override {
        callback(answer);
    }
    HttpResponse answer;
};

class one_peer : public SessionView {
public:
    const std::string &own_session() const override {
        return session_;
    }
    bool alive(const std::string & /*session*/, StoreVersion /*seen*/) override {
        return true;
    }
    size_t rank(const std::string & /*key*/) const override {
        return 0;
    }
    std::optional<Address> peer_with_store(uint64_t /*seed*/) const override {
        return Address{"10.0.0.2", 80};
    }
    bool others_may_reach_store() const override {
        return true;
    }
    void begin_drain() override {}
    Duration view_lag() const override {
        return Duration(0);
    }

private:
    std::string session_ = "n1#1";
};

class JobForwarderTest : public testing::Test {
protected:
    forward_outcome outcome_of(int status, const HttpHeaders &headers) {
        client.answer = {status, headers, ""};
        RequestJob job;
        job.id = "job-1";
        job.path = "/batch/x";
        forward_outcome outcome = forward_outcome::kNoPeer;
        forwarder.forward(job, 0, [&](forward_outcome result) { outcome = result; });
        return outcome;
    }

    fixed_answer client;
    platform::JobWire wire;
    one_peer peers;
    NullLogger logger;
    job_forwarder forwarder{client, wire, peers, logger};
};

TEST_F(JobForwarderTest, AnAnswerThatNamesTheJobDecides) {
    const HttpHeaders named = {{platform::kRequestId, "job-1"}};
    EXPECT_EQ(outcome_of(202, named), forward_outcome::kAccepted);
    for (const int status : {401, 429, 503}) {
        EXPECT_EQ(outcome_of(status, named), forward_outcome::kNotAccepted) << status;
    }
    EXPECT_EQ(outcome_of(500, named), forward_outcome::kUnknown);
}

/** Guards against a job that is refused to its caller, and run. */
TEST_F(JobForwarderTest, AnAnswerThatDoesNotNameTheJobProvesNothing) {
    const std::vector<HttpHeaders> others = {
        {},
        {{platform::kRequestId, "job-2"}},
        {{platform::kRequestId, "job-1"}, {platform::kRequestId, "job-2"}}};
    for (const HttpHeaders &headers : others) {
        for (const int status : {202, 401, 429, 503}) {
            EXPECT_EQ(outcome_of(status, headers), forward_outcome::kUnknown) << status;
        }
    }
}

} // namespace
} // namespace chalkshed
