#include "tests/soak/fleet/wire_reader.h"

#include <event2/buffer.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace chalkshed::soak {
namespace {

constexpr int kHexadecimal = 16;

bool parse_number(std::string_view text, int base, uint64_t &value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::optional<std::string> next_line(evbuffer *input) {
    size_t length = 0;
    char *text = evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF_STRICT);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::string line(text, length);
    std::free(text);
    return line;
}

std::string_view trimmed(std::string_view text) {
    const size_t begin = text.find_first_not_of(" \t");
    const size_t end = text.find_last_not_of(" \t");
    return begin == std::string_view::npos ? "" : text.substr(begin, end - begin + 1);
}

} // namespace

wire_reader::progress wire_reader::read(evbuffer *input) {
    while (true) {
        const bool by_bytes =
            state_ == state::kLength || state_ == state::kChunk || state_ == state::kUntilClose;
        if (by_bytes) {
            const progress next = read_bytes(input);
            if (next == progress::kWhole || state_ != state::kChunkEnd) {
                return next;
            }
            continue;
        }
        const std::optional<std::string> line = next_line(input);
        if (!line) {
            return progress::kMore;
        }
        const progress next = handle_line(*line);
        if (next != progress::kMore) {
            return next;
        }
    }
}

wire_reader::progress wire_reader::handle_line(const std::string &line) {
    switch (state_) {
    case state::kStart:
        if (!line.empty()) {
            head_ = {line, {}};
            state_ = state::kHeaders;
        }
        return progress::kMore;
    case state::kHeaders: {
        if (line.empty()) {
            return begin_body();
        }
        const size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return progress::kMalformed;
        }
        const std::string_view value = trimmed(std::string_view(line).substr(colon + 1));
        head_.headers.push_back({line.substr(0, colon), std::string(value)});
        return progress::kMore;
    }
    case state::kChunkSize:
        if (!parse_number(line.substr(0, line.find(';')), kHexadecimal, remaining_)) {
            return progress::kMalformed;
        }
        state_ = remaining_ == 0 ? state::kTrailer : state::kChunk;
        return progress::kMore;
    case state::kChunkEnd:
        state_ = state::kChunkSize;
        return line.empty() ? progress::kMore : progress::kMalformed;
    case state::kTrailer:
        return line.empty() ? end_message() : progress::kMore;
    default:
        return progress::kMalformed;
    }
}

bool wire_reader::has_no_body() const {
    constexpr size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
    const std::string status =
        head_.start_line.size() > kStatusAt ? head_.start_line.substr(kStatusAt, 3) : "";
    return !responses_ || status.starts_with('1') || status == "204" || status == "304";
}

wire_reader::progress wire_reader::begin_body() {
    const auto coding = find_header(head_.headers, "Transfer-Encoding");
    const auto length = find_header(head_.headers, "Content-Length");
    if (coding) {
        state_ = state::kChunkSize;
    } else if (length) {
        if (!parse_number(*length, 10, remaining_)) {
            return progress::kMalformed;
        }
        state_ = state::kLength;
    } else if (has_no_body()) {
        remaining_ = 0;
        state_ = state::kLength;
    } else {
        state_ = state::kUntilClose;
    }
    return progress::kHead;
}

wire_reader::progress wire_reader::read_bytes(evbuffer *input) {
    const size_t available = evbuffer_get_length(input);
    const size_t count =
        state_ == state::kUntilClose ? available : std::min<size_t>(available, remaining_);
    const size_t begin = body_.size();
    body_.resize(begin + count);
    evbuffer_remove(input, body_.data() + begin, count);
    if (state_ == state::kUntilClose) {
        return progress::kMore;
    }
    remaining_ -= count;
    if (remaining_ > 0) {
        return progress::kMore;
    }
    if (state_ == state::kLength) {
        return end_message();
    }
    state_ = state::kChunkEnd;
    return progress::kMore;
}

wire_reader::progress wire_reader::end_message() {
    state_ = state::kStart;
    return progress::kWhole;
}

} // namespace chalkshed::soak
