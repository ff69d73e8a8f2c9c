/** \file
 * A worker that records requests byte for byte and answers at random in one of these ways: before
 * it has read the body, in chunks, twice at once, again in place of the next answer, never, with a
 * refusal, behind a refusal that names no request or comes in place of the next answer, or by
 * closing or resetting the connection.
 */
#pragma once

#include <charconv>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/header_names.h"
#include "src/core/http_message.h"
#include "src/core/random.h"
#include "tests/online_path/raw_socket.h"

namespace chalkshed {

/** A request as received. */
struct received_request {
    std::string method;
    std::string target;
    HttpHeaders headers;
    size_t body_size = 0;
    std::string body;

    std::string id() const {
        return std::string(find_header(headers, platform::kRequestId).value_or(""));
    }
};

/** Parses the head of a request strictly. @return nothing if it is malformed. */
inline std::optional<received_request> parse_request_head(std::string_view head) {
    received_request request;
    size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string_view::npos || last == first || line.substr(last) != " HTTP/1.1") {
        return std::nullopt;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, last - first - 1);
    while (end != std::string_view::npos) {
        head.remove_prefix(end + 2);
        end = head.find("\r\n");
        const std::string_view field = head.substr(0, end);
        const size_t colon = field.find(": ");
        if (field.empty()) {
            break;
        }
        if (colon == std::string_view::npos || !is_header_name(field.substr(0, colon))) {
            return std::nullopt;
        }
        request.headers.push_back(
            {std::string(field.substr(0, colon)), std::string(field.substr(colon + 2))});
    }
    const std::string_view length = find_header(request.headers, "Content-Length").value_or("0");
    const auto parsed =
        std::from_chars(length.data(), length.data() + length.size(), request.body_size);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == length.data() + length.size();
    return whole ? std::optional(request) : std::nullopt;
}

class raw_worker {
public:
    explicit raw_worker(RandomGenerator &random, int receive_buffer)
        : random_(random), listener_(raw_socket::listening(receive_buffer)) {}

    Address local() const {
        return listener_.local();
    }

    /** Reads and writes once on each connection. @return whether any bytes were transferred. */
    bool step() {
        bool moved = false;
        for (raw_socket accepted = listener_.accept(); accepted.open();
             accepted = listener_.accept()) {
            connections_.emplace_back();
            connections_.back().socket = std::move(accepted);
            moved = true;
        }
        for (connection &one : connections_) {
            moved = step(one) || moved;
        }
        connections_.remove_if([](const connection &one) { return !one.socket.open(); });
        return moved;
    }

    /** From now on, reads everything available in each step. */
    void stop_throttling() {
        unthrottled_ = true;
    }

    /** Requests received completely, including refused ones. */
    const std::vector<received_request> &received() const {
        return received_;
    }
    /** How often each request was run, by its id. */
    const std::map<std::string, int> &runs() const {
        return runs_;
    }
    /** The last malformed request head; empty if there was none. */
    const std::string &malformed() const {
        return malformed_;
    }

private:
    enum class behaviour {
        kAnswer,
        kAnswerInChunks,
        kAnswerUntilClose,
        kAnswerAndClose,
        kAnswerTwice,
        kAnswerAgainLater,
        kRefuse,
        kRefuseAgainLater,
        kRefuseWithoutTheMark,
        kAnswerBehindUnnamedRefusal,
        kUnnamedRefusalLater,
        kStaySilent,
        kClose,
        kReset,
        kCount
    };

    struct connection {
        raw_socket socket;
        std::string input;
        std::string output;
        std::optional<received_request> request; // its head has been read
        behaviour how = behaviour::kAnswer;
        size_t answer_after = 0; // bytes of the body
        size_t most_read = 0;    // per step; 0: no limit
        bool answered = false;
        std::string surplus; // sent instead of the answer to the next request
        bool close_when_sent = false;
    };

    bool step(connection &one) {
        const size_t before = one.input.size() + one.output.size();
        one.socket.receive(one.input,
                           unthrottled_ || one.most_read == 0 ? SIZE_MAX : one.most_read);
        const bool read = one.input.size() + one.output.size() != before;
        while (one.socket.open() && take(one)) {
        }
        const size_t sent = one.socket.open() ? one.socket.send(one.output) : 0;
        one.output.erase(0, sent);
        if ((one.close_when_sent && one.output.empty()) || one.socket.ended()) {
            one.socket.close();
        }
        return read || sent > 0;
    }

