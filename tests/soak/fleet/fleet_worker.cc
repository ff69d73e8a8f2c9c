#include "tests/soak/fleet/fleet_worker.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "platform/header_names.h"
#include "src/core/digest.h"
#include "tests/soak/fleet/expected_answers.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMaxQueuedRuns = 24;
constexpr Duration kMuteDuration = seconds(4);
constexpr int kFailedStatus = 500;
constexpr int kImpossibleStatus = 422;

std::string header(const HttpRequest &request, std::string_view name) {
    return std::string(find_header(request.headers, name).value_or(""));
}

/** Unique in this process. */
uint64_t next_run_number() {
    static uint64_t number = 0;
    return ++number;
}

} // namespace

fleet_worker::fleet_worker(role_process &process, const service_options &service,
                           std::string version, std::string incarnation, std::string zone,
                           const Address &local)
    : process_(process), service_(service), version_(std::move(version)),
      incarnation_(std::move(incarnation)), zone_(std::move(zone)),
      server_(process.dispatcher, local, *this) {
    const range &speeds = service_.speed_percent;
    // No draw if all are equal, so that deployments without the field keep their sequences.
    speed_ = speeds.fewest == speeds.most
                 ? speeds.fewest
                 : speeds.fewest + process_.random.below(speeds.most - speeds.fewest + 1);
}

fleet_worker::~fleet_worker() = default;

HttpResponse fleet_worker::not_run_response(int status, const std::string &id) const {
    return {status, {{platform::kRequestId, id}, {platform::kNotExecuted, "1"}}, ""};
}

std::optional<HttpResponse> fleet_worker::refusal(const HttpRequest &head) {
    const std::string id = header(head, platform::kRequestId);
    const std::string expected = header(head, platform::kExpectInstance);
    if (!expected.empty() && expected != incarnation_) {
        return not_run_response(421, id);
    }
    const bool full = running_.size() >= service_.slots && queue_.size() >= kMaxQueuedRuns;
    if (full || process_.chance(faults.refused)) {
        return not_run_response(503, id);
    }
    return std::nullopt;
}

std::optional<HttpResponse> fleet_worker::answer_early(const HttpRequest &head) {
    if (!process_.chance(service_.early_answer_percent)) {
        return std::nullopt;
    }
    std::optional<HttpResponse> response = refusal(head);
    if (!response && process_.chance(service_.early_answer_percent)) {
        response = not_run_response(503, header(head, platform::kRequestId));
    }
    if (response && process_.chance(50)) {
        response->headers.push_back({"Connection", "close"});
    }
    return response;
}

void fleet_worker::handle(HttpRequest request, wire_answer_ptr answer) {
    if (const std::optional<HttpResponse> response = refusal(request)) {
        const auto send_surplus = answer->surplus_sender();
        answer->respond(*response);
        if (process_.chance(faults.surplus)) {
            send_later(send_surplus, *response);
        }
        return;
    }
    auto added = std::make_shared<run>();
    added->id = header(request, platform::kRequestId);
    added->request = std::move(request);
    added->answer = std::move(answer);
    added->answer->set_on_closed(lifetime_.guard([this, weak = std::weak_ptr<run>(added)] {
        if (const run_ptr left = weak.lock()) {
            end(left, run_outcome::kLeft);
        }
    }));
    if (draining_) {
        added->answer->close_after_answer();
    }
    if (running_.size() < service_.slots) {
        begin(added);
    } else {
        queue_.push_back(std::move(added));
    }
}

void fleet_worker::handle_malformed(const Address &peer, const std::string &head) {
    // No caller sent a request with this id, so the checks report it.
    run_begin begun;
    begun.at = process_.now();
    begun.run = next_run_number();
    begun.worker = incarnation_;
    begun.service = service_.name;
    begun.id = "not-http:" + head;
    begun.sender_ip = peer.ip;
    process_.add_record(begun);
}

