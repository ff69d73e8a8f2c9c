#include "tests/soak/fleet/checks.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <unordered_set>

#include "src/core/error.h"
#include "tests/soak/fleet/expected_answers.h"
#include "tests/soak/fleet/history.h"

namespace chalkshed::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Limit of the examples kept for each check, for violations and excused cases separately. */
constexpr uint64_t kMaxExamples = 50;

struct named_check {
    check_kind kind;
    const char *name;
};

constexpr std::array kNames = {
    named_check{check_kind::kSent, "sent"},
    named_check{check_kind::kUnaltered, "unaltered"},
    named_check{check_kind::kRefusedRequest, "refused_request"},
    named_check{check_kind::kRefusedJob, "refused_job"},
    named_check{check_kind::kEndedJob, "ended_job"},
    named_check{check_kind::kUnansweredEnd, "unanswered_end"},
    named_check{check_kind::kOnce, "once"},
    named_check{check_kind::kWholeAnswer, "whole_answer"},
    named_check{check_kind::kListing, "listing"},
    named_check{check_kind::kCompleteJob, "complete_job"},
    named_check{check_kind::kLeavingWorker, "leaving_worker"},
    named_check{check_kind::kFatalContent, "fatal_content"},
    named_check{check_kind::kEndsOfContent, "ends_of_content"},
    named_check{check_kind::kInnocent, "innocent"},
    named_check{check_kind::kStreamVersions, "stream_versions"},
    named_check{check_kind::kItemVersions, "item_versions"},
    named_check{check_kind::kTakenUp, "taken_up"},
    named_check{check_kind::kFatalPart, "fatal_part"},
    named_check{check_kind::kPartRequests, "part_requests"},
    named_check{check_kind::kOneRun, "one_run"},
    named_check{check_kind::kSoundPart, "sound_part"},
};

int64_t in_ms(Duration length) {
    return duration_cast<milliseconds>(length).count();
}

std::string format_ms(Duration length) {
    return std::to_string(in_ms(length)) + " ms";
}

spread spread_of(std::vector<Duration> values) {
    spread result;
    if (values.empty()) {
        return result;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](size_t percent) { return values[(values.size() - 1) * percent / 100]; };
    result.samples = values.size();
    result.p50 = at(50);
    result.p99 = at(99);
    result.most = values.back();
    return result;
}

/** \return The names of the parts that differ, separated by commas; empty if none does. */
std::string differences(const carried_message &sent, const carried_message &got) {
    std::string result;
    const auto compare = [&](const char *what, const auto &one, const auto &other) {
        if (one != other) {
            result += std::string(result.empty() ? "" : ", ") + what;
        }
    };
    compare("method", sent.method, got.method);
    compare("path", sent.path, got.path);
    compare("query", sent.query, got.query);
    compare("body length", sent.body_length, got.body_length);
    compare("body", sent.body_digest, got.body_digest);
    compare("headers", sent.headers, got.headers);
    return result;
}

bool succeeded(int status) {
    return status >= 200 && status < 300;
}

/** Runs all checks on the joined records. */
class checker {
public:
    checker(const run_history &history, const deployment &of)
        : history_(history), plan_(of), bounds_(of.bounds) {
        for (const check_kind kind : all_checks()) {
            const auto floor = of.floors.find(check_name(kind));
            report_.checks[kind].floor = floor == of.floors.end() ? 0 : floor->second;
        }
        for (const auto &[id, item] : history.items) {
            for (const carried_message *message : item.messages) {
                item_contents_.insert(message->body_digest);
            }
        }
    }

