/** \file
 * The invariants of the soak, checked on the observations of callers, workers and the store.
 */

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/serving/event_stream.h"
#include "tests/soak/connection_owner.h"
#include "tests/soak/online_call.h"

namespace chalkshed::soak {
namespace {

using std::chrono::seconds;

constexpr Duration kLeavingGrace = seconds(3);
constexpr Duration kConfigurationGrace = seconds(3);
constexpr Duration kEndGrace = seconds(4);
/** A disturbance of a node or the store excuses failures for this long afterwards. */
constexpr Duration kExcusedAfter = seconds(6);

/** The sender of a run whose connection belongs to no node. */
constexpr const char *kUnknownSender = "unknown";
/** A run whose connection belongs to no node was sent by a node that was killed within this time
 * before. */
constexpr Duration kKilledBefore = seconds(1);
/** Accepted jobs list all items this long after their 202. */
constexpr Duration kFinish = seconds(40);

std::string whole_text(const std::string &item) {
    std::string text = event_data(item, 1);
    for (uint64_t event = 2; event <= kEvents; ++event) {
        text += "\n" + event_data(item, event);
    }
    return text;
}

process_lag lag_of(MonotonicTime at, std::vector<Duration> lateness) {
    std::sort(lateness.begin(), lateness.end());
    const size_t last = lateness.size() - 1;
    return {
        at, "soak", lateness.size(), lateness[last / 2], lateness[last * 99 / 100], lateness[last]};
}

/** Whether all events belong to the request and are in order, and all are in a whole answer. */
bool holds_own_events(int status, bool whole, const std::string &id, std::string_view body) {
    constexpr int kOk = 200;
    if (status != kOk) {
        return true;
    }
    EventSplitter splitter;
    std::string_view events = splitter.add(body);
    uint64_t expected = 0;
    while (const std::optional<StreamEvent> event = take_event(events)) {
        ++expected;
        if (event->id != expected || event->data != event_data(id, expected)) {
            return false;
        }
    }
    return !whole || expected == kEvents;
}

} // namespace

bool soak_run::undisturbed(const node_process &node) const {
    return now() - node.disturbed > kExcusedAfter && now() - store_disturbed_ > kExcusedAfter &&
           !node.frozen;
}

/** The worker must get the tenant and never the key, and no request may run with a revoked key. */
void soak_run::check_tenant(const run_record &run) {
    const auto sent = key_of_.find(run.request);
    const std::string expected = sent == key_of_.end() ? "usual" : sent->second.tenant;
    if (run.tenant != expected || run.key_seen) {
        violate("request " + run.request + " ran for '" + run.tenant + "' in place of '" +
                expected + "', key passed on: " + (run.key_seen ? "yes" : "no"));
    }
    const bool all_undisturbed = std::all_of(
        nodes_.begin(), nodes_.end(), [this](const auto &node) { return undisturbed(*node); });
    const auto &revoked = sent == key_of_.end() ? std::nullopt : sent->second.revoked;
    if (revoked && now() - *revoked > kConfigurationGrace && all_undisturbed) {
        violate("request " + run.request + " ran with a revoked key");
    }
}

/** The platform's bound on the runs within any window, which holds under all faults of nodes. */
void soak_run::check_limit(const run_record &run) {
    constexpr Duration kWindow = seconds(5);
    const double most = (kHotRate * 5 + kHotBurst) * 1.1 + 20;
    if (run.tenant != kHotTenant || runs_of_[run.request] > 1) {
        return;
    }
    hot_runs_.push_back(now());
    while (now() - hot_runs_.front() > kWindow) {
        hot_runs_.pop_front();
    }
    if (static_cast<double>(hot_runs_.size()) > most) {
        violate("the limited tenant ran " + std::to_string(hot_runs_.size()) +
                " requests within five seconds");
    }
}

/** An item that fails at each run, or that workers report as impossible, may only run a bounded
 * number of times, even if the owners of its job fail. */
void soak_run::check_attempts(const run_record &run) {
    constexpr size_t kMaxFailed = 9; // three times the attempts of the route
    constexpr size_t kMaxImpossible = 3;
    const item_fate fate = fate_of(run.request);
    if (fate == item_fate::kCompletes) {
        return;
    }
    const auto failed =
        static_cast<size_t>(std::count_if(runs_.begin(), runs_.end(), [&](const auto &before) {
            return before->request == run.request && before->failed;
        }));
    if (failed >= (fate == item_fate::kFails ? kMaxFailed : kMaxImpossible)) {
        violate("item " + run.request + " ran again after " + std::to_string(failed) +
                " failed runs");
    }
}

run_record *soak_run::note_run(run_record run) {
    runs_.push_back(std::make_unique<run_record>(run));
    record_run(run, runs_.size());
    const size_t times = ++runs_of_[run.request];
    check_tenant(run);
    check_limit(run);
    check_attempts(run);
    if (run.message.path == kOncePath && times > 1) {
        violate("request " + run.request + " must run once and ran again");
    }
    if (refused_.contains(run.request)) {
        violate("request " + run.request + " ran after it was answered as not run");
    }
    const auto worker = std::find_if(workers_.begin(), workers_.end(), [&](const auto &entry) {
        return entry->incarnation() == run.worker;
    });
    const MonotonicTime left = worker == workers_.end() ? MonotonicTime{} : (*worker)->leaving;
    const bool all_undisturbed = std::all_of(
        nodes_.begin(), nodes_.end(), [this](const auto &node) { return undisturbed(*node); });
    if (left != MonotonicTime{} && now() - left > kLeavingGrace && all_undisturbed) {
        violate("worker " + run.worker + " is leaving and got " + run.request);
    }
    const move &newest = moves_.back();
    const bool settled = now() - newest.written > kConfigurationGrace;
    if (run.message.path == kMovedPath && settled && all_undisturbed &&
        run.service != newest.service) {
        violate("request " + run.request + " ran by a configuration older than " +
                std::to_string(newest.version));
    }
    const auto of = jobs_.find(run.request.substr(0, run.request.find('-')));
    if (of != jobs_.end() && of->second.ended && now() - *of->second.ended > kEndGrace &&
        all_undisturbed) {
        violate("item " + run.request + " ran after its job was ended");
    }
    return runs_.back().get();
}

void soak_run::check_online(online_call &call) {
    result_.over_limit += call.whole && call.status == 429 ? 1 : 0;
    if (call.whole && call.status == 401) {
        ++result_.unknown_keys;
        const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const soak_key &each) {
            return each.key == call.key.key;
        });
        const bool settled = !key->revoked && call.sent - key->assigned > kConfigurationGrace;
        if (settled && undisturbed(*call.node)) {
            violate("request " + call.id + " was rejected with a key that is in force");
        }
        record_answer(call, true);
        return;
    }
    record_answer(call, holds_own_events(call.status, call.whole, call.id, call.body));
    if (call.whole && says_not_run(call.status)) {
        refused_.insert(call.id);
        if (runs_of_.contains(call.id)) {
            violate("request " + call.id + " was answered as not run, and ran");
        }
        return;
    }
    uint64_t expected = 0;
    EventSplitter splitter;
    std::string_view events = splitter.add(call.body);
    while (call.status == 200) {
        const std::optional<StreamEvent> event = take_event(events);
        if (!event) {
            break;
        }
        ++expected;
        if (event->id != expected || event->data != event_data(call.id, expected)) {
            violate("request " + call.id + " got another event at " + std::to_string(expected));
            return;
        }
    }
    if (call.whole && call.status == 200 && expected != kEvents) {
        violate("request " + call.id + " ended as whole after " + std::to_string(expected));
    }
    const bool whole = call.whole && call.status == 200;
    result_.answered += whole ? 1 : 0;
    if (!whole && !excused(call) && call.status != 502 && call.status != 504) {
        violate("request " + call.id + " at " + call.node->name() +
                " was cut off without a disturbance" + ", status " + std::to_string(call.status));
    }
}

