#include "tests/soak/fleet/ejections.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tests/soak/fleet/history.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxEjection = seconds(2);
/** Failures count for four seconds, and silence is noticed a second later. */
constexpr Duration kEvidenceLifetime = seconds(6);

disturbance_times disturbances_in(const std::vector<record> &records) {
    disturbance_times times;
    for (const record &each : records) {
        if (const auto *entry = std::get_if<disturbance>(&each)) {
            times.add(entry->part, entry->target, {entry->at, entry->to});
        }
    }
    times.close();
    return times;
}

/** \return The time of a log line, "2026-01-31T12:00:00.123456Z", since the Unix epoch. */
std::optional<Duration> time_of(const std::string &text) {
    std::istringstream input(text);
    std::tm parts{};
    double fraction = 0;
    input >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> fraction;
    if (input.fail()) {
        return std::nullopt;
    }
    return seconds(timegm(&parts)) +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fraction));
}

} // namespace

void check_ejections(const std::string &log, const std::string &node,
                     const std::vector<record> &records, Duration wall_offset,
                     ejection_check &judged) {
    const disturbance_times disturbed = disturbances_in(records);
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.find("worker_readmitted") == std::string::npos) {
            continue;
        }
        const nlohmann::json fields = nlohmann::json::parse(line, nullptr, false);
        const std::optional<Duration> at =
            fields.is_object() ? time_of(fields.value("time", "")) : std::nullopt;
        if (!at || fields.value("event", "") != "worker_readmitted") {
            continue;
        }
        const std::string worker = fields.value("worker", "");
        const Duration lasted = milliseconds(std::stoll(fields.value("ejected_ms", "0")));
        const MonotonicTime ended{*at - wall_offset};
        const interval when = {ended - lasted - kEvidenceLifetime, ended};
        ++judged.ejections;
        if (disturbed.worker_disturbed(worker, when) || disturbed.node_disturbed(node, when)) {
            continue;
        }
        ++judged.of_healthy_workers;
        judged.longest_of_healthy = std::max(judged.longest_of_healthy, lasted);
        if (lasted > kMaxEjection) {
            std::ostringstream text;
            text << worker << " was healthy and ejected for " << lasted / milliseconds(1)
                 << " ms by " << node;
            judged.violations.push_back(text.str());
        }
    }
}

ejection_check check_ejections(const std::string &folder, const std::vector<record> &records,
                               Duration wall_offset) {
    ejection_check judged;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        const std::string node = entry.path().stem().string();
        if (entry.path().extension() != ".log" || !node.starts_with("node-")) {
            continue;
        }
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        check_ejections(text.str(), node, records, wall_offset, judged);
    }
    return judged;
}

} // namespace chalkshed::soak