    check_report run();

private:
    void check_run(const run_begin &run);
    void check_message(const run_begin &run, const std::vector<const carried_message *> &sent);
    void check_request(const std::string &id, const request_history &request);
    void check_answer(const std::string &id, const request_history &request);
    bool cut_is_excused(const request_history &request, MonotonicTime until) const;
    void check_job(const std::string &id, const job_history &job);
    void check_refusals(const std::string &id, const job_history &job);
    void check_end(const std::string &id, const job_history &job);
    void check_bodies(const std::string &id, const job_history &job);
    void check_listing(const std::string &id, const job_history &job);
    void check_complete(const std::string &id, const job_history &job);
    bool crashes_workers(const std::string &item) const;
    /** Whether the item's service lacked all its workers at some time. */
    bool lost_service(const sent_item &item, interval when) const;
    void check_leaving_workers();
    /** Runs that go on with an earlier one of the same request or item. */
    void check_continued_runs();
    void check_continued_run(const run_begin &earlier, const run_begin &later);
    void check_fatal_contents();
    void check_ends_of_contents();
    /** Items that crash workers are owed, and pause between their runs. */
    void check_pauses_of_items();
    /** Whether a batch item has that content. */
    bool is_item(const std::string &content) const;
    void check_innocent(const std::string &id, const request_history &request);
    void check_lag();
    void check_software_versions();
    void check_fatal_parts();
    void judge_mixed(check_kind kind, const std::vector<mixed_text> &mixed);

    /** Whether the sender of the run or its store was disturbed within `contact` before it. */
    bool sender_disturbed(const run_begin &run) const;
    std::string where(const run_begin &run) const;
    void violate(check_kind kind, MonotonicTime at, const std::string &what);
    void excuse(check_kind kind, MonotonicTime at, const std::string &what);
    /** Counts a fault of the run's sender as excused if the sender was disturbed, else as a
     * violation. */
    void judge_sender(check_kind kind, const run_begin &run, const std::string &what);
    std::string line(MonotonicTime at, const std::string &what) const;

    const run_history &history_;
    const deployment &plan_;
    const bound_options &bounds_;
    check_report report_;
    std::map<check_kind, uint64_t> excused_examples_;
    std::vector<Duration> last_begins_;
    std::unordered_set<std::string> item_contents_;
};

check_report checker::run() {
    report_.requests = history_.requests.size();
    report_.jobs = history_.jobs.size();
    report_.runs = history_.runs.size();
    for (const run_begin *each : history_.runs) {
        check_run(*each);
    }
    for (const auto &[id, request] : history_.requests) {
        check_request(id, request);
    }
    for (const auto &[id, job] : history_.jobs) {
        check_job(id, job);
    }
    check_leaving_workers();
    check_continued_runs();
    check_fatal_contents();
    check_ends_of_contents();
    check_pauses_of_items();
    check_software_versions();
    check_fatal_parts();
    check_lag();
    report_.end_to_last_begin = spread_of(std::move(last_begins_));
    return std::move(report_);
}

std::string checker::line(MonotonicTime at, const std::string &what) const {
    return format_ms(at - history_.first) + ": " + what;
}

void checker::violate(check_kind kind, MonotonicTime at, const std::string &what) {
    check_result &result = report_.checks[kind];
    if (result.violations++ < kMaxExamples) {
        result.examples.push_back(line(at, what));
    }
}

void checker::excuse(check_kind kind, MonotonicTime at, const std::string &what) {
    check_result &result = report_.checks[kind];
    if (result.excused++ < kMaxExamples) {
        result.examples.push_back(line(at, "excused: " + what));
    }
}

void checker::judge_sender(check_kind kind, const run_begin &run, const std::string &what) {
    if (sender_disturbed(run)) {
        excuse(kind, run.at, what);
    } else {
        violate(kind, run.at, what);
    }
}

bool checker::sender_disturbed(const run_begin &run) const {
    const std::string node = history_.node_of(run);
    return !node.empty() &&
           history_.disturbed.node_disturbed(node, {run.at - bounds_.contact, run.at});
}

std::string checker::where(const run_begin &run) const {
    const std::string node = history_.node_of(run);
    const std::string sender = node.empty() ? "no node at " + run.sender_ip : node;
    return run.id + " ran at worker " + run.worker +
           (run.sender_ip.empty() ? "" : " from " + sender);
}

