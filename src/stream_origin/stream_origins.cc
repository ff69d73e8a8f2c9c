#include "chalkshed/stream_origins.h"

#include <algorithm>

namespace chalkshed {

Duration longest_stream(const Route &route) {
    constexpr Duration kSlack = std::chrono::seconds(2);
    return std::min(2 * route.timeout + kSlack, origin_table::limits{}.lifetime);
}

stream_origins::stream_origins(TimeSource &time_source, WorkerSet &workers,
                               origin_exchange &exchange, const origin_table::limits &limits)
    : time_source_(time_source), workers_(workers), exchange_(exchange), limits_(limits),
      table_(limits), view_is_current_([] { return true; }) {
    exchange_.set_evidence(
        [this](const origin_question &question) { return evidence_for(question); });
    exchange_.set_on_placed([this](const placed_origin &origin) {
        table_.add(origin.stream, origin.software, time_source_.monotonic_now());
    });
    workers_.set_on_second_version([this](const std::string &service) { place_unplaced(service); });
}

void stream_origins::note_begun(const ServingRequest &request, const Route &route,
                                const std::string &service, software_id software) {
    const MonotonicTime now = time_source_.monotonic_now();
    const placed_origin origin{key_of_stream(request, request.id), software};
    table_.add(origin.stream, software, now);
    if (workers_.versions(service, longest_stream(route)).known != version_span::kind::kSole) {
        exchange_.place({origin});
        return;
    }
    while (!unplaced_.empty() &&
           (now > unplaced_.front().until || unplaced_.size() >= limits_.max_records)) {
        unplaced_.pop_front();
    }
    unplaced_.push_back({origin, service, now + longest_stream(route)});
}

void stream_origins::place_unplaced(const std::string &service) {
    std::vector<placed_origin> origins;
    const MonotonicTime now = time_source_.monotonic_now();
    for (const own_stream &stream : unplaced_) {
        if (stream.service == service && now <= stream.until) {
            origins.push_back(stream.origin);
        }
    }
    std::erase_if(unplaced_, [&](const own_stream &stream) { return stream.service == service; });
    exchange_.place(origins);
}

origin_evidence stream_origins::evidence_for(const origin_question &question) const {
    origin_evidence evidence;
    evidence.recorded = table_.find(question.stream);
    if (!question.service.empty()) {
        evidence.versions = workers_.versions(question.service, question.longest);
    }
    evidence.current = view_is_current_();
    return evidence;
}

void stream_origins::find(const ServingRequest &request, const Route &route, on_origin done) {
    origin_question question;
    question.stream = key_of_stream(request, request.resumes);
    question.longest = longest_stream(route);
    if (route.services.size() == 1) {
        question.service = route.services.front().service;
    }
    if (table_.find(question.stream) != software_id::kUnknown) {
        done(decide_origin(evidence_for(question), {}));
        return;
    }
    // Also while this node knows of one version only: its view may lack a newer one.
    exchange_.ask(question, [this, question,
                             done = std::move(done)](const std::vector<origin_evidence> &peers) {
        done(decide_origin(evidence_for(question), peers));
    });
}

} // namespace chalkshed
