#ifndef CHALKSHED_TESTS_SOAK_FLEET_WIRE_READER_H
#define CHALKSHED_TESTS_SOAK_FLEET_WIRE_READER_H

/** \file
 * Reads HTTP/1.1 messages off a socket's buffer. The harness has its own framing and parsing
 * code: a framing fault of the product's client or server would go unnoticed if both ends had it.
 */

#include <cstdint>
#include <string>
#include <utility>

#include "src/core/http_message.h"

struct evbuffer;

namespace chalkshed::soak {

struct wire_head {
    std::string start_line;
    HttpHeaders headers;
};

class wire_reader {
public:
    enum class progress { kMore, kHead, kWhole, kMalformed };

    /** \param responses Reads responses; one without a length extends to the end of the connection.
     */
    explicit wire_reader(bool responses) : responses_(responses) {}
    /** Consumes `input` up to the end of the head, or of the whole message. After kHead or kMore,
     * call again for what follows; after kWhole, the next message begins. */
    progress read(evbuffer *input);
    /** Head of the current message, or of the one that just ended. */
    const wire_head &head() const {
        return head_;
    }
    /** \return The part of the body that has arrived since the last call. */
    std::string take_body() {
        return std::exchange(body_, {});
    }
    /** Whether the end of the connection is a valid end of the current message. */
    bool eof_ends_message() const {
        return state_ == state::kUntilClose;
    }
    /** Whether no byte of the next message has been read. */
    bool between_messages() const {
        return state_ == state::kStart;
    }

private:
    enum class state {
        kStart,
        kHeaders,
        kLength,
        kChunkSize,
        kChunk,
        kChunkEnd,
        kTrailer,
        kUntilClose
    };

    progress handle_line(const std::string &line);
    progress begin_body();
    bool has_no_body() const;
    progress read_bytes(evbuffer *input);
    progress end_message();

    bool responses_;
    state state_ = state::kStart;
    wire_head head_;
    std::string body_;
    uint64_t remaining_ = 0;
};

} // namespace chalkshed::soak

#endif