void checker::check_run(const run_begin &run) {
    ++report_.checks[check_kind::kSent].tested;
    const auto item = history_.items.find(run.id);
    const auto request = history_.requests.find(run.id);
    const bool is_item = item != history_.items.end();
    const bool is_request = request != history_.requests.end() && request->second.send != nullptr;
    if (!is_item && !is_request) {
        violate(check_kind::kSent, run.at, where(run) + ", and no caller sent it");
        return;
    }
    const MonotonicTime sent = is_item ? item->second.first_sent : request->second.send->at;
    if (run.at < sent) {
        violate(check_kind::kSent, run.at,
                where(run) + " " + format_ms(sent - run.at) + " before a caller sent it");
    }
    check_message(run,
                  is_item ? item->second.messages : std::vector{&request->second.send->message});
}

void checker::check_message(const run_begin &run,
                            const std::vector<const carried_message *> &sent) {
    ++report_.checks[check_kind::kUnaltered].tested;
    const bool same = std::any_of(sent.begin(), sent.end(), [&](const carried_message *each) {
        return *each == run.message;
    });
    if (!same) {
        violate(check_kind::kUnaltered, run.at,
                where(run) + " with another " + differences(*sent.front(), run.message) +
                    " than its caller sent: " + run.message.method + " " + run.message.path + "?" +
                    run.message.query + ", " + std::to_string(run.message.body_length) + " bytes");
    }
}

void checker::check_request(const std::string &id, const request_history &request) {
    if (request.send == nullptr) {
        report_.invalid.push_back("the records lack the send of request " + id);
        return;
    }
    const online_answer *answer = request.answer;
    if (answer != nullptr && promises_not_run(answer->status)) {
        ++report_.checks[check_kind::kRefusedRequest].tested;
        if (!request.runs.empty()) {
            violate(check_kind::kRefusedRequest, request.runs.front()->at,
                    where(*request.runs.front()) + ", and was answered " +
                        std::to_string(answer->status) + " by " + request.send->node);
        }
    }
    if (request.send->once && !request.runs.empty()) {
        ++report_.checks[check_kind::kOnce].tested;
        if (request.runs.size() > 1) {
            violate(check_kind::kOnce, request.runs[1]->at,
                    where(*request.runs[1]) + " as run " + std::to_string(request.runs.size()) +
                        " of a request that must run once");
        }
    }
    check_answer(id, request);
    check_innocent(id, request);
}

void checker::check_innocent(const std::string &id, const request_history &request) {
    const bool fatal = history_.fatal_ends.contains(request.send->message.body_digest) ||
                       holds_fatal_part(request.send->message);
    if (history_.fatal_ends.empty() || fatal || request.answer == nullptr) {
        return;
    }
    ++report_.checks[check_kind::kInnocent].tested;
    if (request.answer->held) {
        violate(check_kind::kInnocent, request.answer->at,
                id + " was refused by " + request.send->node +
                    " as if workers ended under it, and none had");
    }
}

void checker::check_fatal_contents() {
    constexpr size_t kEndsUntilKnown = 3;
    constexpr size_t kMaxLateRuns = 3;
    std::map<std::string, std::vector<const run_begin *>> late;
    for (const run_begin *run : history_.runs) {
        const auto found = history_.fatal_ends.find(run->message.body_digest);
        const bool known = found != history_.fatal_ends.end() &&
                           found->second.size() >= kEndsUntilKnown && !is_item(found->first);
        if (known && run->at > found->second[kEndsUntilKnown - 1] + bounds_.contact) {
            late[found->first].push_back(run);
        }
    }
    for (const auto &[content, ends] : history_.fatal_ends) {
        if (ends.size() < kEndsUntilKnown) {
            continue;
        }
        ++report_.checks[check_kind::kFatalContent].tested;
        size_t by_undisturbed_nodes = 0;
        for (const run_begin *run : late[content]) {
            by_undisturbed_nodes += sender_disturbed(*run) ? 0 : 1;
            if (by_undisturbed_nodes > kMaxLateRuns) {
                violate(check_kind::kFatalContent, run->at,
                        where(*run) + " though workers had ended under its content, " +
                            std::to_string(ends.size()) + " in all");
                break;
            }
        }
    }
}

