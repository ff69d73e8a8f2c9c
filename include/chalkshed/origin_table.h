#ifndef CHALKSHED_ORIGIN_TABLE_H
#define CHALKSHED_ORIGIN_TABLE_H

/** \file
 * Which software version began each stream, for the streams of this node and for those of which
 * its peers have placed copies here. */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "chalkshed/software_id.h"
#include "src/core/time.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

/** Identifies a stream between nodes. */
enum class stream_key : uint64_t {};

/** \param attempt Id of the caller's attempt that brought the first event of the stream.
 * \param request The attempt itself or one that takes the stream up: tenant, host, method and path
 * are those of the stream, so that an attempt of another tenant or route names no stream. */
stream_key key_of_stream(const ServingRequest &request, std::string_view attempt);

class origin_table {
public:
    struct limits {
        /** Longer than a caller may take a stream up again after it began. */
        Duration lifetime = std::chrono::seconds(60);
        /** Beyond it, the oldest records are dropped: 24 bytes each, and their place in the map. */
        size_t max_records = 65536;
    };

    explicit origin_table(const limits &bounds) : limits_(bounds) {}

    /** A record that exists is kept: the origin of a stream is the first. */
    void add(stream_key stream, software_id software, MonotonicTime now);
    /** \return kUnknown if there is no record. */
    software_id find(stream_key stream) const;
    size_t size() const {
        return records_.size();
    }

private:
    void drop_old(MonotonicTime now);

    struct entry {
        stream_key stream{};
        MonotonicTime added{};
    };
    const limits limits_;
    std::unordered_map<stream_key, software_id> records_;
    std::deque<entry> by_age_;
};

} // namespace chalkshed

#endif
