#ifndef CHALKSHED_ROW_HANDOVER_H
#define CHALKSHED_ROW_HANDOVER_H

/** \file
 * Hands rows of watched tables from node to node.
 *
 * The store may turn away some nodes while it serves the others and its operators. Such a node
 * would go on by an old configuration and old records of workers. Nodes already tell each other how
 * new their rows are; one that lacks a newer row, although it has asked the store again, asks a
 * peer that has it. A row carries its version in the store, so that an older one never replaces a
 * newer one, and it comes whole or not at all. */

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/core/address.h"
#include "src/core/http_message.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/transport/http_client.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

std::string encode_rows(const std::string &table, const std::vector<StoredRow> &rows);
/** \return Nothing when the bytes form no page of that table. */
std::optional<std::vector<StoredRow>> decode_rows(const std::string &table, std::string_view bytes);

std::string encode_page(const std::string &table, const table_page &page);
/** \return Nothing when the bytes form no page of that table. */
std::optional<table_page> decode_page(const std::string &table, std::string_view bytes);

/** Where a peer takes rows of the table that are sent to it. */
std::string rows_path(const std::string &table);
/** Where a peer tells what has changed in the table behind that version. */
std::string rows_path(const std::string &table, StoreVersion since);

struct row_handover_server_knobs {
    /** A page of more rows than this is large. */
    size_t rows_of_large_page = 1000;
    /** Between two large pages that a node gives. One of 10,000 rows has 2.5 MB, which a link of
     * 30 Mbit/s carries in 0.7 s: a few are held in memory at a time. Each node that has one gives
     * some itself, so that 200 nodes have theirs after some four seconds. */
    Duration between_large_pages = std::chrono::milliseconds(400);
};

/** Answers peers, and takes rows that they bring. Serves only nodes: the rows hold what operators
 * wrote, keys included, so that its address must be one that callers cannot reach. */
class row_handover_server : public HttpHandler {
public:
    /** Takes a row that a peer brings. An address may have been another node's a moment ago: the
     * taker looks whether the row concerns this one. */
    using row_taker = std::function<void(const StoredRow &)>;

    /** \param given By name; they keep the values of their rows, and outlive this.
     * \param taken Tables whose rows peers may bring. */
    row_handover_server(TimeSource &time_source, std::map<std::string, const TableWatcher *> given,
                        std::map<std::string, row_taker> taken,
                        const row_handover_server_knobs &knobs = {})
        : time_source_(time_source), knobs_(knobs), given_(std::move(given)),
          taken_(std::move(taken)) {}
    void handle(HttpRequest request, ResponseWriterPtr writer) override;

private:
    void give(const HttpRequest &request, ResponseWriter &writer);
    void take(const HttpRequest &request, ResponseWriter &writer) const;

    TimeSource &time_source_;
    const row_handover_server_knobs knobs_;
    MonotonicTime copied_{};
    std::map<std::string, const TableWatcher *> given_;
    std::map<std::string, row_taker> taken_;
};

struct row_handover_knobs {
    Duration connect_timeout = std::chrono::milliseconds(150);
    Duration answer_timeout = std::chrono::milliseconds(500);
    /** Between two questions about one table; answers mostly take a few milliseconds. */
    Duration pause = std::chrono::milliseconds(100);
};

class row_handover {
public:
    /** \return A peer that has a row of that table in that version or a newer one. */
    using choose_peer = std::function<std::optional<Address>(StoreVersion version)>;

    /** \param table Takes the rows. All references outlive this. */
    row_handover(TimeSource &time_source, HttpClient &client, Logger &logger, std::string name,
                 TableWatcher &table, choose_peer choose, const row_handover_knobs &knobs = {});

    /** Peers have a row of that version, which the store has not brought. */
    void request(StoreVersion version);

private:
    void handle_answer(const Address &peer, const Expected<HttpResponse> &answer);

    TimeSource &time_source_;
    HttpClient &client_;
    Logger &logger_;
    const std::string name_;
    TableWatcher &table_;
    const choose_peer choose_;
    const row_handover_knobs knobs_;
    bool asking_ = false;
    MonotonicTime asked_{};
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
