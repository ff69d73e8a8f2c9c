#include "tests/soak/fleet/expected_answers.h"

#include <algorithm>
#include <random>

#include "src/core/digest.h"

namespace chalkshed::soak {
namespace {

constexpr char kItemSeparator = '-';
constexpr char kVersionMark = '@';
constexpr std::string_view kFatalPrefix = "ends its worker ";
constexpr std::string_view kFatalPartPrefix = "fatal-part-";
constexpr size_t kEventBytes = 75;
constexpr size_t kPlainBytes = 800;

std::string pad_by_repetition(std::string text, size_t length) {
    const std::string unit = text + " ";
    text += ' ';
    while (text.size() < length) {
        text += unit;
    }
    text.resize(std::max(length, unit.size()), '.');
    text.back() = '.';
    return text;
}

} // namespace

uint64_t events_of(const deployment &plan, const route_options &route) {
    for (const service_options &service : plan.services) {
        if (service.name == route.service) {
            return service.events * (route.kind == route_kind::kBatch ? kItemEvents : 1);
        }
    }
    return 1;
}

const route_options *route_of(const deployment &plan, const std::string &path) {
    for (const route_options &route : plan.routes) {
        if (path.starts_with("/" + route.name + "/")) {
            return &route;
        }
    }
    return nullptr;
}

bool is_item(const std::string &id) {
    return id.find(kItemSeparator) != std::string::npos;
}

std::string item_id(const std::string &job, uint64_t number) {
    return job + kItemSeparator + std::to_string(number);
}

run_fate fate_of_run(const std::string &id) {
    constexpr uint64_t kFateBuckets = 100;
    if (!is_item(id)) {
        return run_fate::kCompletes;
    }
    switch (content_hash(id) % kFateBuckets) {
    case 0:
        return run_fate::kFails;
    case 1:
        return run_fate::kImpossible;
    default:
        return run_fate::kCompletes;
    }
}

std::string event_text(const std::string &id, uint64_t event) {
    return pad_by_repetition(id + "." + std::to_string(event), kEventBytes);
}

std::string event_bytes(const std::string &id, uint64_t event, const std::string &version) {
    const std::string mark = version.empty() ? "" : kVersionMark + version;
    return "id: " + std::to_string(event) + "\ndata: " + event_text(id, event) + mark + "\n\n";
}

marked_text without_marks(std::string_view marked) {
    marked_text result;
    while (!marked.empty()) {
        const size_t end = std::min(marked.find('\n'), marked.size() - 1) + 1;
        std::string_view line = marked.substr(0, end);
        marked.remove_prefix(end);
        const size_t mark = line.find(kVersionMark);
        if (mark == std::string_view::npos) {
            result.text += line;
            continue;
        }
        result.text += line.substr(0, mark);
        if (!line.ends_with('\n')) {
            continue; // cut off: the mark may be incomplete
        }
        result.text += '\n';
        const std::string version(line.substr(mark + 1, line.size() - mark - 2));
        const auto known = std::find(result.versions.begin(), result.versions.end(), version);
        if (known == result.versions.end()) {
            result.versions.push_back(version);
        }
    }
    return result;
}

std::string whole_text(const std::string &id, uint64_t events) {
    std::string text = event_text(id, 1);
    for (uint64_t event = 2; event <= events; ++event) {
        text += "\n" + event_text(id, event);
    }
    return text;
}

std::string plain_body(const std::string &id) {
    return pad_by_repetition(id, kPlainBytes);
}

std::string fatal_body(uint64_t caller, uint64_t number) {
    return std::string(kFatalPrefix) + std::to_string(caller) + "-" + std::to_string(number);
}

std::string fatal_item_body(const std::string &item, uint64_t length) {
    return std::string(kFatalPrefix) + item + request_body(item, length);
}

bool is_fatal(const std::string &body) {
    return body.starts_with(kFatalPrefix);
}

std::string fatal_part(uint64_t number) {
    return std::string(kFatalPartPrefix) + std::to_string(number);
}

std::string fatal_part_of(const std::string &prompt) {
    const size_t begin = prompt.find(kFatalPartPrefix);
    if (begin == std::string::npos || prompt.find(',', begin) == std::string::npos) {
        return "";
    }
    return prompt.substr(begin, prompt.find_first_of(":,", begin) - begin);
}

std::string request_body(const std::string &id, uint64_t length) {
    std::mt19937_64 engine(content_hash(id));
    std::string body;
    body.reserve(length + sizeof(uint64_t));
    while (body.size() < length) {
        const uint64_t bits = engine();
        body.append(reinterpret_cast<const char *>(&bits), sizeof(bits));
    }
    body.resize(length);
    return body;
}

} // namespace chalkshed::soak
