#ifndef CHALKSHED_TESTS_QUARANTINE_SUBMITTED_ITEMS_H
#define CHALKSHED_TESTS_QUARANTINE_SUBMITTED_ITEMS_H

/** \file
 * A job whose items are compared, from their submission to their listing, with what the caller
 * submitted. All calls go through the handler of the platform's calls, as callers send them. */

#include <gtest/gtest.h>

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/ingress.h"
#include "src/core/digest.h"
#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {

class submitted_items {
public:
    /** Where an item was seen, and how often. */
    struct tally {
        size_t first_runs = 0;
        size_t retried_runs = 0;
        /** Runs that continue after events of earlier ones. */
        size_t resumed_runs = 0;
        /** Sessions of nodes that sent runs. */
        std::set<std::string> senders;
        size_t bodies_read = 0;
        size_t results_read = 0;
    };

    /** \param crashing The first items crash their workers, the other ones are sound. */
    submitted_items(crashing_fleet &fleet, const std::string &job, size_t items, size_t crashing)
        : fleet_(fleet), job_(job) {
        fleet.event_data = &submitted_items::event_data;
        for (size_t number = 0; number < items; ++number) {
            const HttpRequest message = draw_item(number);
            if (number < crashing) {
                fleet.fatal.insert(message.body);
            }
            items_.emplace(id_of(message), message);
        }
    }

    /** \return The status of the answer. */
    int submit(const std::string &node) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/batch/" + job_;
        request.headers = {{"Host", "a.example"}, {platform::kRequestId, job_}};
        request.body = content();
        const SeenAnswerPtr seen = call(node, request);
        fleet_.cluster.clock.run_for(milliseconds(500));
        return seen->status;
    }

    /** Reads all bodies and results at each node that runs, and compares them. */
    void read_everywhere() {
        for (const auto &[name, node] : fleet_.cluster.nodes) {
            if (node && !node->dispatcher.frozen()) {
                read_at(name);
            }
        }
    }

    /** Compares the messages of all runs so far with the submitted ones. */
    void compare_runs() {
        runs_.clear();
        for (const ScriptedCall &call : fleet_.cluster.workers.calls) {
            const auto found = items_.find(call.header(platform::kRequestId));
            if (found == items_.end()) {
                continue;
            }
            expect_same(call.request, found->second);
            tally &seen = runs_[found->first];
            const bool first = seen.first_runs == 0;
            ++(first ? seen.first_runs : seen.retried_runs);
            seen.resumed_runs += call.header(platform::kLastEventId).empty() ? 0 : 1;
            seen.senders.insert(call.sender);
        }
    }
    /** Sums over all items. */
    tally totals() const {
        tally sum;
        for (const auto &[id, seen] : runs_) {
            sum.first_runs += seen.first_runs;
            sum.retried_runs += seen.retried_runs;
            sum.resumed_runs += seen.resumed_runs;
            sum.senders.insert(seen.senders.begin(), seen.senders.end());
        }
        sum.bodies_read = bodies_read_;
        sum.results_read = results_read_;
        return sum;
    }
    /** Items that have been listed, by position. */
    const std::map<size_t, std::string> &listed() const {
        return listed_;
    }
    size_t listed_errored() const {
        return errored_.size();
    }

