#include "chalkshed/origin_table.h"

#include "src/core/digest.h"

namespace chalkshed {

stream_key key_of_stream(const ServingRequest &request, std::string_view attempt) {
    const HttpRequest &message = request.message;
    uint64_t key = content_hash(attempt);
    for (const std::string *part :
         {&request.tenant, &request.host, &message.method, &message.path}) {
        key = content_hash(*part, key);
    }
    return static_cast<stream_key>(key);
}

void origin_table::add(stream_key stream, software_id software, MonotonicTime now) {
    drop_old(now);
    if (records_.try_emplace(stream, software).second) {
        by_age_.push_back({stream, now});
    }
}

void origin_table::drop_old(MonotonicTime now) {
    while (!by_age_.empty() && (now - by_age_.front().added > limits_.lifetime ||
                                by_age_.size() >= limits_.max_records)) {
        records_.erase(by_age_.front().stream);
        by_age_.pop_front();
    }
}

software_id origin_table::find(stream_key stream) const {
    const auto found = records_.find(stream);
    return found == records_.end() ? software_id::kUnknown : found->second;
}

} // namespace chalkshed