void fleet_worker::begin(const run_ptr &added) {
    run_begin begun;
    begun.at = process_.now();
    begun.run = added->number = next_run_number();
    begun.worker = incarnation_;
    begun.service = service_.name;
    begun.id = added->id;
    begun.message = describe(added->request);
    begun.sender_ip = added->request.peer.ip;
    const std::string last = header(added->request, platform::kLastEventId);
    std::from_chars(last.data(), last.data() + last.size(), begun.resume_after);
    process_.add_record(begun);
    added->next_event = begun.resume_after + 1;
    if (process_.chance(faults.broken)) {
        added->breaks_at_event = added->next_event + process_.random.below(events_of(*added));
    }
    running_.emplace(added->number, added);
    if (is_fatal(added->request.body)) {
        schedule_crash_by(*added, content_digest(added->request.body));
    }
    const std::weak_ptr<run> weak = added;
    added->timer = process_.dispatcher.create_timer([this, weak] {
        if (const run_ptr current = weak.lock()) {
            begin_answer(current);
        }
    });
    const Duration until_first =
        process_.random_duration(service_.first_event / 2, service_.first_event * 3 / 2);
    if (faults.failing > 0 || faults.wrong > 0) {
        added->timer->enable(milliseconds(2));
    } else if (!process_.chance(faults.mute)) {
        added->timer->enable(at_own_pace(until_first));
    } else if (process_.chance(50)) {
        added->timer->enable(kMuteDuration);
    }
}

void fleet_worker::schedule_crash_by(const run &fatal, const std::string &cause) {
    constexpr Duration kMinDelay = milliseconds(2);
    constexpr Duration kMaxDelay = milliseconds(90);
    process_.run_after(process_.random_duration(kMinDelay, kMaxDelay),
                       lifetime_.guard([this, number = fatal.number, id = fatal.id, cause] {
                           if (!crashed_ && running_.contains(number) && on_fatal) {
                               on_fatal(id, cause);
                           }
                       }));
}

bool fleet_worker::is_stream(const run &current) const {
    const route_options *route = route_of(process_.options.plan, current.request.path);
    return route != nullptr &&
           (route->kind == route_kind::kStreaming || route->kind == route_kind::kBatch);
}

uint64_t fleet_worker::events_of(const run &current) const {
    const route_options *route = route_of(process_.options.plan, current.request.path);
    return route == nullptr ? 1 : soak::events_of(process_.options.plan, *route);
}

/** Each window has one slow phase, at a place and of a degree that depend on worker and window. */
uint64_t fleet_worker::slowdown() const {
    constexpr Duration kWindow = milliseconds(600);
    constexpr Duration kSlow = milliseconds(90);
    constexpr uint64_t kUsual = 100;
    const uint64_t most = service_.slowdown_percent.value_or(kUsual);
    const auto since = process_.now().time_since_epoch();
    const uint64_t drawn = content_hash(incarnation_, static_cast<uint64_t>(since / kWindow));
    const Duration begin(
        static_cast<int64_t>(drawn % static_cast<uint64_t>((kWindow - kSlow).count())));
    const Duration into = std::chrono::duration_cast<Duration>(since % kWindow);
    const bool slow = into >= begin && into < begin + kSlow;
    return slow ? kUsual + (drawn >> 32U) % (most - kUsual + 1) : kUsual;
}

Duration fleet_worker::at_own_pace(Duration usual) const {
    return usual * static_cast<int64_t>(slowdown()) / static_cast<int64_t>(speed_);
}

HttpHeaders fleet_worker::response_headers(const run &current) const {
    std::string load = std::to_string(running_.size()) + "," + std::to_string(queue_.size()) + "," +
                       std::to_string(service_.slots);
    if (service_.slowdown_percent) {
        load += "," + std::to_string(slowdown());
    }
    return {{platform::kRequestId, current.id},
            {platform::kSignature, incarnation_ + "." + current.id},
            {platform::kServerLoad, load}};
}

bool fleet_worker::answer_wrongly(const run_ptr &current) {
    if (process_.chance(faults.failing)) {
        current->answer->respond({kFailedStatus, response_headers(*current), "no"});
    } else if (process_.chance(faults.wrong)) {
        current->answer->respond({200, {{platform::kRequestId, current->id}}, "no"});
    } else {
        return false;
    }
    end(current, run_outcome::kFailed);
    return true;
}

HttpResponse fleet_worker::surplus_response() {
    constexpr std::array kRefusals = {400, 408, 421, 429, 503};
    HttpResponse response{kRefusals.at(process_.random.below(kRefusals.size())), {}, "surplus"};
    if (process_.chance(30)) {
        response.headers.push_back({platform::kRequestId, "another"});
    }
    if (process_.chance(20)) {
        response.status = 200;
        response.headers.push_back({platform::kSignature, incarnation_ + ".another"});
    } else {
        response.headers.push_back({platform::kNotExecuted, "1"});
    }
    return response;
}

