#include "tests/soak/fleet/version_checks.h"

#include <algorithm>
#include <set>

namespace chalkshed::soak {
namespace {

/** When a worker of a version served. */
struct service_time {
    std::string version;
    interval when;
};

/** The service times of all workers. */
class version_times {
public:
    explicit version_times(const run_history &history) {
        std::map<std::string, const worker_version *> open;
        for (const worker_version *entry : history.worker_versions) {
            const auto begun = open.extract(entry->worker);
            if (!begun.empty()) {
                times_.push_back({begun.mapped()->version, {begun.mapped()->at, entry->at}});
            }
            if (entry->serving) {
                open[entry->worker] = entry;
            }
        }
        for (const auto &[worker, entry] : open) {
            times_.push_back({entry->version, {entry->at, history.last}});
        }
    }
    /** Whether two workers of the version serve throughout. */
    bool two_serve(const std::string &version, interval throughout) const {
        const auto count =
            std::count_if(times_.begin(), times_.end(), [&](const service_time &time) {
                return time.version == version && time.when.from <= throughout.from &&
                       time.when.to >= throughout.to;
            });
        return count >= 2;
    }

private:
    std::vector<service_time> times_;
};

/** The attempts of a caller at one stream. */
struct stream_history {
    std::vector<const request_history *> attempts;
};

const std::vector<std::string> &versions_of(const request_history &attempt) {
    static const std::vector<std::string> kNone;
    if (attempt.answer != nullptr) {
        return attempt.answer->versions;
    }
    return attempt.left != nullptr ? attempt.left->versions : kNone;
}

bool by_production(const run_history &history, const std::vector<const run_begin *> &runs) {
    return std::any_of(runs.begin(), runs.end(),
                       [&](const run_begin *run) { return history.sent_by_production(*run); });
}

MonotonicTime end_of(const request_history &attempt, MonotonicTime last) {
    if (attempt.answer != nullptr) {
        return attempt.answer->at;
    }
    return attempt.left != nullptr ? attempt.left->at : last;
}

std::string joined(const std::set<std::string> &names) {
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

class version_checker {
public:
    version_checker(const run_history &history, const bound_options &bounds)
        : history_(history), bounds_(bounds), times_(history) {}

    version_report run() {
        std::map<std::string, stream_history> streams;
        for (const auto &[id, request] : history_.requests) {
            if (request.send != nullptr) {
                const std::string &first = request.send->first_attempt;
                streams[first.empty() ? id : first].attempts.push_back(&request);
            }
        }
        for (const auto &[first, stream] : streams) {
            check_stream(first, stream);
            count_attempts(first, stream);
        }
        check_items();
        return std::move(report_);
    }

private:
    void check_stream(const std::string &first, const stream_history &stream);
    void count_attempts(const std::string &first, const stream_history &stream);
    void check_items();
    /** Whether the node of the attempt and its store were undisturbed. */
    bool in_touch(const request_history &attempt) const;

    const run_history &history_;
    const bound_options &bounds_;
    const version_times times_;
    version_report report_;
};

void version_checker::check_stream(const std::string &first, const stream_history &stream) {
    std::set<std::string> versions;
    bool production = false;
    for (const request_history *attempt : stream.attempts) {
        const std::vector<std::string> &received = versions_of(*attempt);
        versions.insert(received.begin(), received.end());
        production = production || by_production(history_, attempt->runs);
    }
    report_.streams_judged += versions.empty() ? 0 : 1;
    if (versions.size() > 1) {
        report_.streams.push_back({stream.attempts.front()->send->at,
                                   first + " got events of " + joined(versions) + " over " +
                                       std::to_string(stream.attempts.size()) + " attempts",
                                   production});
    }
}

bool version_checker::in_touch(const request_history &attempt) const {
    const interval when = {attempt.send->at - bounds_.contact, end_of(attempt, history_.last)};
    return !history_.disturbed.node_disturbed(attempt.send->node, when);
}

void version_checker::count_attempts(const std::string &first, const stream_history &stream) {
    const auto began = history_.requests.find(first);
    const bool known = began != history_.requests.end() && !versions_of(began->second).empty();
    const std::string version = known ? versions_of(began->second).front() : "";
    for (const request_history *attempt : stream.attempts) {
        if (!attempt->send->resumable || attempt->answer == nullptr || !in_touch(*attempt)) {
            continue;
        }
        const bool served = !attempt->answer->versions.empty();
        const MonotonicTime at = attempt->send->at;
        if (attempt->send->first_attempt.empty()) {
            ++report_.first_attempts;
            report_.begun += served ? 1 : 0;
        } else if (known &&
                   times_.two_serve(version, {at - bounds_.contact, attempt->answer->at})) {
            ++report_.taken_up;
            report_.went_on += served ? 1 : 0;
        }
    }
}

void version_checker::check_items() {
    std::set<std::string> judged;
    for (const auto &[id, job] : history_.jobs) {
        for (const listed_item *listed : job.listed) {
            if (listed->versions.empty() || !judged.insert(listed->item).second) {
                continue;
            }
            ++report_.items_judged;
            if (listed->versions.size() > 1) {
                const std::set<std::string> versions(listed->versions.begin(),
                                                     listed->versions.end());
                std::vector<const run_begin *> runs;
                std::copy_if(job.runs.begin(), job.runs.end(), std::back_inserter(runs),
                             [&](const run_begin *run) { return run->id == listed->item; });
                report_.items.push_back(
                    {listed->at,
                     "item " + listed->item + " is listed with events of " + joined(versions),
                     by_production(history_, runs)});
            }
        }
    }
}

} // namespace

bool version_report::enough_go_on() const {
    constexpr uint64_t kFewestJudged = 12;
    // went_on / taken_up >= (begun / first_attempts) / 2
    return taken_up < kFewestJudged || 2 * went_on * first_attempts >= begun * taken_up;
}

version_report check_versions(const run_history &history, const bound_options &bounds) {
    return version_checker(history, bounds).run();
}

} // namespace chalkshed::soak
