#include "chalkshed/failed_run_message.h"

#include "src/core/digest.h"
#include "src/item_failures/failed_run_message_generated.h"

namespace chalkshed {
namespace {

wire::RunFailure to_wire(run_failure failure) {
    return failure == run_failure::kFailed ? wire::RunFailure::kFailed
                                           : wire::RunFailure::kImpossible;
}

std::optional<run_failure> from_wire(wire::RunFailure failure) {
    switch (failure) {
    case wire::RunFailure::kFailed:
        return run_failure::kFailed;
    case wire::RunFailure::kImpossible:
        return run_failure::kImpossible;
    case wire::RunFailure::kUnknown:
    default:
        return std::nullopt;
    }
}

} // namespace

uint64_t failed_run_job_hash(const std::string &job) {
    return content_hash(job);
}

uint64_t failed_run_item_hash(const std::string &job, const std::string &item) {
    return content_hash(item, failed_run_job_hash(job));
}

std::string encode_failed_runs(const std::vector<failed_run> &runs) {
    std::vector<wire::FailedRunEntry> entries;
    entries.reserve(runs.size());
    for (const failed_run &run : runs) {
        entries.emplace_back(run.job, run.item, run.run, to_wire(run.failure), run.recorded);
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto packed = builder.CreateVectorOfStructs(entries);
    builder.Finish(wire::CreateFailedRunMessage(builder, packed),
                   wire::FailedRunMessageIdentifier());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<std::vector<failed_run>> decode_failed_runs(std::string_view datagram) {
    const auto *bytes = reinterpret_cast<const uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!wire::VerifyFailedRunMessageBuffer(verifier)) {
        return std::nullopt;
    }
    std::vector<failed_run> runs;
    const wire::FailedRunMessage *received = wire::GetFailedRunMessage(bytes);
    if (received->entries() == nullptr) {
        return runs;
    }
    for (const wire::FailedRunEntry *entry : *received->entries()) {
        if (const auto failure = from_wire(entry->failure())) {
            runs.push_back(
                {entry->job(), entry->item(), entry->run(), *failure, entry->recorded()});
        }
    }
    return runs;
}

} // namespace chalkshed