void checker::check_ends_of_contents() {
    // Three that identify the content, and two copies that were in flight by then or a later trial.
    constexpr size_t kMaxEnds = 5;
    report_.checks[check_kind::kEndsOfContent].tested = history_.fatal_ends.size();
    std::map<std::string, size_t> by_undisturbed_nodes;
    for (const run_begin *run : history_.runs) {
        // An older build may lack the separation of concurrent copies.
        const bool judged = !sender_disturbed(*run) && !history_.sent_by_production(*run);
        const std::string &content = run->message.body_digest;
        if (!judged || is_item(content) || !history_.fatal_runs.contains({run->worker, run->id})) {
            continue;
        }
        if (++by_undisturbed_nodes[content] > kMaxEnds) {
            violate(check_kind::kEndsOfContent, run->at,
                    where(*run) + " as number " + std::to_string(by_undisturbed_nodes[content]) +
                        " of the workers that ended under its content");
        }
    }
}

bool checker::is_item(const std::string &content) const {
    return item_contents_.contains(content);
}

void checker::check_pauses_of_items() {
    using std::chrono::seconds;
    // The pauses after three crashes and more; another owner may not know of one of them yet.
    constexpr size_t kFirstPaused = 3;
    constexpr size_t kUnknown = 1;
    constexpr std::array<Duration, 3> kPauses = {seconds(1), seconds(2), seconds(4)};
    for (const run_begin *run : history_.runs) {
        const auto found = history_.fatal_ends.find(run->message.body_digest);
        const bool judged = found != history_.fatal_ends.end() && is_item(found->first) &&
                            !sender_disturbed(*run) && !history_.sent_by_production(*run);
        if (!judged) {
            continue;
        }
        const std::vector<MonotonicTime> &ends = found->second;
        const auto before = static_cast<size_t>(std::count_if(
            ends.begin(), ends.end(), [&](MonotonicTime end) { return end < run->at; }));
        if (before < kFirstPaused + kUnknown) {
            continue;
        }
        const size_t pause = std::min(before - kUnknown - kFirstPaused, kPauses.size() - 1);
        ++report_.checks[check_kind::kFatalContent].tested;
        const Duration since =
            run->at -
            *std::max_element(ends.begin(), ends.begin() + static_cast<ptrdiff_t>(before));
        if (since + bounds_.lag < kPauses[pause]) {
            violate(check_kind::kFatalContent, run->at,
                    where(*run) + " only " + format_ms(since) + " after end " +
                        std::to_string(before) + " of a worker under its content");
        }
    }
}

void checker::check_answer(const std::string &id, const request_history &request) {
    const online_answer *answer = request.answer;
    if (answer == nullptr) {
        if (request.left == nullptr) {
            violate(check_kind::kWholeAnswer, request.send->at,
                    id + " got no answer from " + request.send->node + ", and its caller stayed");
        }
        return;
    }
    if (succeeded(answer->status)) {
        ++report_.checks[check_kind::kWholeAnswer].tested;
        if (!answer->matches) {
            violate(check_kind::kWholeAnswer, answer->at,
                    id + " got what isn't its answer from " + request.send->node);
            return;
        }
    }
    const bool cut = !answer->whole && request.left == nullptr;
    if (!cut) {
        return;
    }
    const std::string what =
        id + " was cut off by " + request.send->node + ", status " + std::to_string(answer->status);
    if (cut_is_excused(request, answer->at)) {
        excuse(check_kind::kWholeAnswer, answer->at, what);
    } else {
        violate(check_kind::kWholeAnswer, answer->at, what);
    }
}

/** If the worker aborts, the node can only cut the answer off. A request on a reused connection
 * that has not run may have been sent while the node was closing that connection. */
