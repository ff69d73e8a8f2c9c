/** \file
 * The load of the soak: online requests, jobs, reads and ends, each at any node.
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

constexpr int kMostJobTries = 6;

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
        return !each.taken && each.tenant == "usual";
    });
    // The newest may not be known everywhere yet; the one before it is.
    const auto before = std::find_if(std::next(newest), keys_.rend(), [](const soak_key &each) {
        return !each.taken && each.tenant == "usual";
    });
    return before == keys_.rend() ? newest->key : before->key;
}

void soak_run::send_request() {
    static constexpr std::array<const char *, 3> kPaths = {kRepeatablePath, kOncePath, kMovedPath};
    node_process &node = any_node();
    if (now() - began_ > options_.length + seconds(15)) {
        return;
    }
    // Some callers keep their connections, and use them until the process is gone.
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
    sent.call =
        client_.send(node.callers(), message("POST", sent.path, sent.id, sent.key.key), how, sent);
}

void soak_run::submit_job() {
    job added;
    added.id = "j" + std::to_string(++next_id_);
    added.items = 1 + random_.below(20);
    const std::string id = added.id;
    jobs_.emplace(id, std::move(added));
    ++result_.jobs;
    send_job(id, 0);
}

void soak_run::send_job(const std::string &id, int tries) {
    const job &sent = jobs_.at(id);
    nlohmann::json items = nlohmann::json::array();
    for (size_t number = 0; number < sent.items; ++number) {
        items.push_back({{"id", id + "-" + std::to_string(number)},
                         {"path", "/batch/x"},
                         {"headers", nlohmann::json::object()},
                         {"body", encode_base64("body")},
                         {"tokens", 10}});
    }
    HttpRequest request = message("POST", "/batch/" + id, id, job_key());
    request.body = nlohmann::json{{"requests", items}}.dump();
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    client_.fetch(any_node().callers(), request, how,
                  lifetime_.guard([this, id, tries](const Expected<HttpResponse> &answer) {
                      job &of = jobs_.at(id);
                      of.accepted = of.accepted || (answer && answer->status == 202);
                      const bool refused = answer && says_not_run(answer->status);
                      of.refused = (tries == 0 || of.refused) && refused;
                      if (of.accepted) {
                          read_job(id);
                      } else if (tries < kMostJobTries) {
                          later(milliseconds(300), [this, id, tries] { send_job(id, tries + 1); });
                      }
                  }));
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
                          violate("job " + id + " was accepted, and is not there");
                      }
                      if (answer && answer->status == 200) {
                          check_page(of, from, answer->body);
                      }
                      const bool done = of.listed.size() == of.items || of.ended;
                      later(milliseconds(done ? 5000 : 400), [this, id] { read_job(id); });
                  }));
}

void soak_run::end_job() {
    for (const auto &entry : jobs_) {
        const std::string &id = entry.first;
        const job &of = entry.second;
        if (of.accepted && !of.ended && of.listed.size() < of.items) {
            HttpRequest request = message("DELETE", "/lots/" + id, "end-" + id, job_key());
            HttpCallOptions how;
            how.fresh_connection = true;
            how.host = kHost;
            client_.fetch(any_node().callers(), request, how,
                          lifetime_.guard([this, id](const Expected<HttpResponse> &answer) {
                              job &ended = jobs_.at(id);
                              if (answer && answer->status == 200 && !ended.ended) {
                                  ended.ended = now();
                              }
                          }));
            return;
        }
    }
}

} // namespace chalkshed::soak
