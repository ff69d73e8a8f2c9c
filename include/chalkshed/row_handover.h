#ifndef CHALKSHED_ROW_HANDOVER_H
#define CHALKSHED_ROW_HANDOVER_H

/** \file
 * Transfers rows of watched tables between nodes.
 *
 * The store may refuse some nodes while it serves the others and its operators. Such a node would
 * continue with an old configuration and old worker records. Nodes already exchange the versions of
 * their newest rows; a node that lacks a newer row although it has asked the store again requests
 * it from a peer. A row carries its version in the store, so that an older one never replaces a
 * newer one, and it is transferred completely or not at all. */

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
/** \return Nothing if the bytes are not a page of that table. */
std::optional<std::vector<StoredRow>> decode_rows(const std::string &table, std::string_view bytes);

std::string encode_page(const std::string &table, const table_page &page);
/** \return Nothing if the bytes are not a page of that table. */
std::optional<table_page> decode_page(const std::string &table, std::string_view bytes);

/** The path under which a peer accepts rows of the table. */
std::string rows_path(const std::string &table);
/** The path under which a peer serves the changes of the table after that version. */
std::string rows_path(const std::string &table, StoreVersion since);

struct row_handover_server_knobs {
    /** A page with more rows than this counts as large. */
    size_t large_page_rows = 1000;
    /** Minimum interval between two large pages that a node sends. A page of 10,000 rows has 2.5 MB
     * and takes 0.7 s over a link of 30 Mbit/s, so that a few are in memory at a time. Each node
     * that has the table serves it too, so that 200 nodes have it after about four seconds. */
    Duration large_page_interval = std::chrono::milliseconds(400);
};

/** Serves rows to peers and accepts rows from them. Its address must not be reachable for callers:
 * the rows contain what operators wrote, including keys. */
class row_handover_server : public HttpHandler {
public:
    /** Receives a row that a peer sends. The address may have belonged to another node a moment
     * ago, so the receiver must check whether the row concerns this node. */
    using row_receiver = std::function<void(const StoredRow &)>;

    /** \param served Tables to serve, by name; they must keep the values of their rows and outlive
     * this.
     * \param accepted Receivers of the tables whose rows peers may send, by name. */
    row_handover_server(TimeSource &time_source, std::map<std::string, const TableWatcher *> served,
                        std::map<std::string, row_receiver> accepted,
                        const row_handover_server_knobs &knobs = {})
        : time_source_(time_source), knobs_(knobs), served_tables_(std::move(served)),
          accepted_tables_(std::move(accepted)) {}
    void handle(HttpRequest request, ResponseWriterPtr writer) override;

private:
    void send_page(const HttpRequest &request, ResponseWriter &writer);
    void accept_rows(const HttpRequest &request, ResponseWriter &writer) const;

    TimeSource &time_source_;
    const row_handover_server_knobs knobs_;
    MonotonicTime last_large_page_{};
    std::map<std::string, const TableWatcher *> served_tables_;
    std::map<std::string, row_receiver> accepted_tables_;
};

struct row_handover_knobs {
    Duration connect_timeout = std::chrono::milliseconds(150);
    Duration answer_timeout = std::chrono::milliseconds(500);
    /** Minimum interval between two requests for one table; most answers take a few milliseconds.
     */
    Duration min_request_interval = std::chrono::milliseconds(100);
};

class row_handover {
public:
    /** \return A peer that has a row of the table with that version or a newer one. */
    using peer_selector = std::function<std::optional<Address>(StoreVersion version)>;

    /** \param table Receives the rows. All references must outlive this. */
    row_handover(TimeSource &time_source, HttpClient &client, Logger &logger, std::string name,
                 TableWatcher &table, peer_selector select_peer,
                 const row_handover_knobs &knobs = {});

    /** Requests the rows from a peer: peers have a row of that version that the store has not
     * delivered here. */
    void request(StoreVersion version);

private:
    void handle_answer(const Address &peer, MonotonicTime asked,
                       const Expected<HttpResponse> &answer);

    TimeSource &time_source_;
    HttpClient &client_;
    Logger &logger_;
    const std::string name_;
    TableWatcher &table_;
    const peer_selector select_peer_;
    const row_handover_knobs knobs_;
    bool request_pending_ = false;
    MonotonicTime last_request_{};
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