bool checker::cut_is_excused(const request_history &request, MonotonicTime until) const {
    const interval lifetime = {request.send->at - bounds_.contact, until};
    const bool worker_broke =
        std::any_of(request.runs.begin(), request.runs.end(), [&](const run_begin *run) {
            const run_end *end = history_.end_of(*run);
            return (end != nullptr && end->outcome == run_outcome::kBroken) ||
                   history_.disturbed.worker_disturbed(run->worker, lifetime);
        });
    const bool closed_before_run =
        request.send->kept && request.answer->status == 0 && request.runs.empty();
    return worker_broke || closed_before_run ||
           history_.disturbed.node_disturbed(request.send->node, lifetime);
}

void checker::check_job(const std::string &id, const job_history &job) {
    if (job.sends.empty()) {
        report_.invalid.push_back("the records lack the sends of job " + id);
        return;
    }
    check_refusals(id, job);
    check_end(id, job);
    check_bodies(id, job);
    check_listing(id, job);
    check_complete(id, job);
}

void checker::check_bodies(const std::string &id, const job_history &job) {
    for (const item_body *read : job.bodies) {
        ++report_.checks[check_kind::kUnaltered].tested;
        const auto item = history_.items.find(read->item);
        const bool same =
            item != history_.items.end() && item->second.job == id &&
            std::any_of(item->second.messages.begin(), item->second.messages.end(),
                        [&](const auto *each) { return each->body_digest == read->body_digest; });
        if (!same) {
            violate(check_kind::kUnaltered, read->at,
                    read->node + " returned another body of " + read->item +
                        " than its caller sent");
        }
    }
}

/** An item that ends its workers is listed only once a later run of it succeeds. */
bool checker::crashes_workers(const std::string &item) const {
    const std::vector<const carried_message *> &messages = history_.items.at(item).messages;
    return std::any_of(messages.begin(), messages.end(), [&](const carried_message *each) {
        return history_.fatal_ends.contains(each->body_digest);
    });
}

bool checker::lost_service(const sent_item &item, interval when) const {
    const route_options *route = route_of(plan_, item.message.path);
    return route != nullptr && history_.disturbed.service_disturbed(route->service, when);
}

void checker::check_refusals(const std::string &id, const job_history &job) {
    std::set<uint64_t> refused;
    for (const job_answer *answer : job.answers) {
        if (!promises_not_run(answer->status)) {
            return; // it may have been accepted
        }
        refused.insert(answer->attempt);
    }
    const bool every_attempt_refused =
        std::all_of(job.sends.begin(), job.sends.end(),
                    [&](const job_send *send) { return refused.contains(send->attempt); });
    if (!every_attempt_refused) {
        return; // an attempt without an answer may have been accepted
    }
    ++report_.checks[check_kind::kRefusedJob].tested;
    for (const run_begin *run : job.runs) {
        violate(check_kind::kRefusedJob, run->at,
                where(*run) + ", and its job " + id + " was refused at each of " +
                    std::to_string(job.sends.size()) + " tries");
    }
}

void checker::check_end(const std::string &id, const job_history &job) {
    constexpr int kNoSuchJob = 404;
    if (job.ends.empty()) {
        return;
    }
    const std::optional<MonotonicTime> acknowledged = job.end_acknowledged();
    const MonotonicTime latest = history_.disturbed.after_calm_store(
        job.ends.front()->at, bounds_.acknowledgement, bounds_.contact);
    const bool answered = acknowledged && *acknowledged <= latest;
    const bool unknown =
        std::any_of(job.end_answers.begin(), job.end_answers.end(),
                    [](const end_answer *answer) { return answer->status == kNoSuchJob; });
    if (!answered && unknown && !job.accepted()) {
        ++report_.ends_unjudged;
        return;
    }
    const MonotonicTime ended = answered ? *acknowledged : latest;
    const check_kind kind = answered ? check_kind::kEndedJob : check_kind::kUnansweredEnd;
    std::unordered_set<std::string> begun;
    MonotonicTime last_begin = ended;
    for (const run_begin *run : job.runs) {
        if (run->at <= ended) {
            begun.insert(run->id);
            continue;
        }
        last_begin = std::max(last_begin, run->at);
        if (run->at > ended + bounds_.ended_job) {
            judge_sender(kind, *run,
                         where(*run) + " " + format_ms(run->at - ended) + " after its job " + id +
                             (answered ? " was ended" : " had to be ended, unacknowledged"));
        }
    }
    // If all items had started, there was nothing left for the end to stop.
    const bool work_left = begun.size() < job.items;
    report_.checks[kind].tested += work_left ? 1 : 0;
    if (answered) {
        last_begins_.push_back(last_begin - ended);
    }
}

