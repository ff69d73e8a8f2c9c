#include "chalkshed/stream_origins.h"

#include <algorithm>
#include <utility>

namespace chalkshed {

Duration longest_stream(const Route &route) {
    constexpr Duration kSlack = std::chrono::seconds(2);
    return std::min(2 * route.timeout + kSlack, origin_table::limits{}.lifetime);
}

stream_origins::stream_origins(TimeSource &time_source, WorkerSet &workers,
                               origin_exchange &exchange, const origin_table::limits &limits)
    : time_source_(time_source), workers_(workers), exchange_(exchange), limits_(limits),
      table_(limits) {
    exchange_.set_evidence(
        [this](const origin_question &question) { return evidence_for(question); });
    exchange_.set_on_placed([this](const placed_origin &origin) {
        table_.add(origin.stream, origin.software, time_source_.monotonic_now());
    });
    workers_.set_on_second_version([this](const std::string &service) {
        place_unplaced([&](const own_stream &stream) { return stream.service == service; });
    });
}

void stream_origins::note_routes(const RouteTablePtr &table, bool missed) {
    routes_.note(table, missed, time_source_.monotonic_now());
    // Their route may lead elsewhere now.
    place_all();
}

bool stream_origins::known_from_store(const ServingRequest &request, const std::string &service,
                                      Duration longest, MonotonicTime now) const {
    return !views_.store_doubtful() &&
           workers_.versions(service, longest).known == version_span::kind::kSole &&
           routes_.span(request.host, request.message.path, service, now) == route_span::kSole;
}

void stream_origins::note_begun(const ServingRequest &request, const Route &route,
                                const std::string &service, software_id software) {
    const MonotonicTime now = time_source_.monotonic_now();
    const placed_origin origin{key_of_stream(request, request.id), software};
    table_.add(origin.stream, software, now);
    if (!known_from_store(request, service, longest_stream(route), now)) {
        exchange_.place({origin});
        return;
    }
    while (!unplaced_.empty() &&
           (now > unplaced_.front().until || unplaced_.size() >= limits_.max_records)) {
        unplaced_.pop_front();
    }
    unplaced_.push_back({origin, service, now + longest_stream(route)});
}

void stream_origins::place_all() {
    place_unplaced([](const own_stream & /*stream*/) { return true; });
}

void stream_origins::place_unplaced(const std::function<bool(const own_stream &)> &chosen) {
    std::vector<placed_origin> origins;
    const MonotonicTime now = time_source_.monotonic_now();
    for (const own_stream &stream : unplaced_) {
        if (chosen(stream) && now <= stream.until) {
            origins.push_back(stream.origin);
        }
    }
    std::erase_if(unplaced_, chosen);
    exchange_.place(origins);
}

origin_question stream_origins::question_for(const ServingRequest &request, const Route &route) {
    origin_question question;
    question.stream = key_of_stream(request, request.resumes);
    question.longest = longest_stream(route);
    const bool fits = request.host.size() + request.message.path.size() <= kMaxRouteBytes;
    if (route.services.size() == 1 && fits) {
        question.service = route.services.front().service;
        question.host = request.host;
        question.path = request.message.path;
    }
    return question;
}

origin_evidence stream_origins::evidence_for(const origin_question &question) const {
    origin_evidence evidence;
    evidence.recorded = table_.find(question.stream);
    if (!question.service.empty()) {
        evidence.versions = workers_.versions(question.service, question.longest);
    }
    if (!question.host.empty()) {
        evidence.route = routes_.span(question.host, question.path, question.service,
                                      time_source_.monotonic_now());
    }
    evidence.current = views_.current();
    return evidence;
}

void stream_origins::find(const ServingRequest &request, const Route &route, on_origin done) {
    const auto open = std::make_shared<lookup>();
    open->question = question_for(request, route);
    open->done = std::move(done);
    if (table_.find(open->question.stream) != software_id::kUnknown) {
        open->done(decide(open->question, {}, false));
        return;
    }
    if (open->question.service.empty()) {
        open->confirmed = false; // several services come into question: only a record tells
    } else {
        views_.confirm([this, open](bool confirmed) {
            open->confirmed = confirmed;
            settle(open);
        });
    }
    exchange_.ask(open->question, [this, open](const peer_evidence &peers) {
        open->peers = peers;
        settle(open);
    });
}

void stream_origins::settle(const lookup_ptr &open) const {
    if (!open->done || !open->peers) {
        return;
    }
    const stream_origin origin =
        decide(open->question, *open->peers, open->confirmed.value_or(false));
    const bool undecidable = several_versions(evidence_for(open->question), open->peers->answers);
    if (origin.source != origin_source::kUnknown || undecidable || open->confirmed) {
        std::exchange(open->done, nullptr)(origin);
    }
}

stream_origin stream_origins::decide(const origin_question &question, const peer_evidence &peers,
                                     bool confirmed) const {
    origin_evidence own = evidence_for(question);
    own.current = confirmed;
    stream_origin origin = decide_origin(own, peers.answers);
    origin.basis = {peers.asked, peers.answers.size(), own.versions.known, views_.age(), own.route,
                    confirmed};
    return origin;
}

} // namespace chalkshed
