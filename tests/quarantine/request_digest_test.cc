#include "chalkshed/request_digest.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

ServingRequest make_request() {
    ServingRequest request;
    request.id = "first-attempt";
    request.tenant = "ticket-app";
    request.host = "a.example";
    request.message.method = "POST";
    request.message.path = "/ask/1";
    request.message.query = "lang=nb";
    request.message.body = "which seat?";
    return request;
}

TEST(RequestDigest, IsTheSameForAllAttemptsOfACaller) {
    const ServingRequest first = make_request();
    ServingRequest second = make_request();
    second.id = "second-attempt";
    second.resume_after = 7;
    second.time_limit = std::chrono::milliseconds(300);
    second.message.headers = {{"X-Attempt", "2"}};
    EXPECT_EQ(request_digest(first), request_digest(second));
}

TEST(RequestDigest, DiffersWithEachPartOfTheContent) {
    const uint64_t digest = request_digest(make_request());
    for (const auto &change : std::vector<std::function<void(ServingRequest &)>>{
             [](ServingRequest &request) { request.tenant = "counter"; },
             [](ServingRequest &request) { request.host = "b.example"; },
             [](ServingRequest &request) { request.message.method = "GET"; },
             [](ServingRequest &request) { request.message.path = "/ask/2"; },
             [](ServingRequest &request) { request.message.query = "lang=nn"; },
             [](ServingRequest &request) { request.message.body += "?"; }}) {
        ServingRequest changed = make_request();
        change(changed);
        EXPECT_NE(request_digest(changed), digest);
    }
}

TEST(RequestDigest, KeepsTheBoundariesBetweenParts) {
    ServingRequest moved = make_request();
    moved.message.path = "/ask";
    moved.message.query = "/1lang=nb";
    EXPECT_NE(request_digest(moved), request_digest(make_request()));
}

TEST(RequestDigest, IsWrittenAsSixteenDigits) {
    EXPECT_EQ(digest_text(0x1f), "000000000000001f");
}

} // namespace
} // namespace chalkshed