void fleet_worker::send_later(const std::function<void(const HttpResponse &)> &sender,
                              HttpResponse response) {
    const Duration longest = milliseconds(50);
    process_.run_after(process_.random_duration(Duration(0), longest),
                       [sender, response = std::move(response)] { sender(response); });
}

void fleet_worker::send_surplus(const run &current) {
    const auto sender = current.answer->surplus_sender();
    if (process_.chance(50)) {
        sender(surplus_response());
    } else {
        send_later(sender, surplus_response());
    }
}

void fleet_worker::begin_answer(const run_ptr &current) {
    if (process_.chance(faults.surplus)) {
        send_surplus(*current);
    }
    const std::string part = fatal_part_of(header(current->request, platform::kPromptPrefix));
    if (!part.empty()) {
        schedule_crash_by(*current, part);
    }
    if (answer_wrongly(current)) {
        return;
    }
    const run_fate fate = fate_of_run(current->id);
    if (fate != run_fate::kCompletes) {
        const int status = fate == run_fate::kFails ? kFailedStatus : kImpossibleStatus;
        current->answer->respond({status, response_headers(*current), "no"});
        end(current, run_outcome::kFailed);
        return;
    }
    if (!is_stream(*current)) {
        if (current->breaks_at_event > 0) {
            current->answer->abort();
            end(current, run_outcome::kBroken);
            return;
        }
        current->answer->respond({200, response_headers(*current), plain_body(current->id)});
        end(current, run_outcome::kWhole);
        return;
    }
    HttpHeaders head = response_headers(*current);
    head.push_back({"Content-Type", "text/event-stream"});
    current->answer->start(200, head);
    if (process_.chance(faults.endless)) {
        flood(current, process_.chance(50) ? "x" : ":\n\n");
        return;
    }
    const std::weak_ptr<run> weak = current;
    current->timer = process_.dispatcher.create_timer([this, weak] {
        if (const run_ptr streaming = weak.lock()) {
            send_event(streaming);
        }
    });
    send_event(current);
}

void fleet_worker::flood(const run_ptr &current, const std::string &bytes) {
    constexpr size_t kPiece = size_t{16} * 1024;
    constexpr Duration kPause = milliseconds(20);
    std::string piece;
    while (piece.size() < kPiece) {
        piece += bytes;
    }
    const std::weak_ptr<run> weak = current;
    current->timer = process_.dispatcher.create_timer([weak, piece, kPause] {
        if (const run_ptr flooding = weak.lock()) {
            flooding->answer->write(piece);
            flooding->timer->enable(kPause);
        }
    });
    current->timer->enable(kPause);
}

std::vector<std::string> fleet_worker::items() const {
    std::vector<std::string> ids;
    for (const auto &[number, each] : running_) {
        // Online requests carry a deadline.
        if (header(each->request, platform::kDeadline).empty()) {
            ids.push_back(each->id);
        }
    }
    return ids;
}

void fleet_worker::send_event(const run_ptr &current) {
    if (current->breaks_at_event == current->next_event) {
        current->answer->abort();
        end(current, run_outcome::kBroken);
        return;
    }
    if (current->next_event > events_of(*current)) {
        current->answer->finish();
        end(current, run_outcome::kWhole);
        return;
    }
    current->answer->write(event_bytes(current->id, current->next_event++, version_));
    current->timer->enable(at_own_pace(service_.between_events));
}

void fleet_worker::end(const run_ptr &current, run_outcome outcome) {
    if (current->number == 0) {
        std::erase(queue_, current);
        return;
    }
    if (running_.erase(current->number) == 0) {
        return;
    }
    run_end ended;
    ended.at = process_.now();
    ended.run = current->number;
    ended.worker = incarnation_;
    ended.id = current->id;
    ended.outcome = outcome;
    process_.add_record(ended);
    // This may be running inside its timer callback, so the timer is freed later.
    process_.dispatcher.post([current] { current->timer.reset(); });
    begin_queued();
}

void fleet_worker::begin_queued() {
    while (!queue_.empty() && running_.size() < service_.slots && !crashed_) {
        const run_ptr next = queue_.front();
        queue_.pop_front();
        begin(next);
    }
}

void fleet_worker::crash() {
    crashed_ = true;
    queue_.clear();
    server_.crash();
    const std::map<uint64_t, run_ptr> running = running_;
    for (const auto &entry : running) {
        end(entry.second, run_outcome::kBroken);
    }
}

} // namespace chalkshed::soak