private:
    static std::string id_of(const HttpRequest &message) {
        return std::string(find_header(message.headers, platform::kRequestId).value_or(""));
    }
    /** A body of all byte values; paths, queries and header values that are easily altered. */
    HttpRequest draw_item(size_t number) const {
        const std::string id = job_ + "-" + std::to_string(number);
        HttpRequest message;
        message.method = "POST";
        message.path = "/batch/x%2Fy/\xC3\xBC" + std::to_string(number);
        message.query = number % 3 == 1 ? "a=1&b=%20+" + id : "";
        message.has_empty_query = number % 3 == 2;
        message.headers = {{platform::kRequestId, id},
                           {platform::kTokenUsage, "350,1500"},
                           {"X-Note", "  \"quoted\", \\ and \xE2\x82\xAC of " + id},
                           {"X-Empty", ""},
                           {"x-lower", id}};
        SeededRandomGenerator random(content_hash(id));
        constexpr size_t kShortest = 3;
        constexpr size_t kBytesPerItem = 2500;
        const size_t length = kShortest + number * kBytesPerItem;
        for (size_t at = 0; at < length; ++at) {
            message.body += static_cast<char>(random.below(256));
        }
        return message;
    }
    std::string content() const {
        nlohmann::json requests = nlohmann::json::array();
        for (const auto &[id, message] : items_) {
            nlohmann::json headers = nlohmann::json::object();
            for (const HttpHeader &header : message.headers) {
                if (header.name != platform::kRequestId) {
                    headers[header.name] = header.value;
                }
            }
            const bool query = message.has_empty_query || !message.query.empty();
            requests.push_back({{"id", id},
                                {"path", message.path + (query ? "?" + message.query : "")},
                                {"headers", headers},
                                {"body", encode_base64(message.body)},
                                {"tokens", 10}});
        }
        return nlohmann::json{{"requests", requests}}.dump();
    }

    /** Everything of a run's message that its caller determines. */
    static std::string described(const HttpRequest &message) {
        std::multiset<std::pair<std::string, std::string>> headers;
        for (const HttpHeader &header : message.headers) {
            if (header.name != platform::kExpectInstance && header.name != platform::kLastEventId) {
                headers.emplace(header.name, header.value);
            }
        }
        std::string text = message.method + " " + message.path + "?" + message.query +
                           (message.has_empty_query ? "?" : "") + "\n";
        for (const auto &[name, value] : headers) {
            text.append(name).append(": ").append(value).append("\n");
        }
        return text + "\n" + message.body;
    }
    static void expect_same(const HttpRequest &sent, const HttpRequest &submitted) {
        EXPECT_EQ(sent.method, submitted.method);
        EXPECT_EQ(sent.path, submitted.path);
        EXPECT_EQ(sent.query, submitted.query);
        EXPECT_EQ(sent.has_empty_query, submitted.has_empty_query);
        EXPECT_EQ(sent.body.size(), submitted.body.size());
        EXPECT_TRUE(sent.body == submitted.body) << id_of(submitted);
        EXPECT_EQ(described(sent), described(submitted));
    }
    /** The answer depends on all that the worker received, so that the listed text shows what
     * ran. */
    static std::string event_data(const HttpRequest &request, uint64_t event) {
        return std::to_string(event) + " " + std::to_string(content_hash(described(request)));
    }
    static std::string whole_text(const HttpRequest &message) {
        std::string text = event_data(message, 1);
        for (uint64_t event = 2; event <= crashing_fleet::kEvents; ++event) {
            text += "\n" + event_data(message, event);
        }
        return text;
    }

    SeenAnswerPtr call(const std::string &node, const HttpRequest &request) {
        auto seen = std::make_shared<SeenAnswer>();
        if (fleet_.cluster.nodes.at(node) != nullptr) {
            handlers_.emplace_back(fleet_.cluster.node(node), request_wire());
            handlers_.back().handle(request, std::make_unique<FakeWriter>(seen));
        }
        return seen;
    }
    SeenAnswerPtr get(const std::string &node, const std::string &path, const std::string &query) {
        HttpRequest request;
        request.method = "GET";
        request.path = path;
        request.query = query;
        request.headers = {{"Host", "a.example"}, {platform::kRequestId, "reader"}};
        SeenAnswerPtr seen = call(node, request);
        fleet_.cluster.clock.run_for(milliseconds(40));
        return seen;
    }
    void read_at(const std::string &node) {
        for (const auto &[id, message] : items_) {
            const SeenAnswerPtr body = get(node, "/items/" + job_, "id=" + id);
            if (body->status == 200) {
                ++bodies_read_;
                EXPECT_TRUE(body->body == message.body) << id << " at " << node;
            }
        }
        const SeenAnswerPtr page = get(node, "/lots/" + job_, "since_rev=0");
        if (page->status == 200) {
            compare_page(page->json());
        }
    }
    void compare_page(const nlohmann::json &page) {
        size_t position = 0;
        for (const nlohmann::json &result : page.at("results")) {
            const std::string id = result.at("id");
            ++results_read_;
            EXPECT_EQ(listed_.try_emplace(position++, id).first->second, id);
            if (result.at("state") == "errored") {
                errored_.insert(id);
                continue;
            }
            ASSERT_TRUE(items_.contains(id)) << id;
            EXPECT_EQ(result.at("message"), whole_text(items_.at(id)));
        }
    }

    crashing_fleet &fleet_;
    const std::string job_;
    /** Handlers of calls that may not have been answered yet. */
    std::list<platform::Ingress> handlers_;
    std::map<std::string, HttpRequest> items_;
    std::map<std::string, tally> runs_;
    std::map<size_t, std::string> listed_;
    std::set<std::string> errored_;
    size_t bodies_read_ = 0;
    size_t results_read_ = 0;
};

} // namespace chalkshed

#endif
