#include "tests/soak/soak_worker.h"

#include <charconv>

#include "platform/header_names.h"
#include "src/core/call_after.h"
#include "src/event/system_time_source.h"

namespace chalkshed::soak {
namespace {

constexpr Duration kBetweenEvents = std::chrono::milliseconds(40);
constexpr Duration kMuteDelay = std::chrono::seconds(4);

std::string header(const HttpRequest &request, std::string_view name) {
    return std::string(find_header(request.headers, name).value_or(""));
}

} // namespace

item_fate fate_of(const std::string &item) {
    const size_t dash = item.find('-');
    if (dash == std::string::npos) {
        return item_fate::kCompletes; // an online request
    }
    constexpr unsigned kFateCycle = 6;
    switch (std::stoul(item.substr(dash + 1)) % kFateCycle) {
    case 2:
        return item_fate::kFails;
    case 5:
        return item_fate::kImpossible;
    default:
        return item_fate::kCompletes;
    }
}

std::string event_data(const std::string &request, uint64_t event) {
    return request + "." + std::to_string(event);
}

soak_worker::soak_worker(EventDispatcher &dispatcher, RandomGenerator &random,
                         std::string incarnation, std::string service, run_observer observer)
    : dispatcher_(dispatcher), random_(random), incarnation_(std::move(incarnation)),
      service_(std::move(service)), observer_(std::move(observer)),
      server_(dispatcher, {"127.0.0.1", 0}, *this) {}

void soak_worker::handle(HttpRequest request, ResponseWriterPtr writer) {
    const std::string id = header(request, platform::kRequestId);
    if (header(request, platform::kExpectInstance) != incarnation_) {
        writer->respond({421, {{platform::kRequestId, id}}, ""});
        return;
    }
    if (random_.below(100) < refused_percent) {
        writer->respond({503, {{platform::kRequestId, id}, {platform::kNotExecuted, "1"}}, ""});
        return;
    }
    run_record run;
    run.request = id;
    run.message = describe(request);
    run.sender = request.peer;
    run.service = service_;
    run.worker = incarnation_;
    run.tenant = header(request, platform::kTenant);
    run.key_seen = find_header(request.headers, platform::kAuthorization).has_value();
    run.began = SystemTimeSource().monotonic_now();
    stream begun;
    begun.request = id;
    const std::string last = header(request, platform::kLastEventId);
    std::from_chars(last.data(), last.data() + last.size(), begun.next);
    run.resume_after = last.empty() ? 0 : begun.next;
    begun.run = observer_(std::move(run));
    begun.next += last.empty() ? 0 : 1;
    if (random_.below(100) < broken_percent) {
        begun.aborts_before = begun.next + random_.below(kEvents);
    }
    const uint64_t number = next_stream_++;
    writer->set_on_closed(lifetime_.guard([this, number] { streams_.erase(number); }));
    begun.writer = std::move(writer);
    const bool mute = random_.below(100) < mute_percent;
    begun.run->broken = mute;
    streams_.emplace(number, std::move(begun));
    if (!mute) {
        answer(number);
    } else if (random_.below(2) == 0) {
        call_after(dispatcher_, kMuteDelay, lifetime_.guard([this, number] { answer(number); }));
    }
}

void soak_worker::answer(uint64_t number) {
    const auto found = streams_.find(number);
    if (found == streams_.end()) {
        return; // the node has closed the connection
    }
    stream &current = found->second;
    const std::string &id = current.request;
    HttpHeaders head = {{platform::kRequestId, id},
                        {platform::kSignature, incarnation_ + "." + id}};
    const item_fate fate = fate_of(id);
    if (fate != item_fate::kCompletes) {
        current.run->failed = true;
        const int status = fate == item_fate::kFails ? kFailedStatus : kImpossibleStatus;
        const ResponseWriterPtr writer = std::move(current.writer);
        streams_.erase(found);
        writer->respond({status, std::move(head), "no"});
        return;
    }
    head.push_back({"Content-Type", "text/event-stream"});
    current.writer->start(200, head);
    send_event(number);
}

void soak_worker::send_event(uint64_t number) {
    const auto found = streams_.find(number);
    if (found == streams_.end()) {
        return;
    }
    stream &current = found->second;
    if (current.aborts_before == current.next) {
        current.run->broken = true;
        current.writer->abort();
        streams_.erase(found);
        return;
    }
    if (current.next > kEvents) {
        current.writer->finish();
        streams_.erase(found);
        return;
    }
    const std::string event = std::to_string(current.next);
    current.writer->write("id: " + event +
                          "\ndata: " + event_data(current.request, current.next++) + "\n\n");
    call_after(dispatcher_, kBetweenEvents,
               lifetime_.guard([this, number] { send_event(number); }));
}

} // namespace chalkshed::soak
