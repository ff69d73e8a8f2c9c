#ifndef CHALKSHED_TESTS_SOAK_ONLINE_CALL_H
#define CHALKSHED_TESTS_SOAK_ONLINE_CALL_H

/** \file
 * An online request of the soak, from the caller's side, and the paths of the soak's routes.
 */

#include "tests/soak/soak.h"

namespace chalkshed::soak {

constexpr const char *kHost = "a.example";
constexpr const char *kRepeatablePath = "/stream/x";
constexpr const char *kOncePath = "/once/x";
constexpr const char *kMovedPath = "/moved/x";

/** The tenant whose rate limit is lower than the rate of requests sent with its keys. */
constexpr const char *kHotTenant = "hot";
constexpr double kHotRate = 10;
constexpr double kHotBurst = 10;

/** Whether an answer with that status promises that the request has not run and never will. */
inline bool says_not_run(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** One online request, from the caller's side. */
struct soak_run::online_call : public HttpCallCallbacks {
    std::string id;
    std::string path;
    node_process *node = nullptr;
    soak_key key;
    MonotonicTime sent{};
    bool kept = false; // it may reuse an open connection
    int status = 0;
    std::string body;
    bool whole = false;
    bool ended = false;
    std::function<void()> on_ended;
    HttpCallPtr call;

    void on_headers(int answer, const HttpHeaders & /*headers*/) override {
        status = answer;
    }
    void on_body(std::string_view data) override {
        body.append(data);
    }
    void on_end() override {
        whole = true;
        finish();
    }
    void on_error(const Error & /*error*/) override {
        finish();
    }
    void finish() {
        if (!std::exchange(ended, true)) {
            on_ended();
        }
    }
};

} // namespace chalkshed::soak

#endif
