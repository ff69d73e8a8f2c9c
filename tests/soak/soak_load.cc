/** \file
 * The load of the soak: online requests, jobs, reads and ends, each sent to a random node.
 */

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "platform/header_names.h"
#include "src/core/base64.h"
#include "tests/soak/online_call.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kMaxJobAttempts = 6;
/** Ends are sent within this time after the 202, or after the send if the 202 isn't awaited. */
constexpr uint64_t kEndSoonMs = 600;
constexpr int kNoSuchJob = 404;

/** A body of the given length, different for each id. */
std::string body_of(const std::string &id, size_t length) {
    std::string body;
    while (body.size() < length) {
        body += id + ":" + std::to_string(body.size()) + ";";
    }
    body.resize(length);
    return body;
}

/** Some requests have no body, most a short one, and some one that exceeds the kernel's buffers. */
size_t online_length(RandomGenerator &random) {
    constexpr uint64_t kMaxShortBytes = 2'000;
    constexpr uint64_t kMaxLongBytes = 300'000;
    switch (random.below(10)) {
    case 0:
        return 0;
    case 1:
    case 2:
        return random.below(kMaxLongBytes);
    default:
        return random.below(kMaxShortBytes);
    }
}

} // namespace

HttpRequest soak_run::message(const std::string &method, const std::string &path,
                              const std::string &id, const std::string &key) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers = {{platform::kRequestId, id},
                       {platform::kDeadline, "8000"},
                       {platform::kAuthorization, "Bearer " + key},
                       {platform::kTenant, "what the caller says itself"}};
    return request;
}

std::string soak_run::job_key() const {
    const auto newest = std::find_if(keys_.rbegin(), keys_.rend(), [](const soak_key &each) {
        return !each.revoked && each.tenant == "usual";
    });
    // Some nodes may not know the newest key yet; all know the one before it.
    const auto before = std::find_if(std::next(newest), keys_.rend(), [](const soak_key &each) {
        return !each.revoked && each.tenant == "usual";
    });
    return before == keys_.rend() ? newest->key : before->key;
}

void soak_run::send_request() {
    static constexpr std::array<const char *, 3> kPaths = {kRepeatablePath, kOncePath, kMovedPath};
    node_process &node = any_node();
    if (now() - began_ > options_.length + seconds(15)) {
        return;
    }
    // Some callers keep their connections open and reuse them until the process is gone.
    const bool kept = random_.below(3) == 0;
    if (node.stopping != MonotonicTime{} && !kept) {
        return;
    }
    auto call = std::make_unique<online_call>();
    call->id = "r" + std::to_string(++next_id_);
    call->path = kPaths[random_.below(kPaths.size())];
    call->node = &node;
    call->kept = kept;
    call->key = keys_[random_.below(2) == 0 ? 0 : random_.below(keys_.size())];
    call->sent = now();
    key_of_[call->id] = call->key;
    ++result_.requests;
    const uint64_t number = next_id_;
    HttpRequest request = message("POST", call->path, call->id, call->key.key);
    request.query = "of=" + call->id;
    request.body = body_of(call->id, online_length(random_));
    request.headers.push_back({"X-Soak-Note", "note of " + call->id});
    const bool once = call->path == kOncePath;
    records_.emplace_back(online_send{now(), call->id, node.name(), describe(request), once, kept});
    sent_ids_.insert(call->id);
    online_call &sent = *call;
    sent.on_ended = [this, number] {
        check_online(*calls_.at(number));
        dispatcher_.post(lifetime_.guard([this, number] { calls_.erase(number); }));
    };
    calls_.emplace(number, std::move(call));
    HttpCallOptions how;
    how.fresh_connection = !kept;
    how.pool = kept ? "kept" : "fresh";
    how.host = kHost;
    sent.call = client_.send(node.callers(), request, how, sent);
}

void soak_run::submit_job() {
    job added;
    added.id = "j" + std::to_string(++next_id_);
    added.items = 1 + random_.below(20);
    const std::string id = added.id;
    jobs_.emplace(id, std::move(added));
    ++result_.jobs;
    send_job(id);
    constexpr uint64_t kOneEndUnseenIn = 10;
    if (random_.below(kOneEndUnseenIn) == 0) {
        later(milliseconds(random_.below(kEndSoonMs)), [this, id] { send_end(id); });
    }
}