void checker::check_listing(const std::string &id, const job_history &job) {
    check_result &result = report_.checks[check_kind::kListing];
    std::map<uint64_t, const listed_item *> at_position;
    std::unordered_map<std::string, uint64_t> position_of;
    for (const listed_item *entry : job.listed) {
        const std::string place = "position " + std::to_string(entry->position) + " of job " + id;
        const auto owner = history_.items.find(entry->item);
        if (owner == history_.items.end() || owner->second.job != id) {
            violate(check_kind::kListing, entry->at,
                    place + " lists " + entry->item + ", which is no item of it");
        }
        if (entry->completed && !entry->text_ok) {
            violate(check_kind::kListing, entry->at,
                    place + " lists " + entry->item + " without its whole text");
        }
        const auto [known, first] = at_position.try_emplace(entry->position, entry);
        if (!first) {
            ++result.tested; // read again
            if (known->second->item != entry->item ||
                known->second->completed != entry->completed) {
                violate(check_kind::kListing, entry->at,
                        place + " held " + known->second->item + " and now " + entry->item);
            }
        }
        const auto placed = position_of.try_emplace(entry->item, entry->position).first;
        if (placed->second != entry->position) {
            violate(check_kind::kListing, entry->at,
                    place + " lists " + entry->item + ", which stood at position " +
                        std::to_string(placed->second));
        }
    }
}

/** Checks a job once all its items are listed or its time for that has passed. A job whose caller
 * ended it, or whose records end, before either is not checked. */
void checker::check_complete(const std::string &id, const job_history &job) {
    const std::optional<MonotonicTime> accepted = job.accepted();
    if (!accepted) {
        return;
    }
    const MonotonicTime until = job.ends.empty() ? history_.last : job.ends.front()->at;
    std::unordered_set<std::string> listed;
    for (const listed_item *entry : job.listed) {
        if (entry->at <= until) {
            listed.insert(entry->item);
        }
    }
    std::unordered_set<std::string> expected;
    for (const job_send *send : job.sends) {
        for (const sent_item &item : send->items) {
            const bool excused = crashes_workers(item.id) || lost_service(item, {*accepted, until});
            if (listed.contains(item.id) || !excused) {
                expected.insert(item.id);
            }
        }
    }
    const bool complete = listed.size() >= expected.size();
    if (!complete && until < *accepted + bounds_.finish) {
        return;
    }
    ++report_.checks[check_kind::kCompleteJob].tested;
    if (!complete) {
        violate(check_kind::kCompleteJob, until,
                "job " + id + " lists " + std::to_string(listed.size()) + " of " +
                    std::to_string(expected.size()) + " items, " + format_ms(until - *accepted) +
                    " after its 202");
    }
}

void checker::check_leaving_workers() {
    std::unordered_set<std::string> used;
    for (const run_begin *run : history_.runs) {
        const auto left = history_.leaving.find(run->worker);
        if (left == history_.leaving.end()) {
            continue;
        }
        if (run->at <= left->second) {
            used.insert(run->worker);
        } else if (run->at > left->second + bounds_.leaving) {
            judge_sender(check_kind::kLeavingWorker, *run,
                         where(*run) + " " + format_ms(run->at - left->second) +
                             " after it said that it leaves");
        }
    }
    // A worker that was never used would not have got a request in any case.
    report_.checks[check_kind::kLeavingWorker].tested = used.size();
}

