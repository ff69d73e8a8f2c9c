#include "tests/soak/fleet/part_checks.h"

#include <algorithm>
#include <map>

#include "platform/header_names.h"
#include "src/http/connection_headers.h"
#include "tests/soak/fleet/expected_answers.h"

namespace chalkshed::soak {
namespace {

constexpr size_t kCrashesUntilKnown = 5;
constexpr int kOk = 200;

std::string prompt_of(const carried_message &message) {
    const std::string name = lower_case(platform::kPromptPrefix);
    for (const auto &[header, value] : message.headers) {
        if (header == name) {
            return value;
        }
    }
    return "";
}

/** A part that crashes workers, and the requests that hold it. */
struct requested_part {
    std::string first_part;
    MonotonicTime first_sent{};
    MonotonicTime last_sent{};
    std::vector<MonotonicTime> crashes;
};

class part_checker {
public:
    part_checker(const run_history &history, const bound_options &bounds)
        : history_(history), bounds_(bounds) {}

    part_report run() {
        find_parts();
        for (const auto &[name, part] : parts_) {
            report_.parts += part.crashes.empty() ? 0 : 1;
            count_late_runs(name, part);
            count_sound(part);
        }
        return report_;
    }

private:
    void find_parts();
    void count_late_runs(const std::string &name, const requested_part &part);
    void count_sound(const requested_part &part);
    bool in_touch(const std::string &node, MonotonicTime at) const {
        return !history_.disturbed.node_disturbed(node, {at - bounds_.contact, at});
    }

    const run_history &history_;
    const bound_options &bounds_;
    std::map<std::string, requested_part> parts_;
    part_report report_;
};

void part_checker::find_parts() {
    for (const auto &[id, request] : history_.requests) {
        const std::string prompt = request.send == nullptr ? "" : prompt_of(request.send->message);
        const std::string name = fatal_part_of(prompt);
        if (name.empty()) {
            continue;
        }
        ++report_.fatal_sent;
        requested_part &part = parts_[name];
        const bool first = part.first_part.empty();
        part.first_part = prompt.substr(0, prompt.find(':'));
        part.first_sent = first ? request.send->at : std::min(part.first_sent, request.send->at);
        part.last_sent = std::max(part.last_sent, request.send->at);
    }
    for (auto &[name, part] : parts_) {
        const auto found = history_.fatal_ends.find(name);
        if (found != history_.fatal_ends.end()) {
            part.crashes = found->second;
        }
    }
}

void part_checker::count_late_runs(const std::string &name, const requested_part &part) {
    if (part.crashes.size() < kCrashesUntilKnown) {
        return;
    }
    const MonotonicTime from = part.crashes[kCrashesUntilKnown - 1] + bounds_.part_lateness;
    uint64_t late = 0;
    for (const run_begin *run : history_.runs) {
        const bool holds = run->at > from && fatal_part_of(prompt_of(run->message)) == name;
        const bool judged = holds && in_touch(history_.node_of(*run), run->at) &&
                            !history_.sent_by_production(*run);
        late += judged ? 1 : 0;
    }
    report_.sent_after_fifth += late;
    report_.most_of_one_part = std::max(report_.most_of_one_part, late);
}

void part_checker::count_sound(const requested_part &part) {
    if (part.crashes.empty()) {
        return;
    }
    const size_t known = std::min(part.crashes.size(), kCrashesUntilKnown) - 1;
    const MonotonicTime from = part.crashes[known] + 2 * bounds_.part_lateness;
    for (const auto &[id, request] : history_.requests) {
        const bool first_attempt = request.send != nullptr && request.answer != nullptr &&
                                   request.send->first_attempt.empty();
        if (!first_attempt || !in_touch(request.send->node, request.send->at)) {
            continue;
        }
        const std::string prompt = prompt_of(request.send->message);
        if (!prompt.starts_with(part.first_part + ":") || !fatal_part_of(prompt).empty()) {
            continue;
        }
        const uint64_t began = request.answer->status == kOk ? 1 : 0;
        if (request.send->at < part.first_sent) {
            ++report_.sound_before;
            report_.sound_began_before += began;
        } else if (request.send->at >= from && request.send->at <= part.last_sent) {
            ++report_.sound_sent;
            report_.sound_began += began;
        }
    }
}

} // namespace

bool part_report::enough_begin() const {
    constexpr uint64_t kFewestJudged = 20;
    // sound_began / sound_sent >= (sound_began_before / sound_before) / 2
    return std::min(sound_sent, sound_before) < kFewestJudged ||
           2 * sound_began * sound_before >= sound_began_before * sound_sent;
}

bool holds_fatal_part(const carried_message &message) {
    return !fatal_part_of(prompt_of(message)).empty();
}

part_report check_parts(const run_history &history, const bound_options &bounds) {
    return part_checker(history, bounds).run();
}

} // namespace chalkshed::soak