nlohmann::json soak_run::items_of(const std::string &id, size_t count, job_send &sent) {
    constexpr size_t kMaxBodyBytes = 15'000;
    nlohmann::json items = nlohmann::json::array();
    for (size_t number = 0; number < count; ++number) {
        const std::string item = id + "-" + std::to_string(number);
        // Derived from the id, so that it is the same at each attempt.
        const size_t length = std::hash<std::string>()(item) % kMaxBodyBytes;
        HttpRequest request;
        request.method = "POST";
        request.path = "/batch/" + item;
        request.headers = {{"X-Soak-Note", "note of " + item}};
        request.body = body_of(item, length);
        sent.items.push_back({item, describe(request)});
        sent_ids_.insert(item);
        items.push_back({{"id", item},
                         {"path", request.path},
                         {"headers", {{"X-Soak-Note", "note of " + item}}},
                         {"body", encode_base64(request.body)},
                         {"tokens", 10}});
    }
    return items;
}

void soak_run::send_job(const std::string &id) {
    job &of = jobs_.at(id);
    const uint64_t attempt = of.attempts++;
    node_process &node = any_node();
    job_send sent{now(), id, attempt, node.name(), {}};
    HttpRequest request = message("POST", "/batch/" + id, id, job_key());
    request.body = nlohmann::json{{"requests", items_of(id, of.items, sent)}}.dump();
    records_.emplace_back(std::move(sent));
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    client_.fetch(node.callers(), request, how,
                  lifetime_.guard([this, id, attempt,
                                   name = node.name()](const Expected<HttpResponse> &answer) {
                      note_job_answer(id, attempt, name, answer);
                  }));
}

void soak_run::note_job_answer(const std::string &id, uint64_t attempt, const std::string &node,
                               const Expected<HttpResponse> &answer) {
    constexpr int kAccepted = 202;
    constexpr uint64_t kOneEndSoonIn = 5;
    job &of = jobs_.at(id);
    records_.emplace_back(job_answer{now(), id, attempt, node, answer ? answer->status : 0});
    of.accepted = of.accepted || (answer && answer->status == kAccepted);
    const bool refused = answer && says_not_run(answer->status);
    of.refused = (attempt == 0 || of.refused) && refused;
    if (of.accepted) {
        read_job(id);
        if (random_.below(kOneEndSoonIn) == 0) {
            later(milliseconds(random_.below(kEndSoonMs)), [this, id] { send_end(id); });
        }
    } else if (of.attempts < kMaxJobAttempts && !of.end_sent) {
        later(milliseconds(300), [this, id] {
            if (!jobs_.at(id).end_sent) {
                send_job(id);
            }
        });
    }
}

void soak_run::read_job(const std::string &id) {
    const auto from = static_cast<uint32_t>(random_.below(3) == 0 ? 0 : jobs_.at(id).listed.size());
    HttpRequest request =
        message("GET", "/lots/" + id, "read-" + std::to_string(++next_id_), job_key());
    request.query = "since_rev=" + std::to_string(from);
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    node_process &node = any_node();
    client_.fetch(node.callers(), request, how,
                  lifetime_.guard([this, id, from](const Expected<HttpResponse> &answer) {
                      job &of = jobs_.at(id);
                      if (answer && answer->status == 404) {
                          violate("job " + id + " was accepted, but does not exist");
                      }
                      if (answer && answer->status == 200) {
                          check_page(of, from, answer->body);
                      }
                      const bool done = of.listed.size() == of.items || of.ended;
                      later(milliseconds(done ? 5000 : 400), [this, id] { read_job(id); });
                  }));
}

void soak_run::end_some_job() {
    for (const auto &[id, of] : jobs_) {
        if (of.accepted && !of.end_sent && of.listed.size() < of.items) {
            send_end(id);
            return;
        }
    }
}

void soak_run::send_end(const std::string &id) {
    constexpr int kEnded = 200;
    job &of = jobs_.at(id);
    if (of.ended) {
        return;
    }
    of.end_sent = true;
    node_process &node = any_node();
    HttpRequest request = message("DELETE", "/lots/" + id, "end-" + id, job_key());
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    records_.emplace_back(end_send{now(), id, node.name()});
    client_.fetch(
        node.callers(), request, how,
        lifetime_.guard([this, id, name = node.name()](const Expected<HttpResponse> &answer) {
            job &ended = jobs_.at(id);
            const int status = answer ? answer->status : 0;
            records_.emplace_back(end_answer{now(), id, name, status});
            if (status == kEnded && !ended.ended) {
                ended.ended = now();
            }
            const bool nothing_to_end = status == kNoSuchJob && !ended.accepted;
            if (!ended.ended && !nothing_to_end) {
                later(milliseconds(300), [this, id] { send_end(id); });
            }
        }));
}

} // namespace chalkshed::soak