void checker::check_continued_runs() {
    std::unordered_map<std::string, std::vector<const run_begin *>> runs_of;
    for (const run_begin *run : history_.runs) {
        std::vector<const run_begin *> &earlier = runs_of[run->id];
        if (run->resume_after > 0) {
            for (const run_begin *each : earlier) {
                check_continued_run(*each, *run);
            }
        }
        earlier.push_back(run);
    }
}

/** The node of the earlier run has to close its connection, or is disturbed. */
void checker::check_continued_run(const run_begin &earlier, const run_begin &later) {
    check_result &result = report_.checks[check_kind::kOneRun];
    ++result.tested;
    const run_end *end = history_.end_of(earlier);
    const MonotonicTime until = later.at + bounds_.overlap;
    if (end == nullptr || end->at <= until) {
        return;
    }
    const interval around = {later.at - bounds_.contact, until};
    const std::string node = history_.node_of(earlier);
    const std::string what = where(later) + " and goes on with a run at worker " + earlier.worker +
                             " that lasted " + format_ms(end->at - later.at) + " longer";
    const bool excused = history_.disturbed.node_disturbed(node, around);
    if (excused) {
        excuse(check_kind::kOneRun, later.at, what);
    } else {
        violate(check_kind::kOneRun, later.at, what);
    }
}

void checker::judge_mixed(check_kind kind, const std::vector<mixed_text> &mixed) {
    for (const mixed_text &each : mixed) {
        if (each.excused) {
            excuse(kind, each.at, each.what);
        } else {
            violate(kind, each.at, each.what);
        }
    }
}

void checker::check_software_versions() {
    report_.versions = check_versions(history_, bounds_);
    const version_report &versions = report_.versions;
    report_.checks[check_kind::kStreamVersions].tested = versions.streams_judged;
    report_.checks[check_kind::kItemVersions].tested = versions.items_judged;
    report_.checks[check_kind::kTakenUp].tested = versions.taken_up;
    judge_mixed(check_kind::kStreamVersions, versions.streams);
    judge_mixed(check_kind::kItemVersions, versions.items);
    if (!versions.enough_go_on()) {
        violate(check_kind::kTakenUp, history_.last,
                std::to_string(versions.went_on) + " of " + std::to_string(versions.taken_up) +
                    " streams that were taken up went on, and " + std::to_string(versions.begun) +
                    " of " + std::to_string(versions.first_attempts) + " new ones began");
    }
}

void checker::check_fatal_parts() {
    constexpr uint64_t kMaxLateRuns = 3;
    report_.parts = check_parts(history_, bounds_);
    const part_report &parts = report_.parts;
    report_.checks[check_kind::kFatalPart].tested = parts.parts;
    report_.checks[check_kind::kPartRequests].tested = parts.fatal_sent;
    report_.checks[check_kind::kSoundPart].tested = parts.sound_sent;
    if (parts.most_of_one_part > kMaxLateRuns) {
        violate(check_kind::kFatalPart, history_.last,
                std::to_string(parts.most_of_one_part) +
                    " requests with one part reached workers after its fifth crash was known");
    }
    if (!parts.enough_begin()) {
        violate(check_kind::kSoundPart, history_.last,
                std::to_string(parts.sound_began) + " of " + std::to_string(parts.sound_sent) +
                    " sound requests began, and " + std::to_string(parts.sound_began_before) +
                    " of " + std::to_string(parts.sound_before) + " before");
    }
}

void checker::check_lag() {
    for (const auto &entry : history_.lags) {
        const process_lag &lag = entry.second;
        if (report_.worst_lag.process.empty() || lag.p99 > report_.worst_lag.p99) {
            report_.worst_lag = lag;
        }
    }
    const process_lag &worst = report_.worst_lag;
    if (worst.samples == 0) {
        report_.invalid.push_back("no test process recorded its timer lag");
    } else if (worst.p99 > bounds_.lag) {
        report_.invalid.push_back("the timers of " + worst.process + " came " +
                                  format_ms(worst.p99) + " late at the 99th of 100, beyond " +
                                  format_ms(bounds_.lag) +
                                  "; use fewer processes or a machine with more cores");
    }
}

