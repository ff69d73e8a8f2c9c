#include "chalkshed/failure_message.h"

#include <algorithm>
#include <limits>

#include "src/outliers/failure_message_generated.h"

namespace chalkshed {
namespace {

/** An age that doesn't fit is sent as the largest one, which the receiver takes for "never". */
template <typename Number> Number age_of(MonotonicTime time, MonotonicTime now) {
    if (time == MonotonicTime{}) {
        return std::numeric_limits<Number>::max();
    }
    const int64_t age = (now - time) / std::chrono::milliseconds(1);
    return static_cast<Number>(std::clamp<int64_t>(age, 0, std::numeric_limits<Number>::max()));
}

template <typename Number> MonotonicTime time_of(Number age, MonotonicTime now) {
    return age == std::numeric_limits<Number>::max() ? MonotonicTime{}
                                                     : now - std::chrono::milliseconds(age);
}

worker_standing unpack(const wire::WorkerStanding &packed, MonotonicTime now) {
    worker_standing standing;
    standing.worker = packed.worker();
    standing.state = packed.state() > static_cast<uint8_t>(worker_state::kReadmitted)
                         ? worker_state::kNormal
                         : static_cast<worker_state>(packed.state());
    standing.since = time_of(packed.state_milliseconds_ago(), now);
    standing.level = packed.level();
    standing.passed = packed.passed();
    standing.needed = packed.needed();
    standing.result_at = time_of(packed.result_milliseconds_ago(), now);
    standing.probed = time_of(packed.probed_milliseconds_ago(), now);
    standing.successes = packed.successes();
    standing.succeeded = time_of(packed.succeeded_milliseconds_ago(), now);
    return standing;
}

wire::WorkerStanding pack(const worker_standing &standing, MonotonicTime now) {
    return {standing.worker,
            age_of<uint32_t>(standing.since, now),
            age_of<uint16_t>(standing.probed, now),
            age_of<uint16_t>(standing.result_at, now),
            age_of<uint16_t>(standing.succeeded, now),
            standing.successes,
            static_cast<uint8_t>(standing.state),
            standing.level,
            standing.passed,
            standing.needed};
}

} // namespace

std::string_view answer_fault_name(answer_fault fault) {
    switch (fault) {
    case answer_fault::kNone:
        return "none";
    case answer_fault::kStatus:
        return "status";
    case answer_fault::kWrong:
        return "wrong";
    case answer_fault::kTruncated:
        return "truncated";
    case answer_fault::kReset:
        return "reset";
    case answer_fault::kSilent:
        return "silent";
    }
    return "none";
}

std::string encode_failure_report(const failure_report &report, MonotonicTime now) {
    std::vector<wire::FailedAnswer> failures;
    for (const failed_answer &failed : report.failures) {
        failures.emplace_back(failed.content, failed.worker, age_of<uint16_t>(failed.at, now),
                              static_cast<uint16_t>(failed.fault));
    }
    std::vector<wire::WorkerStanding> workers;
    for (const worker_standing &standing : report.workers) {
        workers.push_back(pack(standing, now));
    }
    std::vector<wire::ServiceSuccesses> services;
    for (const service_successes &service : report.services) {
        services.emplace_back(service.service, service.successes);
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto packed_failures = builder.CreateVectorOfStructs(failures);
    const auto packed_workers = builder.CreateVectorOfStructs(workers);
    const auto packed_services = builder.CreateVectorOfStructs(services);
    builder.Finish(wire::CreateFailureMessage(builder, report.sender, packed_failures,
                                              packed_workers, packed_services),
                   wire::FailureMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<failure_report> decode_failure_report(std::string_view datagram, MonotonicTime now) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyFailureMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::FailureMessage *received = wire::GetFailureMessage(bytes);
    failure_report report;
    report.sender = received->sender();
    if (received->failures() != nullptr) {
        for (const wire::FailedAnswer *failed : *received->failures()) {
            report.failures.push_back({failed->content(), failed->worker(),
                                       now - std::chrono::milliseconds(failed->milliseconds_ago()),
                                       static_cast<answer_fault>(failed->fault())});
        }
    }
    if (received->workers() != nullptr) {
        for (const wire::WorkerStanding *packed : *received->workers()) {
            report.workers.push_back(unpack(*packed, now));
        }
    }
    if (received->services() != nullptr) {
        for (const wire::ServiceSuccesses *service : *received->services()) {
            report.services.push_back({service->service(), service->successes()});
        }
    }
    return report;
}

} // namespace chalkshed