    /** @return whether a complete request was read, so that another may follow in the input. */
    bool take(connection &one) {
        if (!one.request && !take_head(one)) {
            return false;
        }
        received_request &request = *one.request;
        if (!one.answered && request.body.size() + one.input.size() >= one.answer_after) {
            one.answered = true;
            answer(one);
        }
        const size_t missing = request.body_size - request.body.size();
        const size_t size = std::min(missing, one.input.size());
        request.body.append(one.input, 0, size);
        one.input.erase(0, size);
        if (!one.socket.open() || request.body.size() < request.body_size) {
            return false;
        }
        received_.push_back(std::move(request));
        one.request.reset();
        return true;
    }

    bool take_head(connection &one) {
        const size_t end = one.input.find("\r\n\r\n");
        if (end == std::string::npos) {
            return false;
        }
        one.request = parse_request_head(std::string_view(one.input).substr(0, end + 2));
        if (!one.request) {
            malformed_ = one.input.substr(0, end);
            one.socket.close();
            return false;
        }
        one.input.erase(0, end + 4);
        one.how = static_cast<behaviour>(random_.below(static_cast<uint64_t>(behaviour::kCount)));
        one.answered = false;
        one.output += std::exchange(one.surplus, "");
        const uint64_t when = random_.below(3);
        const size_t size = one.request->body_size;
        one.answer_after = when == 0 ? size : when == 1 ? 0 : random_.below(size + 1);
        one.most_read = random_.below(3) == 0 ? 1 + random_.below(2000) : 0;
        return true;
    }

    void answer(connection &one) {
        const received_request &request = *one.request;
        const std::string id = request.id();
        const std::string head = std::string("\r\n") + platform::kRequestId + ": " + id + "\r\n";
        const std::string refusal = "HTTP/1.1 503 Full" + head + "Content-Length: 4\r\n";
        const std::string not_run = platform::kNotExecuted + std::string(": 1\r\n\r\nfull");
        const std::string unnamed = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n" + not_run;
        const std::string begin = "HTTP/1.1 200 OK" + head + platform::kSignature + ": signed\r\n";
        const std::string body = request.method == "HEAD" ? "" : "ran " + id;
        const std::string whole =
            begin + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (one.how != behaviour::kRefuse && one.how != behaviour::kRefuseAgainLater) {
            ++runs_[id];
        }
        switch (one.how) {
        case behaviour::kRefuse:
            one.output += refusal + not_run;
            break;
        case behaviour::kRefuseAgainLater:
            one.output += refusal + not_run;
            one.surplus = refusal + not_run;
            break;
        case behaviour::kAnswerBehindUnnamedRefusal:
            one.output += unnamed + whole;
            break;
        case behaviour::kUnnamedRefusalLater:
            one.output += whole;
            one.surplus = unnamed;
            break;
        case behaviour::kRefuseWithoutTheMark:
            one.output += refusal + "\r\nfull";
            break;
        case behaviour::kAnswerInChunks:
            one.output += request.method == "HEAD"
                              ? whole
                              : begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n" +
                                    hex(body.size() - 3) + "\r\n" + body.substr(3) +
                                    "\r\n0\r\n\r\n";
            break;
        case behaviour::kAnswerUntilClose:
            one.output += begin + "\r\n" + body;
            one.close_when_sent = true;
            break;
        case behaviour::kAnswerAndClose:
            one.output += whole;
            one.close_when_sent = true;
            break;
        case behaviour::kAnswerTwice:
            one.output += whole + whole;
            break;
        case behaviour::kAnswerAgainLater:
            one.output += whole;
            one.surplus = whole;
            break;
        case behaviour::kStaySilent:
            break;
        case behaviour::kClose:
            one.socket.close();
            break;
        case behaviour::kReset:
            one.socket.reset();
            break;
        default:
            one.output += whole;
            break;
        }
    }

    static std::string hex(size_t number) {
        std::array<char, 16> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
        return {digits.data(), end.ptr};
    }

    RandomGenerator &random_;
    raw_socket listener_;
    std::list<connection> connections_;
    std::vector<received_request> received_;
    std::map<std::string, int> runs_;
    std::string malformed_;
    bool unthrottled_ = false;
};

} // namespace chalkshed
