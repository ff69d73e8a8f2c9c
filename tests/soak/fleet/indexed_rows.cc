#include "tests/soak/fleet/indexed_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/core/base64.h"

namespace chalkshed::soak {
namespace {

encoded_row_ptr encode(const StoredRowKey &key, StoreVersion version,
                       const std::optional<std::string> &value) {
    nlohmann::json fields = {
        {"table", key.table}, {"part", key.partition}, {"tls_key", key.key}, {"ver", version}};
    if (value) {
        fields["value"] = encode_base64(*value);
    } else if (version > 0) {
        fields["is_gone"] = true;
    }
    return std::make_shared<const encoded_row>(encoded_row{version, fields.dump()});
}

} // namespace

row_range_page indexed_rows::read(const RangeRead &range) const {
    row_range_page page;
    for (auto row = rows_.lower_bound({range.table, range.partition, range.first_key});
         row != rows_.end(); ++row) {
        const StoredRowKey &key = row->first;
        const bool past_end = !range.end_key.empty() && key.key >= range.end_key;
        if (key.table != range.table || key.partition != range.partition || past_end) {
            break;
        }
        if (page.rows.size() == range.limit) {
            page.more = true;
            break;
        }
        page.rows.push_back(row->second);
    }
    return page;
}

bool indexed_rows::check_conditions(const StoreTransaction &transaction, row_commit &result) const {
    bool all_match = true;
    for (const StoreCondition &condition : transaction.conditions) {
        const auto found = rows_.find(condition.key);
        const StoreVersion current = found == rows_.end() ? 0 : found->second->version;
        result.current.push_back(found == rows_.end() ? encode(condition.key, 0, std::nullopt)
                                                      : found->second);
        all_match = all_match && current == condition.version;
    }
    return all_match;
}

void indexed_rows::write(const StoreWrite &write, MonotonicTime now) {
    const encoded_row_ptr row = encode(write.key, version_, write.value);
    if (write.value) {
        rows_[write.key] = row;
    } else if (rows_.erase(write.key) == 0) {
        return;
    }
    history &table_history = histories_[write.key.table];
    table_history.changes.push_back({row, now});
    table_history.newest = version_;
}

row_commit indexed_rows::commit(const StoreTransaction &transaction, MonotonicTime now) {
    row_commit result;
    if (!check_conditions(transaction, result)) {
        return result;
    }
    result.committed = true;
    ++version_;
    for (const StoreWrite &each : transaction.writes) {
        write(each, now);
    }
    return result;
}

bool indexed_rows::has_history_since(const std::string &table, StoreVersion since) const {
    const auto found = histories_.find(table);
    return found == histories_.end() || since >= found->second.trimmed_version;
}

std::vector<encoded_row_ptr> indexed_rows::changes(const std::string &table,
                                                   StoreVersion since) const {
    std::vector<encoded_row_ptr> rows;
    const auto found = histories_.find(table);
    if (found == histories_.end()) {
        return rows;
    }
    const std::deque<change> &all = found->second.changes;
    auto next = std::upper_bound(
        all.begin(), all.end(), since,
        [](StoreVersion version, const change &each) { return version < each.row->version; });
    for (; next != all.end(); ++next) {
        rows.push_back(next->row);
    }
    return rows;
}

StoreVersion indexed_rows::newest_version(const std::string &table) const {
    const auto found = histories_.find(table);
    return found == histories_.end() ? 0 : found->second.newest;
}

void indexed_rows::trim_history_before(MonotonicTime time) {
    for (auto &[table, table_history] : histories_) {
        while (!table_history.changes.empty() && table_history.changes.front().made < time) {
            table_history.trimmed_version = table_history.changes.front().row->version;
            table_history.changes.pop_front();
        }
    }
}

} // namespace chalkshed::soak