nlohmann::json checks_in_json(const check_report &report) {
    nlohmann::json checks = nlohmann::json::object();
    for (const auto &[kind, result] : report.checks) {
        checks[check_name(kind)] = {{"tested", result.tested},
                                    {"floor", result.floor},
                                    {"violations", result.violations},
                                    {"excused", result.excused}};
    }
    return checks;
}

nlohmann::json in_json(const check_report &report) {
    nlohmann::json below = nlohmann::json::array();
    for (const check_kind kind : report.below_floor()) {
        below.push_back(check_name(kind));
    }
    const process_lag &lag = report.worst_lag;
    const spread &ends = report.end_to_last_begin;
    return {{"valid", report.invalid.empty()},
            {"passed", report.passed()},
            {"invalid_because", report.invalid},
            {"violations", report.violations()},
            {"below_floor", below},
            {"requests", report.requests},
            {"jobs", report.jobs},
            {"runs", report.runs},
            {"ends_unjudged", report.ends_unjudged},
            {"checks", checks_in_json(report)},
            {"end_to_last_begin_ms",
             {{"jobs", ends.samples},
              {"p50", in_ms(ends.p50)},
              {"p99", in_ms(ends.p99)},
              {"max", in_ms(ends.most)}}},
            {"worst_lag_ms",
             {{"process", lag.process},
              {"samples", lag.samples},
              {"p50", in_ms(lag.p50)},
              {"p99", in_ms(lag.p99)},
              {"max", in_ms(lag.most)}}}};
}

} // namespace

const std::vector<check_kind> &all_checks() {
    static const std::vector<check_kind> kAll = [] {
        std::vector<check_kind> kinds;
        kinds.reserve(kNames.size());
        for (const named_check &each : kNames) {
            kinds.push_back(each.kind);
        }
        return kinds;
    }();
    return kAll;
}

std::string check_name(check_kind kind) {
    const auto *found = std::find_if(kNames.begin(), kNames.end(),
                                     [&](const named_check &each) { return each.kind == kind; });
    return found->name;
}

uint64_t check_report::violations() const {
    uint64_t all = 0;
    for (const auto &entry : checks) {
        all += entry.second.violations;
    }
    return all;
}

std::vector<check_kind> check_report::below_floor() const {
    std::vector<check_kind> kinds;
    for (const auto &[kind, result] : checks) {
        if (result.tested < result.floor) {
            kinds.push_back(kind);
        }
    }
    return kinds;
}

bool check_report::passed() const {
    return invalid.empty() && violations() == 0 && below_floor().empty();
}

check_report check_records(const std::vector<record> &records, const deployment &of) {
    const run_history history(records);
    return checker(history, of).run();
}

void print_report(const check_report &report, std::ostream &output) {
    for (const auto &[kind, result] : report.checks) {
        for (const std::string &example : result.examples) {
            output << check_name(kind) << " at " << example << '\n';
        }
    }
    for (const std::string &reason : report.invalid) {
        output << "invalid: " << reason << '\n';
    }
    output << in_json(report).dump() << '\n';
}

void print_parts(const part_report &parts, std::ostream &output) {
    output << "parts=" << parts.parts << " fatal_sent=" << parts.fatal_sent
           << " sent_after_fifth=" << parts.sent_after_fifth
           << " most_of_one_part=" << parts.most_of_one_part << " sound_sent=" << parts.sound_sent
           << " sound_began=" << parts.sound_began << " sound_before=" << parts.sound_before
           << " sound_began_before=" << parts.sound_began_before << '\n';
}

void print_versions(const version_report &versions, std::ostream &output) {
    output << "streams_of_two_versions=" << versions.streams.size()
           << " items_of_two_versions=" << versions.items.size()
           << " taken_up=" << versions.taken_up << " went_on=" << versions.went_on
           << " new=" << versions.first_attempts << " begun=" << versions.begun << '\n';
}

} // namespace chalkshed::soak
