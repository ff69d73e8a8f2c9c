#include "chalkshed/request_runs.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace chalkshed {
namespace {

struct closing_event {
    std::string_view event;
    run_conclusion conclusion;
};

/** Events that end the latest send of a request at their node. */
constexpr std::array kClosingEvents = {
    closing_event{"request_answered", run_conclusion::kAnswered},
    closing_event{"send_refused", run_conclusion::kNotRun},
    closing_event{"request_sent_again", run_conclusion::kMayHaveRun},
    closing_event{"request_ended_without_answer", run_conclusion::kMayHaveRun},
    closing_event{"stream_resumed", run_conclusion::kMayHaveRun},
    closing_event{"stream_not_resumed", run_conclusion::kMayHaveRun},
    closing_event{"item_run_failed", run_conclusion::kMayHaveRun},
    closing_event{"item_preempted", run_conclusion::kPreempted},
};

const closing_event *closing_event_of(const LogLine &line) {
    const auto found =
        std::find_if(kClosingEvents.begin(), kClosingEvents.end(),
                     [&](const closing_event &closing) { return closing.event == line.event; });
    return found == kClosingEvents.end() ? nullptr : &*found;
}

bool begins_run(const LogLine &line) {
    return line.event == "request_sent" || line.event == "item_started";
}

request_run run_from(const LogLine &line) {
    request_run run;
    run.node = line.node;
    run.worker = line.field("worker");
    run.began = line.time;
    run.connection_use = line.field("connection_use");
    run.resume_after = line.field("resume_after");
    return run;
}

/** Ends the latest open run of the node, if any. */
void close_run(std::vector<request_run> &runs, const LogLine &line, const closing_event &closing) {
    const auto open = std::find_if(runs.rbegin(), runs.rend(), [&](const request_run &run) {
        return run.node == line.node && run.conclusion == run_conclusion::kNone;
    });
    if (open == runs.rend()) {
        return;
    }
    open->ended = line.time;
    open->conclusion = closing.conclusion;
    open->reason = line.field("reason");
    if (const std::string_view proof = line.field("proof"); !proof.empty()) {
        open->conclusion = run_conclusion::kNotRun;
        open->proof = proof;
    }
}

void note_ran_after_all(std::vector<request_run> &runs, const LogLine &line) {
    for (request_run &run : runs) {
        if (run.worker == line.field("worker") && run.conclusion == run_conclusion::kNotRun) {
            run.conclusion = run_conclusion::kRanAfterAll;
        }
    }
}

void print_run(const std::vector<request_run> &runs, size_t index, std::ostream &output) {
    const request_run &run = runs[index];
    output << run.began << " to " << (run.ended.empty() ? "?" : run.ended) << "  " << run.node
           << " at " << run.worker << "  " << run_conclusion_name(run.conclusion);
    const std::array<std::pair<const char *, const std::string &>, 4> details = {{
        {"proof", run.proof},
        {"connection_use", run.connection_use},
        {"resume_after", run.resume_after},
        {"reason", run.reason},
    }};
    for (const auto &[name, value] : details) {
        if (!value.empty()) {
            output << "  " << name << '=' << value;
        }
    }
    output << (overlaps_earlier(runs, index) ? "  OVERLAPS an earlier run" : "") << '\n';
}

} // namespace

std::string_view run_conclusion_name(run_conclusion conclusion) {
    switch (conclusion) {
    case run_conclusion::kNone:
        return "end not logged";
    case run_conclusion::kAnswered:
        return "answered";
    case run_conclusion::kNotRun:
        return "not run";
    case run_conclusion::kRanAfterAll:
        return "taken as not run, RAN AFTER ALL";
    case run_conclusion::kMayHaveRun:
        return "may have run";
    case run_conclusion::kPreempted:
        return "preempted";
    }
    return "end not logged";
}

std::vector<request_run> find_runs(std::vector<LogLine> lines, const std::string &id) {
    std::erase_if(lines, [&](const LogLine &line) { return line.field("request") != id; });
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    std::vector<request_run> runs;
    for (const LogLine &line : lines) {
        if (begins_run(line)) {
            runs.push_back(run_from(line));
        } else if (const closing_event *closing = closing_event_of(line)) {
            close_run(runs, line, *closing);
        } else if (line.event == "send_ran_after_all") {
            note_ran_after_all(runs, line);
        }
    }
    return runs;
}

size_t count_possible_runs(const std::vector<request_run> &runs) {
    return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [](const request_run &run) {
        return run.conclusion != run_conclusion::kNotRun;
    }));
}

bool overlaps_earlier(const std::vector<request_run> &runs, size_t run) {
    const request_run &later = runs[run];
    return std::any_of(runs.begin(), runs.begin() + static_cast<ptrdiff_t>(run),
                       [&](const request_run &earlier) {
                           const bool may_run = earlier.conclusion != run_conclusion::kNotRun;
                           return may_run && earlier.worker != later.worker &&
                                  !earlier.ended.empty() && earlier.ended > later.began;
                       });
}

void print_runs(const std::vector<request_run> &runs, std::ostream &output) {
    for (size_t index = 0; index < runs.size(); ++index) {
        print_run(runs, index, output);
    }
    output << runs.size() << " sends, " << count_possible_runs(runs) << " may have run\n";
}

} // namespace chalkshed