/** Neither a node in its planned stop nor an undisturbed one may cut an answer off unless the
 * worker aborted. A request on a reused connection that has not run may have been sent while the
 * node was closing that connection. */
bool soak_run::excused(const online_call &call) const {
    const bool broke_at_worker = std::any_of(runs_.begin(), runs_.end(), [&](const auto &run) {
        return run->request == call.id && run->broken;
    });
    const bool closed_before_run = call.kept && call.status == 0 && !runs_of_.contains(call.id);
    return broke_at_worker || closed_before_run || !undisturbed(*call.node);
}

void soak_run::check_page(job &of, uint32_t from, const std::string &body) {
    const nlohmann::json page = nlohmann::json::parse(body, nullptr, false);
    if (!page.is_object() || page.value("total", size_t{0}) != of.items) {
        violate("the results of job " + of.id + " cannot be read");
        return;
    }
    size_t position = from;
    for (const nlohmann::json &result : page.at("results")) {
        const std::string item = result.at("id");
        const bool completed = result.at("state") == "completed";
        const bool never_completes = fate_of(item) != item_fate::kCompletes;
        // After an end was sent, unlisted items may be listed as errored, even before it is
        // answered.
        if (completed ? never_completes : !never_completes && !of.end_sent) {
            violate("item " + item + " is listed as " + (completed ? "completed" : "errored"));
        }
        if (completed && result.at("message") != whole_text(item)) {
            violate("item " + item + " lacks its whole text");
        }
        const bool text_ok = result.at("message") == whole_text(item);
        records_.emplace_back(listed_item{now(), of.id, position, item, completed, text_ok});
        if (position < of.listed.size() && of.listed[position] != item) {
            violate("job " + of.id + " changed its position " + std::to_string(position));
        }
        if (position == of.listed.size()) {
            if (std::find(of.listed.begin(), of.listed.end(), item) != of.listed.end()) {
                violate("item " + item + " is listed twice");
            }
            of.listed.push_back(item);
            ++result_.items_listed;
            result_.items_failed += completed ? 0 : 1;
        }
        ++position;
    }
}

