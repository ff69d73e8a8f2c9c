#include "chalkshed/quarantine_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "chalkshed/request_digest.h"
#include "src/core/number_text.h"
#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr std::string_view kPath = "/admin/quarantine";
constexpr std::string_view kRelease = "/release";
constexpr int kHexadecimal = 16;

HttpResponse json_answer(std::string body) {
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

void quarantine_api::handle(HttpRequest request, ResponseWriterPtr writer) {
    std::string_view rest = request.path;
    if (!rest.starts_with(kPath)) {
        writer->respond(error_response(not_run(ErrorKind::kNotFound, "unknown path " + request.path,
                                               "use " + std::string(kPath))));
        return;
    }
    rest.remove_prefix(kPath.size());
    if (request.method == "GET" && rest.empty()) {
        writer->respond(json_answer(listing()));
        return;
    }
    const bool releases =
        request.method == "POST" && rest.starts_with('/') && rest.ends_with(kRelease);
    if (!releases) {
        writer->respond(error_response(not_run(
            ErrorKind::kNotFound, "unknown operation " + request.method + " " + request.path,
            "use POST /admin/quarantine/CONTENT/release")));
        return;
    }
    const std::string_view content = rest.substr(1, rest.size() - 1 - kRelease.size());
    writer->respond(release(request, content));
}

bool quarantine_api::is_local(const HttpRequest &request) const {
    return request.peer.ip == own_ip_ || request.peer.ip.starts_with("127.") ||
           request.peer.ip == "::1";
}

HttpResponse quarantine_api::release(const HttpRequest &request, std::string_view content) {
    if (!is_local(request)) {
        return error_response(not_run(ErrorKind::kUnauthenticated,
                                      "contents can be released only from the node's own machine",
                                      "run chalkshedctl on that machine"));
    }
    const auto digest = parse_number<uint64_t>(content, kHexadecimal);
    if (!digest || digest_text(*digest) != content || !quarantine_.release_by_operator(*digest)) {
        return error_response(
            not_run(ErrorKind::kNotFound,
                    "no content " + std::string(content) + " is suspect or quarantined",
                    "list the contents with chalkshedctl quarantine list"));
    }
    return json_answer(listing());
}

std::string quarantine_api::listing() const {
    const MonotonicTime now = time_source_.monotonic_now();
    const crash_evidence &evidence = quarantine_.evidence();
    nlohmann::json contents = nlohmann::json::array();
    for (const uint64_t digest : evidence.all_with_crashes(1)) {
        const bool quarantined = evidence.quarantined(digest);
        nlohmann::json entry = {{"content", digest_text(digest)},
                                {"workers_ended", evidence.crash_count(digest)},
                                {"held", quarantined}};
        if (quarantined) {
            const Duration wait = std::max(evidence.next_probe(digest) - now, Duration(0));
            entry["next_trial_ms"] = wait / std::chrono::milliseconds(1);
        }
        entry["kind"] = "content";
        contents.push_back(std::move(entry));
    }
    constexpr size_t kNotableCrashes = 2;
    const std::vector<uint64_t> held = evidence.parts_with_crashes();
    for (const uint64_t digest : evidence.all_with_crashes(kNotableCrashes, crash_suspect::kPart)) {
        nlohmann::json entry = {{"content", digest_text(digest)},
                                {"workers_ended", evidence.crash_count(digest)},
                                {"held", std::binary_search(held.begin(), held.end(), digest)},
                                {"kind", "part"}};
        if (const std::optional<MonotonicTime> due = quarantine_.next_trial(digest)) {
            const Duration wait = std::max(*due - now, Duration(0));
            entry["next_trial_ms"] = wait / std::chrono::milliseconds(1);
        }
        contents.push_back(std::move(entry));
    }
    return nlohmann::json{{"contents", contents}}.dump();
}

} // namespace chalkshed
