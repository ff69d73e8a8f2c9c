/** \file
 * A caller that pipelines requests on one connection in chunks of a given size, and reads the
 * answers.
 */
#pragma once

#include <string>
#include <vector>

#include "platform/header_names.h"
#include "src/core/random.h"
#include "src/http/response_parser.h"
#include "tests/online_path/raw_socket.h"

namespace chalkshed {

/** A request and its encoding on the wire. */
struct written_request {
    std::string id;
    std::string method;
    std::string target;
    HttpHeaders carried; // headers that must arrive unchanged and in this order
    std::string body;
    std::string wire;
    bool once = false;      // may run at most once
    bool ambiguous = false; // parsers may disagree about its end: no part of it may run
};

struct received_answer {
    int status = 0;
    std::string id;
    std::string body;
};

class raw_caller {
public:
    /** @param most_bytes maximum written per step. @param leave_after closes the connection after
     * this many bytes. */
    raw_caller(const Address &server, std::vector<written_request> requests, size_t most_bytes,
               size_t leave_after)
        : socket_(raw_socket::connected_to(server)), requests_(std::move(requests)),
          most_bytes_(most_bytes), leave_after_(leave_after) {
        for (const written_request &request : requests_) {
            output_ += request.wire;
        }
    }

    void step() {
        if (done()) {
            return;
        }
        const size_t size = std::min({most_bytes_, leave_after_ - sent_, output_.size() - sent_});
        sent_ += socket_.send(std::string_view(output_).substr(sent_, size));
        socket_.receive(input_, SIZE_MAX);
        while (take_answer()) {
        }
        if (sent_ >= leave_after_ || socket_.ended() || answers_.size() == requests_.size()) {
            socket_.close();
        }
    }

    /** Whether the connection is closed, by either side or after the last answer. */
    bool done() const {
        return !socket_.open();
    }
    const std::vector<written_request> &requests() const {
        return requests_;
    }
    const std::vector<received_answer> &answers() const {
        return answers_;
    }

private:
    /** @return whether a complete answer was read. */
    bool take_answer() {
        if (answers_.size() == requests_.size()) {
            return false;
        }
        std::string_view rest = input_;
        ResponseHeadParser parser(requests_[answers_.size()].method == "HEAD");
        auto progress = ResponseHeadParser::Progress::kMore;
        while (progress == ResponseHeadParser::Progress::kMore) {
            const size_t end = rest.find("\r\n");
            if (end == std::string_view::npos) {
                return false;
            }
            progress = parser.add_line(rest.substr(0, end));
            rest.remove_prefix(end + 2);
        }
        const ResponseHead &head = parser.head();
        received_answer answer;
        answer.status = head.status;
        answer.id = find_header(head.headers, platform::kRequestId).value_or("");
        if (!take_body(head, rest, answer.body)) {
            return false;
        }
        answers_.push_back(std::move(answer));
        input_.erase(0, input_.size() - rest.size());
        return true;
    }

    bool take_body(const ResponseHead &head, std::string_view &rest, std::string &body) const {
        if (head.framing == BodyFraming::kUntilClose) {
            body = rest;
            rest = {};
            return socket_.ended();
        }
        if (head.framing != BodyFraming::kChunked) {
            if (rest.size() < head.content_length) {
                return false;
            }
            body = rest.substr(0, head.content_length);
            rest.remove_prefix(head.content_length);
            return true;
        }
        while (true) {
            const size_t line = rest.find("\r\n");
            const auto size = line == std::string_view::npos
                                  ? std::nullopt
                                  : parse_chunk_size(rest.substr(0, line));
            if (!size || rest.size() < line + 2 + *size + 2) {
                return false;
            }
            body += rest.substr(line + 2, *size);
            rest.remove_prefix(line + 2 + *size + 2);
            if (*size == 0) {
                return true;
            }
        }
    }

    raw_socket socket_;
    std::vector<written_request> requests_;
    size_t most_bytes_;
    size_t leave_after_;
    std::string output_;
    size_t sent_ = 0;
    std::string input_;
    std::vector<received_answer> answers_;
};

} // namespace chalkshed