void soak_run::check_end() {
    for (const auto &entry : jobs_) {
        const std::string &id = entry.first;
        const job &of = entry.second;
        if (of.accepted && !of.ended && of.listed.size() != of.items) {
            violate("job " + id + " lists " + std::to_string(of.listed.size()) + " of " +
                    std::to_string(of.items) + " items at the end");
        }
        const bool ran = std::any_of(runs_.begin(), runs_.end(), [&](const auto &run) {
            return run->request.starts_with(id + "-");
        });
        if (of.refused && !of.accepted && ran) {
            violate("job " + id + " was refused at every try, and ran");
        }
    }
}

void soak_run::record_answer(const online_call &call, bool matches) {
    records_.emplace_back(online_answer{now(), call.id, call.status, call.whole, matches});
}

void soak_run::record_run(const run_record &run, uint64_t number) {
    const auto worker = std::find_if(workers_.begin(), workers_.end(), [&](const auto &each) {
        return each->incarnation() == run.worker;
    });
    const auto of = jobs_.find(run.request.substr(0, run.request.find('-')));
    const bool ended = of != jobs_.end() && of->second.end_sent;
    const bool leaves = (*worker)->leaving != MonotonicTime{};
    // The sender only matters for these runs, and finding it takes about a millisecond.
    const bool sender_needed = ended || leaves || !sent_ids_.contains(run.request);
    const std::string sender = sender_needed ? sender_ip(run, **worker) : "";
    records_.emplace_back(run_begin{run.began, number, run.worker, run.service, run.request,
                                    run.message, run.resume_after, sender});
}

std::string soak_run::sender_ip(const run_record &run, const soak_worker &worker) const {
    std::vector<pid_t> processes;
    processes.reserve(nodes_.size());
    for (const auto &node : nodes_) {
        processes.push_back(node->process());
    }
    const std::optional<pid_t> owner = connection_owner(run.sender, worker.address(), processes);
    const auto sent = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto &node) {
        // A killed process no longer owns its connections.
        return owner ? node->process() == *owner : now() - node->disturbed < kKilledBefore;
    });
    return sent == nodes_.end() ? kUnknownSender : (*sent)->callers().ip;
}

void soak_run::check_all_records() {
    for (size_t number = 0; number < runs_.size(); ++number) {
        const run_record &run = *runs_[number];
        const run_outcome outcome = run.broken   ? run_outcome::kBroken
                                    : run.failed ? run_outcome::kFailed
                                                 : run_outcome::kWhole;
        records_.emplace_back(run_end{run.began, number + 1, run.worker, run.request, outcome});
    }
    records_.emplace_back(lag_of(now(), lateness_));
    std::stable_sort(records_.begin(), records_.end(), [](const record &one, const record &other) {
        return time_of(one) < time_of(other);
    });
    deployment of;
    of.bounds.finish = kFinish;
    result_.report = check_records(records_, of);
}

} // namespace chalkshed::soak
